/** A history of bounded length, and the counts of the detector's events. */

import type { DropReason } from './messages.js';

/** Numbers of events since the detector was created. */
export interface DetectorCounts {
  suspicions: number;
  /** Suspicions that the suspected member refuted before they timed out. */
  refutations: number;
  failures: number;
  /** Failures that the member refuted afterwards. */
  falseFailures: number;
  /**
   * Sum over all failures, in ms, of the time from the sending of the last answered probe to the
   * detection.
   */
  detectionMs: number;
  messagesSent: number;
  messagesReceived: number;
  dropped: Record<DropReason, number>;
}

/** Returns counts that are all zero. */
export function zeroCounts(): DetectorCounts {
  return {
    suspicions: 0,
    refutations: 0,
    failures: 0,
    falseFailures: 0,
    detectionMs: 0,
    messagesSent: 0,
    messagesReceived: 0,
    dropped: {
      malformed: 0,
      'foreign cluster': 0,
      'unknown member': 0,
      'other instance': 0,
      'old incarnation': 0,
      'no witness': 0,
    },
  };
}

/** A list that drops its oldest entry when it would exceed its maximum length. */
export class BoundedHistory<Entry> {
  private readonly entries: Entry[] = [];

  constructor(private readonly maxEntries: number) {}

  /** Appends an entry. */
  add(entry: Entry): void {
    this.entries.push(entry);
    if (this.entries.length > this.maxEntries) this.entries.shift();
  }

  /** Returns the entries, oldest first. */
  all(): readonly Entry[] {
    return this.entries;
  }
}
