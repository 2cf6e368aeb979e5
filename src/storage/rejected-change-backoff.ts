/** Pauses changes that the key-value store rejected as invalid. */

import { REJECTED_PAUSE_FIRST_MS, REJECTED_PAUSE_MAX_MS } from '../constants/storage.js';
import { KeyedBackoff } from '../transport/backoff.js';
import type { Clock } from '../transport/clock.js';

/**
 * Pauses of the subjects (jobs, machines, roles or keys) of transactions that the key-value store
 * rejected as invalid. The store would reject the same change again, so the pause of a subject
 * grows with each rejection. Changes of other subjects are not delayed.
 */
export class RejectedChangeBackoff {
  private readonly backoff: KeyedBackoff;

  constructor(clock: Clock) {
    this.backoff = new KeyedBackoff(clock, REJECTED_PAUSE_FIRST_MS, REJECTED_PAUSE_MAX_MS);
  }

  /** Records that a transaction with a change of the subject was rejected. */
  recordRejection(subject: string): void {
    this.backoff.recordFailure(subject);
  }

  /** Pauses the subject for `pauseMs` without counting a rejection. */
  pause(subject: string, pauseMs: number): void {
    this.backoff.pause(subject, pauseMs);
  }

  /** Ends the backoff of a subject whose change was committed or that no longer exists. */
  clear(subject: string): void {
    this.backoff.clear(subject);
  }

  /** Returns whether the subject is paused now. */
  isPaused(subject: string): boolean {
    return this.backoff.isPaused(subject);
  }

  /**
   * Returns how many of the first subjects may share the next transaction, at most `limit`. A
   * subject of a rejected transaction is sent alone, so that the others are committed and only the
   * invalid change is rejected again.
   */
  batchSize(subjects: readonly string[], limit: number): number {
    const firstRejected = subjects
      .slice(0, limit)
      .findIndex((subject) => this.backoff.isTracked(subject));
    if (firstRejected >= 0) return Math.max(1, firstRejected);
    return Math.min(limit, subjects.length);
  }

  /** Removes subjects whose pause ended long ago, because they no longer exist. */
  removeExpired(): void {
    this.backoff.removeExpired();
  }
}
