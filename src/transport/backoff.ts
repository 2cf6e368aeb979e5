/** Randomised exponential backoff, and the seeded random numbers behind it. */

import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Random numbers from 0 to 1, the same ones for the same seed. */
export function randomOf(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformInt(generator, 0, 1_000_000) / 1_000_000;
}

/** Pauses that double from the first to the last, each cut by up to half so that nodes don't meet. */
export class Backoff {
  private pause: number;

  constructor(
    private readonly firstMs: number,
    private readonly lastMs: number,
    private readonly random: () => number,
  ) {
    this.pause = firstMs;
  }

  /** Milliseconds to wait before the next try. */
  next(): number {
    const pause = this.pause * (1 - this.random() / 2);
    this.pause = Math.min(this.pause * 2, this.lastMs);
    return pause;
  }

  /** A try succeeded: the next pause is the shortest again. */
  reset(): void {
    this.pause = this.firstMs;
  }
}
