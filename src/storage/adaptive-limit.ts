/** One of the key-value store's rate limits, shared fairly between the controllers. */

import {
  STORE_LIMIT_AFTER_REFUSAL,
  STORE_LIMIT_GROWTH,
  STORE_LIMIT_MAX_SHARE,
  STORE_LIMIT_MIN_SHARE,
  WRITES_SCARCE_SHARE,
  WRITES_SHORT_SHARE,
} from '../constants/storage.js';
import { Budget } from '../transport/budget.js';
import type { Clock } from '../transport/clock.js';

/** Recent use against the equal share: below half of it, below most of it, or above. */
export type Supply = 'plenty' | 'scarce' | 'short';

/** A rate limit that all members share. */
export interface SharedLimit {
  /** Requests or writes a second, for all members together. */
  perSecond: number;
  members: number;
  /** What must be available at once; 0: no more than a second's share. */
  burst: number;
}

/**
 * This controller's share of one limit. All members together must stay below the limit, but what
 * some leave unused should serve those that need it: each begins with an equal share, grows it as
 * long as nothing is refused, and steps back after a refusal.
 */
export class AdaptiveLimit {
  readonly budget: Budget;
  /** Below 0 when recent use is above the share of writes that counts as scarce. */
  private readonly scarceBudget: Budget;
  /** The same for the share that counts as short. */
  private readonly shortBudget: Budget;
  private rate: number;
  private readonly minRate: number;
  private rateChangedAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly limit: SharedLimit,
  ) {
    this.rate = limit.perSecond / limit.members;
    this.minRate = this.rate * STORE_LIMIT_MIN_SHARE;
    this.rateChangedAt = clock.now();
    this.budget = new Budget(clock, this.rate, Math.max(this.rate, limit.burst));
    this.scarceBudget = new Budget(clock, this.rate * WRITES_SCARCE_SHARE, this.rate);
    this.shortBudget = new Budget(clock, this.rate * WRITES_SHORT_SHARE, this.rate);
  }

  get supply(): Supply {
    if (this.shortBudget.left < 0) return 'short';
    return this.scarceBudget.left < 0 ? 'scarce' : 'plenty';
  }

  /** Counts use towards `supply`. */
  recordUse(cost: number): void {
    this.scarceBudget.force(cost);
    this.shortBudget.force(cost);
  }

  /** ms until so much may be used; a limit that is exhausted grows. */
  waitFor(cost: number): number {
    const waitMs = this.budget.waitFor(cost);
    if (waitMs > 0) this.grow();
    return waitMs;
  }

  /** Requests wait for this limit: time to claim more of it. */
  private grow(): void {
    const now = this.clock.now();
    const seconds = Math.min(1, (now - this.rateChangedAt) / 1000);
    this.rateChangedAt = now;
    const { perSecond } = this.limit;
    this.setRate(
      Math.min(
        perSecond * STORE_LIMIT_MAX_SHARE,
        this.rate + perSecond * STORE_LIMIT_GROWTH * seconds,
      ),
    );
  }

  /** The store refused a request since the limit was exceeded. */
  stepBack(): void {
    this.rateChangedAt = this.clock.now();
    this.setRate(Math.max(this.minRate, this.rate * STORE_LIMIT_AFTER_REFUSAL));
    this.budget.drain();
  }

  private setRate(rate: number): void {
    this.rate = rate;
    this.budget.setRate(rate);
  }
}
