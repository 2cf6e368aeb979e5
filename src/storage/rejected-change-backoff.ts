/** Pauses for changes that the state service calls invalid. */

import { REJECTED_PAUSE_FIRST_MS, REJECTED_PAUSE_LAST_MS } from '../constants/storage.js';
import type { Clock } from '../transport/clock.js';

/**
 * What a transaction was about that the state service calls invalid. Sent again it would be refused
 * again, so it is left alone for a while, longer each time, and what else there is goes on.
 */
export class RejectedChangeBackoff {
  private readonly pauses = new Map<string, { count: number; until: number }>();

  constructor(private readonly clock: Clock) {}

  /** Told that a transaction about it was invalid. */
  add(subject: string): void {
    const count = this.pauses.get(subject)?.count ?? 0;
    const pause = Math.min(REJECTED_PAUSE_FIRST_MS * 2 ** count, REJECTED_PAUSE_LAST_MS);
    this.pauses.set(subject, { count: count + 1, until: this.clock.now() + pause });
  }

  /** Leaves it alone for so long, without any blame. */
  hold(subject: string, ms: number): void {
    this.pauses.set(subject, { count: 0, until: this.clock.now() + ms });
  }

  /** Told that it was carried out, or is no longer there. */
  clear(subject: string): void {
    this.pauses.delete(subject);
  }

  /** Whether it is to be left alone now. */
  has(subject: string): boolean {
    return (this.pauses.get(subject)?.until ?? -Infinity) > this.clock.now();
  }

  /**
   * How many of these may share the next transaction, at most so many. What was in an invalid one
   * goes alone, so that the one that is to blame shows and the others are rid of it.
   */
  together(subjects: readonly string[], most: number): number {
    const suspect = subjects.slice(0, most).findIndex((subject) => this.pauses.has(subject));
    if (suspect >= 0) return Math.max(1, suspect);
    return Math.min(most, subjects.length);
  }

  /** Forgets what was not tried again for long: it is no longer there. */
  sweep(): void {
    const now = this.clock.now();
    for (const [subject, { until }] of this.pauses) {
      if (now - until > REJECTED_PAUSE_LAST_MS) this.pauses.delete(subject);
    }
  }
}
