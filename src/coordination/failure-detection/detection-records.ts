/** What this node detected and decided: a bounded history in memory, and one log line each. */

import { BoundedHistory, type ProbeTimes, type Transition } from '@mothbank/failure-detector';
import type { Log } from '../../storage/log.js';

/** What was decided about a role whose holder's registration has ended. */
export type FailoverAction = 'take' | 'wait' | 'ask to stand down';

/** A decision, with what it rests on. */
export interface FailoverDecision {
  readonly role: string;
  readonly holder: string;
  readonly incarnation: string;
  readonly term: number;
  readonly action: FailoverAction;
  readonly why: string;
  readonly witnesses: readonly string[];
  readonly quorum: number;
  /** ms since this node saw that nobody holds the role. */
  readonly waitedMs: number;
}

/** One line of the history; `at`: time of day in ms. */
export type DetectionRecord =
  | ({ readonly type: 'transition' } & Transition)
  | ({
      readonly type: 'decision';
      readonly at: number;
      readonly observer: string;
    } & FailoverDecision)
  | ({
      readonly type: 'probeTimes';
      readonly at: number;
      readonly observer: string;
      readonly localHealth: number;
    } & ProbeTimes);

/** Keeps records, and logs each as the field `detection` of a line. */
export class DetectionRecords {
  private readonly history: BoundedHistory<DetectionRecord>;

  constructor(
    maxRecords: number,
    private readonly log: Log,
  ) {
    this.history = new BoundedHistory(maxRecords);
  }

  /** Adds a record and writes its line. */
  add(record: DetectionRecord): void {
    this.history.add(record);
    this.log.info({ detection: record }, eventNameOf(record));
  }

  /** The records that are kept, one JSON object a line, in the form of the log's lines. */
  export(): string {
    return this.history
      .all()
      .map((record) => `${JSON.stringify({ detection: record })}\n`)
      .join('');
  }
}

function eventNameOf(record: DetectionRecord): string {
  switch (record.type) {
    case 'transition':
      return `${record.member} is ${record.to}: ${record.reason}`;
    case 'decision':
      return `${record.role} of ${record.holder}: ${record.action}, ${record.why}`;
    case 'probeTimes':
      return `probes of ${record.member}`;
  }
}
