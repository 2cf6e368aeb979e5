/** A token bucket for requests to a service with a rate limit. */

import type { Clock } from './clock.js';

/** A token bucket that keeps this process within its share of a limit of requests a second. */
export class Budget {
  private level: number;
  private at: number;

  constructor(
    private readonly clock: Clock,
    private perSecond: number,
    readonly burst: number,
  ) {
    this.level = burst;
    this.at = clock.now();
  }

  private refill(): void {
    const now = this.clock.now();
    this.level = Math.min(this.burst, this.level + ((now - this.at) / 1000) * this.perSecond);
    this.at = now;
  }

  /** Tokens in the bucket; below 0 where some were borrowed. */
  get left(): number {
    this.refill();
    return this.level;
  }

  /** Changes the rate from now on; what was saved up stays. */
  setRate(perSecond: number): void {
    this.refill();
    this.perSecond = perSecond;
  }

  /** Takes what must go out at once, borrowing from later requests. */
  force(cost: number): void {
    this.refill();
    this.level = Math.max(-this.burst, this.level - cost);
  }

  /** Milliseconds until `cost` is there; 0: it may be spent now. */
  waitFor(cost: number): number {
    this.refill();
    const need = Math.min(cost, this.burst);
    return this.level >= need ? 0 : Math.ceil(((need - this.level) / this.perSecond) * 1000);
  }

  /** Takes tokens that `waitFor` said are there. */
  spend(cost: number): void {
    this.level -= cost;
  }

  /** The far side says that the limit is reached: what was saved up is gone. */
  drain(): void {
    this.refill();
    this.level = Math.min(this.level, 0);
  }
}
