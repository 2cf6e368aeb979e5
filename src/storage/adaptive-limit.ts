/**
 * This controller's part of one of the key-value store's two rate limits (requests or writes per
 * second), adapted to the actual use.
 */

import {
  STORE_LIMIT_REFUSAL_FACTOR,
  STORE_LIMIT_GROWTH_FRACTION,
  STORE_LIMIT_MAX_FRACTION,
  STORE_LIMIT_MIN_FRACTION,
  WRITES_SCARCE_FRACTION,
  WRITES_SHORT_FRACTION,
} from '../constants/storage.js';
import { TokenBucket } from '../transport/token-bucket.js';
import type { Clock } from '../transport/clock.js';

/**
 * This controller's recent use of a rate limit compared with its equal share, which is the limit
 * divided by the number of controllers: `plenty` up to `WRITES_SCARCE_FRACTION` of the equal share,
 * `scarce` up to `WRITES_SHORT_FRACTION`, `short` above.
 */
export type Supply = 'plenty' | 'scarce' | 'short';

/** A rate limit of the key-value store that all controllers share. */
export interface SharedLimit {
  /** Requests or writes per second for all controllers together. */
  perSecond: number;
  /** Number of controllers. */
  members: number;
  /** Minimum size of the token bucket; 0 if tokens for one second suffice. */
  burst: number;
}

/**
 * This controller's part of one rate limit of the key-value store. All controllers together must
 * stay below the limit, and one that needs more should use what others leave. Each controller
 * therefore begins with an equal share of the limit, raises its rate while requests wait and the
 * store refuses none, and lowers it after a refusal.
 */
export class AdaptiveLimit {
  readonly budget: TokenBucket;
  /** Token bucket below 0 when recent use exceeds `WRITES_SCARCE_FRACTION` of the equal share. */
  private readonly scarceBudget: TokenBucket;
  /** Token bucket below 0 when recent use exceeds `WRITES_SHORT_FRACTION` of the equal share. */
  private readonly shortBudget: TokenBucket;
  private rate: number;
  private readonly minRate: number;
  private rateChangedAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly limit: SharedLimit,
  ) {
    this.rate = limit.perSecond / limit.members;
    this.minRate = this.rate * STORE_LIMIT_MIN_FRACTION;
    this.rateChangedAt = clock.now();
    this.budget = new TokenBucket(clock, this.rate, Math.max(this.rate, limit.burst));
    this.scarceBudget = new TokenBucket(clock, this.rate * WRITES_SCARCE_FRACTION, this.rate);
    this.shortBudget = new TokenBucket(clock, this.rate * WRITES_SHORT_FRACTION, this.rate);
  }

  get supply(): Supply {
    if (this.shortBudget.available < 0) return 'short';
    return this.scarceBudget.available < 0 ? 'scarce' : 'plenty';
  }

  /** Adds requests or writes to the recent use from which `supply` is derived. */
  recordUse(cost: number): void {
    this.scarceBudget.overdraw(cost);
    this.shortBudget.overdraw(cost);
  }

  /** Returns the time in ms until `cost` may be used, and raises the rate if that is above 0. */
  waitFor(cost: number): number {
    const waitMs = this.budget.waitFor(cost);
    if (waitMs > 0) this.raiseRate();
    return waitMs;
  }

  /**
   * Raises the rate in proportion to the time since its last change, at most as much as for 1 s.
   */
  private raiseRate(): void {
    const now = this.clock.now();
    const seconds = Math.min(1, (now - this.rateChangedAt) / 1000);
    this.rateChangedAt = now;
    const { perSecond } = this.limit;
    this.setRate(
      Math.min(
        perSecond * STORE_LIMIT_MAX_FRACTION,
        this.rate + perSecond * STORE_LIMIT_GROWTH_FRACTION * seconds,
      ),
    );
  }

  /** Lowers the rate after the key-value store refused a request because its limit was exceeded. */
  lowerRate(): void {
    this.rateChangedAt = this.clock.now();
    this.setRate(Math.max(this.minRate, this.rate * STORE_LIMIT_REFUSAL_FACTOR));
    this.budget.removeAll();
  }

  private setRate(rate: number): void {
    this.rate = rate;
    this.budget.setRate(rate);
  }
}
