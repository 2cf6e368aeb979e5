/** A token bucket for requests to a service with a rate limit. */

import type { Clock } from './clock.js';

/** A token bucket that keeps this process within its share of a rate limit. */
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

  /** Tokens in the bucket; below 0 where some are borrowed. */
  get available(): number {
    this.refill();
    return this.tokens;
  }

  /** Changes the rate from now on; tokens in the bucket stay. */
  setRate(perSecond: number): void {
    this.refill();
    this.perSecond = perSecond;
  }

  /** Takes tokens for what must be sent at once, borrowing from later requests. */
  borrow(cost: number): void {
    this.refill();
    this.tokens = Math.max(-this.burst, this.tokens - cost);
  }

  /** Milliseconds until `cost` tokens are available; 0: they may be spent now. */
  waitFor(cost: number): number {
    this.refill();
    const needed = Math.min(cost, this.burst);
    return this.tokens >= needed ? 0 : Math.ceil(((needed - this.tokens) / this.perSecond) * 1000);
  }

  /** Takes tokens that `waitFor` said are available. */
  spend(cost: number): void {
    this.tokens -= cost;
  }

  /** The service refused a request: no tokens are left. */
  empty(): void {
    this.refill();
    this.tokens = Math.min(this.tokens, 0);
  }
}
