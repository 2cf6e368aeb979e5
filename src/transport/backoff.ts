/** Exponential backoff: randomised for the retries of one caller, deterministic for many keys. */

import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Clock } from './clock.js';

/** Returns a generator of random numbers from 0 to 1; the same seed gives the same sequence. */
export function seededRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformInt(generator, 0, 1_000_000) / 1_000_000;
}

/**
 * Pauses between one caller's attempts: each is twice the one before, up to the longest, and is
 * shortened by a random part of up to half, so that controllers don't retry at the same moments.
 */
export class Backoff {
  private pauseMs: number;

  constructor(
    private readonly firstMs: number,
    private readonly longestMs: number,
    private readonly random: () => number,
  ) {
    this.pauseMs = firstMs;
  }

  /** Returns the time in ms to wait before the next attempt. */
  nextPauseMs(): number {
    const pauseMs = this.pauseMs * (1 - this.random() / 2);
    this.pauseMs = Math.min(this.pauseMs * 2, this.longestMs);
    return pauseMs;
  }

  /** Resets the pause to the first one, after a successful attempt. */
  reset(): void {
    this.pauseMs = this.firstMs;
  }
}

/** The backoff of one key. */
interface KeyPause {
  /** Failures in a row. */
  failures: number;
  /** Steady time in ms at which the pause ends. */
  until: number;
}

/** A pause for each of many keys. Every failure of a key doubles its pause, up to the longest. */
export class KeyedBackoff {
  private readonly pauses = new Map<string, KeyPause>();

  constructor(
    private readonly clock: Clock,
    private readonly firstMs: number,
    private readonly longestMs: number,
  ) {}

  /** Records a failure of the key and returns for how many milliseconds it is paused. */
  recordFailure(key: string): number {
    const failures = this.pauses.get(key)?.failures ?? 0;
    const pauseMs = Math.min(this.firstMs * 2 ** failures, this.longestMs);
    this.pauses.set(key, { failures: failures + 1, until: this.clock.now() + pauseMs });
    return pauseMs;
  }

  /** Pauses the key for a given time and resets its count of failures to 0. */
  pause(key: string, pauseMs: number): void {
    this.pauses.set(key, { failures: 0, until: this.clock.now() + pauseMs });
  }

  /** Removes the pause and the count of failures of a key that succeeded or no longer exists. */
  clear(key: string): void {
    this.pauses.delete(key);
  }

  isPaused(key: string): boolean {
    return (this.pauses.get(key)?.until ?? -Infinity) > this.clock.now();
  }

  /** Returns whether the key was paused and not cleared since, even if its pause has ended. */
  isTracked(key: string): boolean {
    return this.pauses.has(key);
  }

  /** Removes keys that were not retried within the longest pause after their own pause ended. */
  removeExpired(): void {
    const now = this.clock.now();
    for (const [key, { until }] of this.pauses) {
      if (now - until > this.longestMs) this.pauses.delete(key);
    }
  }
}
