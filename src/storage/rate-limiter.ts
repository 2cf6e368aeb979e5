/** Limits the rate of this controller's requests to the key-value store. */

import type { Clock } from '../transport/clock.js';
import { AdaptiveLimit, type Supply } from './adaptive-limit.js';
import { RequestQueues, type Purpose } from './request-queues.js';

export type { Supply } from './adaptive-limit.js';
export type { Purpose } from './request-queues.js';

/**
 * The key-value store's limits for all controllers together: requests (`rps`) and writes per
 * second.
 */
export interface StoreLimits {
  rps: number;
  writeRps: number;
  /** Maximum number of writes in one transaction. */
  transactionOps: number;
}

/** Numbers of requests that were sent for one purpose, and of the writes in them. */
export interface RequestCounts {
  requests: number;
  writes: number;
}

/**
 * Queues requests to the key-value store until this controller's part of the rate limits allows
 * them, and serves them in the precedence of their purposes.
 */
export class RateLimiter {
  private readonly requestLimit: AdaptiveLimit;
  private readonly writeLimit: AdaptiveLimit;
  private readonly queues = new RequestQueues();
  private cancelTimer: (() => void) | null = null;
  /** Numbers of sent requests and writes by purpose, for the log. */
  readonly acquiredCounts = new Map<Purpose, RequestCounts>();
  /** Number of requests that the store refused with status 429. */
  refusals = 0;

  constructor(
    private readonly clock: Clock,
    limits: StoreLimits,
    members = 1,
  ) {
    const { rps, writeRps, transactionOps } = limits;
    this.requestLimit = new AdaptiveLimit(clock, { perSecond: rps, members, burst: 0 });
    this.writeLimit = new AdaptiveLimit(clock, {
      perSecond: writeRps,
      members,
      burst: transactionOps,
    });
  }

  /**
   * Waits until a request with this number of writes may be sent. Requests of the purposes `watch`
   * and `role` do not wait but overdraw the limits if necessary.
   */
  acquire(purpose: Purpose, writes: number): Promise<void> {
    if (purpose === 'watch' || purpose === 'role') {
      this.requestLimit.budget.overdraw(1);
      if (writes > 0) this.writeLimit.budget.overdraw(writes);
      this.count(purpose, writes);
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      this.queues.push(purpose, { writes, waitingSince: this.clock.now(), proceed: resolve });
      // The pending timer may wait for the write limit, which does not apply to a read.
      this.cancelTimer?.();
      this.dispatch();
    });
  }

  /**
   * Recent writes of this controller compared with its equal share, for callers that can defer
   * writes.
   */
  get supply(): Supply {
    return this.writeLimit.supply;
  }

  /** Returns whether a request with this number of writes could be sent now. */
  hasCapacity(writes: number): boolean {
    return (
      this.writeLimit.budget.waitFor(writes) === 0 && this.requestLimit.budget.waitFor(1) === 0
    );
  }

  /** Lowers the rates after the key-value store answered 429 to a request with so many writes. */
  reportRefusal(writes: number): void {
    this.refusals++;
    this.requestLimit.lowerRate();
    if (writes > 0) this.writeLimit.lowerRate();
  }

  private count(purpose: Purpose, writes: number): void {
    this.writeLimit.recordUse(writes);
    const counts = this.acquiredCounts.get(purpose) ?? { requests: 0, writes: 0 };
    counts.requests++;
    counts.writes += writes;
    this.acquiredCounts.set(purpose, counts);
  }

  /** Releases the requests that the limits allow now, and sets a timer for the next one. */
  private dispatch(): void {
    this.cancelTimer = null;
    const waitMs = this.dispatchReady();
    if (waitMs > 0) this.cancelTimer = this.clock.after(waitMs, () => this.dispatch());
  }

  /**
   * Releases the requests that the limits allow now. Returns the time in ms until the next one may
   * be sent, or 0 if no request waits any more.
   */
  private dispatchReady(): number {
    let writesWaitMs = 0;
    for (const { purpose, requests } of this.queues.inOrder(this.clock.now())) {
      for (let next = requests[0]; next; next = requests[0]) {
        const waitMs = this.requestLimit.waitFor(1);
        if (waitMs > 0) return waitMs;
        // Writes keep the order of the queues: a write that waits for the write limit holds up all
        // later writes. Reads do not wait for writes.
        if (next.writes > 0 && writesWaitMs === 0) {
          writesWaitMs = this.writeLimit.waitFor(next.writes);
        }
        if (next.writes > 0 && writesWaitMs > 0) break;
        requests.shift();
        this.spend(purpose, next.writes);
        next.proceed();
      }
    }
    return writesWaitMs;
  }

  private spend(purpose: Purpose, writes: number): void {
    this.requestLimit.budget.spend(1);
    if (writes > 0) this.writeLimit.budget.spend(writes);
    this.count(purpose, writes);
  }
}
