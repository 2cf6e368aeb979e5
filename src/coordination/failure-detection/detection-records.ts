/** What this controller detected and decided: a bounded history in memory, and one log line each. */

import { BoundedHistory, type ProbeTimes, type Transition } from '@mothbank/failure-detector';
import type { Log } from '../../storage/log.js';

/** What was decided about a role whose holder's lease has expired; exported with the history. */
export type FailoverAction = 'take' | 'wait' | 'ask to stand down';

/** A failover decision with its evidence. */
export interface FailoverDecision {
  readonly role: string;
  readonly holder: string;
  readonly incarnation: string;
  readonly term: number;
  readonly action: FailoverAction;
  readonly why: string;
  readonly witnesses: readonly string[];
  readonly quorum: number;
  /** ms since this controller saw that the holder is not registered. */
  readonly waitedMs: number;
}

/** One record of the history; `at`: time of day in ms. */
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

/** Keeps records, and logs each as the field `detection` of a log line. */
export class DetectionRecords {
  private readonly history: BoundedHistory<DetectionRecord>;

  constructor(
    maxRecords: number,
    private readonly log: Log,
  ) {
    this.history = new BoundedHistory(maxRecords);
  }

  /** Adds a record and logs it. */
  add(record: DetectionRecord): void {
    this.history.add(record);
    this.log.info({ detection: record }, eventNameOf(record));
  }

  /** The kept records, one JSON object a line, in the form of the log's lines. */
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
      return 'member state changed';
    case 'decision':
      return 'failover decision';
    case 'probeTimes':
      return 'probe round-trip times';
  }
}
