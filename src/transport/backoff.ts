/** Exponential backoff: randomised for one caller's retries, and counted for each of many keys. */

import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Clock } from './clock.js';

/** Random numbers from 0 to 1, the same ones for the same seed. */
export function randomOf(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformInt(generator, 0, 1_000_000) / 1_000_000;
}

/**
 * Pauses that double from the first to the longest, each cut by up to half so that controllers don't
 * retry in step.
 */
export class Backoff {
  private pause: number;

  constructor(
    private readonly firstMs: number,
    private readonly lastMs: number,
    private readonly random: () => number,
  ) {
    this.pause = firstMs;
  }

  /** Milliseconds to wait before the next attempt. */
  next(): number {
    const pause = this.pause * (1 - this.random() / 2);
    this.pause = Math.min(this.pause * 2, this.lastMs);
    return pause;
  }

  /** An attempt succeeded: the next pause is the shortest again. */
  reset(): void {
    this.pause = this.firstMs;
  }
}

/** The backoff of one key: how often it failed in a row, and until when it is paused. */
interface KeyPause {
  failures: number;
  until: number;
}

/** Pauses of single keys: each failure of a key doubles its pause, from the first to the longest. */
export class KeyedBackoff {
  private readonly pauses = new Map<string, KeyPause>();

  constructor(
    private readonly clock: Clock,
    private readonly firstMs: number,
    private readonly longestMs: number,
  ) {}

  /** The key failed now; returns for how many milliseconds it is paused. */
  recordFailure(key: string): number {
    const failures = this.pauses.get(key)?.failures ?? 0;
    const pauseMs = Math.min(this.firstMs * 2 ** failures, this.longestMs);
    this.pauses.set(key, { failures: failures + 1, until: this.clock.now() + pauseMs });
    return pauseMs;
  }

  /** Pauses the key for so long without counting a failure; earlier ones are forgotten. */
  pause(key: string, pauseMs: number): void {
    this.pauses.set(key, { failures: 0, until: this.clock.now() + pauseMs });
  }

  /** The key succeeded, or is no longer there. */
  clear(key: string): void {
    this.pauses.delete(key);
  }

  isPaused(key: string): boolean {
    return (this.pauses.get(key)?.until ?? -Infinity) > this.clock.now();
  }

  /** Whether the key was paused and not cleared since; its pause may be over. */
  isTracked(key: string): boolean {
    return this.pauses.has(key);
  }

  /** Forgets keys whose pause ended more than the longest pause ago: they are no longer there. */
  forgetExpired(): void {
    const now = this.clock.now();
    for (const [key, { until }] of this.pauses) {
      if (now - until > this.longestMs) this.pauses.delete(key);
    }
  }
}
