/** The latest events, bounded, and counts of all events since the start. */

import type { DropReason } from './messages.js';

/** Counts since the start of this process. */
export interface DetectorCounts {
  suspicions: number;
  /** Suspected members that answered before they counted as failed. */
  refutations: number;
  failures: number;
  /** Failures of instances that answered again. */
  falseFailures: number;
  /** Sum over failures of the ms from the last proof of life to the verdict. */
  detectionMs: number;
  messagesSent: number;
  messagesReceived: number;
  dropped: Record<DropReason, number>;
}

/** Counts at the start. */
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

/** Keeps the latest entries and drops the oldest. */
export class BoundedHistory<Entry> {
  private readonly entries: Entry[] = [];

  constructor(private readonly maxEntries: number) {}

  /** Adds an entry. */
  add(entry: Entry): void {
    this.entries.push(entry);
    if (this.entries.length > this.maxEntries) this.entries.shift();
  }

  /** The entries that are kept, oldest first. */
  all(): readonly Entry[] {
    return this.entries;
  }
}
