/** Records of detected failures and failover decisions, in a bounded history and in the log. */

import { BoundedHistory, type ProbeTimes, type Transition } from '@mothbank/failure-detector';
import type { Log } from '../../storage/log.js';

/** Action decided for a role whose holder's lease has expired; part of the exported history. */
export type FailoverAction = 'take' | 'wait' | 'ask to stand down';

/** A failover decision with the evidence for it. */
export interface FailoverDecision {
  readonly role: string;
  readonly holder: string;
  readonly incarnation: string;
  readonly term: number;
  readonly action: FailoverAction;
  readonly why: string;
  readonly witnesses: readonly string[];
  readonly quorum: number;
  /** Time in ms since this controller first saw that the holder is not registered. */
  readonly waitedMs: number;
}

/** One record of the history. `at` is the wall-clock time in ms. */
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

/** Stores the latest records, and logs each record in the field `detection`. */
export class DetectionRecords {
  private readonly history: BoundedHistory<DetectionRecord>;

  constructor(
    maxRecords: number,
    private readonly log: Log,
  ) {
    this.history = new BoundedHistory(maxRecords);
  }

  /** Adds a record to the history and logs it. */
  add(record: DetectionRecord): void {
    this.history.add(record);
    this.log.info({ detection: record }, eventNameOf(record));
  }

  /**
   * Returns the stored records as JSON lines, each in the form of the field `detection` in the log.
   */
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
      return 'failover decided';
    case 'probeTimes':
      return 'probe round-trip times recorded';
  }
}
