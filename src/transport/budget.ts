/** A token bucket for requests to a service with a rate limit. */

import type { Clock } from './clock.js';

/** A token bucket that keeps this process within its share of a limit of requests a second. */
export class Budget {
  private tokens: number;
  private refilledAt: number;

  constructor(
    private readonly clock: Clock,
    private perSecond: number,
    readonly burst: number,
  ) {
    this.tokens = burst;
    this.refilledAt = clock.now();
  }

  private refill(): void {
    const now = this.clock.now();
    this.tokens = Math.min(
      this.burst,
      this.tokens + ((now - this.refilledAt) / 1000) * this.perSecond,
    );
    this.refilledAt = now;
  }

  /** Tokens in the bucket; below 0 where some were borrowed. */
  get left(): number {
    this.refill();
    return this.tokens;
  }

  /** Changes the rate from now on; what was saved up stays. */
  setRate(perSecond: number): void {
    this.refill();
    this.perSecond = perSecond;
  }

  /** Takes what must go out at once, borrowing from later requests. */
  force(cost: number): void {
    this.refill();
    this.tokens = Math.max(-this.burst, this.tokens - cost);
  }

  /** Milliseconds until `cost` is there; 0: it may be spent now. */
  waitFor(cost: number): number {
    this.refill();
    const needed = Math.min(cost, this.burst);
    return this.tokens >= needed ? 0 : Math.ceil(((needed - this.tokens) / this.perSecond) * 1000);
  }

  /** Takes tokens that `waitFor` said are there. */
  spend(cost: number): void {
    this.tokens -= cost;
  }

  /** The far side says that the limit is reached: what was saved up is gone. */
  drain(): void {
    this.refill();
    this.tokens = Math.min(this.tokens, 0);
  }
}
