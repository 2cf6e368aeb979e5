/** A token bucket that limits the rate of requests to a service. */

import type { Clock } from './clock.js';

/**
 * A token bucket that keeps this process within its part of a rate limit. `perSecond` tokens are
 * added each second, up to `burst`.
 */
export class TokenBucket {
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

  /** Tokens in the bucket; negative while it is overdrawn. */
  get available(): number {
    this.refill();
    return this.tokens;
  }

  /** Changes the rate at which tokens are added; those in the bucket stay. */
  setRate(perSecond: number): void {
    this.refill();
    this.perSecond = perSecond;
  }

  /**
   * Takes tokens for a request that is sent without waiting. The bucket may be overdrawn, down to
   * `-burst`; later requests wait until it is refilled.
   */
  overdraw(cost: number): void {
    this.refill();
    this.tokens = Math.max(-this.burst, this.tokens - cost);
  }

  /**
   * Returns the time in ms until `cost` tokens are available; 0: they may be spent now. For a cost
   * above `burst`, a full bucket is sufficient.
   */
  waitFor(cost: number): number {
    this.refill();
    const needed = Math.min(cost, this.burst);
    return this.tokens >= needed ? 0 : Math.ceil(((needed - this.tokens) / this.perSecond) * 1000);
  }

  /** Takes tokens for a request for which `waitFor` returned 0. */
  spend(cost: number): void {
    this.tokens -= cost;
  }

  /** Removes all tokens, after the service refused a request because of its rate limit. */
  removeAll(): void {
    this.refill();
    this.tokens = Math.min(this.tokens, 0);
  }
}
