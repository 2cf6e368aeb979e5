/** Pauses for changes that the key-value store rejected as invalid. */

import { REJECTED_PAUSE_FIRST_MS, REJECTED_PAUSE_LAST_MS } from '../constants/storage.js';
import { KeyedBackoff } from '../transport/backoff.js';
import type { Clock } from '../transport/clock.js';

/**
 * The subjects (jobs, machines, keys) of transactions that the key-value store rejected as invalid.
 * Sent again they would be rejected again, so a subject is paused, longer each time, while the other
 * work goes on.
 */
export class RejectedChangeBackoff {
  private readonly backoff: KeyedBackoff;

  constructor(clock: Clock) {
    this.backoff = new KeyedBackoff(clock, REJECTED_PAUSE_FIRST_MS, REJECTED_PAUSE_LAST_MS);
  }

  /** A transaction about the subject was rejected. */
  add(subject: string): void {
    this.backoff.recordFailure(subject);
  }

  /** Pauses the subject for so long without counting a rejection. */
  hold(subject: string, pauseMs: number): void {
    this.backoff.pause(subject, pauseMs);
  }

  /** The change was committed, or its subject is no longer there. */
  clear(subject: string): void {
    this.backoff.clear(subject);
  }

  /** Whether the subject is paused now. */
  has(subject: string): boolean {
    return this.backoff.isPaused(subject);
  }

  /**
   * How many of these subjects may share the next transaction, at most `limit`. A subject of a
   * rejected transaction goes alone: this shows which one is at fault, and the others are committed.
   */
  together(subjects: readonly string[], limit: number): number {
    const firstRejected = subjects
      .slice(0, limit)
      .findIndex((subject) => this.backoff.isTracked(subject));
    if (firstRejected >= 0) return Math.max(1, firstRejected);
    return Math.min(limit, subjects.length);
  }

  /** Forgets subjects that were not tried again for long: they are no longer there. */
  sweep(): void {
    this.backoff.forgetExpired();
  }
}
