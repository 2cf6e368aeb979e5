/** Keeps requests to the key-value store within this controller's share of its rate limits. */

import type { Clock } from '../transport/clock.js';
import { AdaptiveLimit, type Supply } from './adaptive-limit.js';
import { RequestQueues, type Purpose } from './request-queues.js';

export type { Supply } from './adaptive-limit.js';
export type { Purpose } from './request-queues.js';

/** The key-value store's limits for all members together. */
export interface StoreLimits {
  rps: number;
  writeRps: number;
  /** Writes of one transaction. */
  transactionOps: number;
}

/** Requests that were let through under one purpose, and the writes in them. */
export interface RequestCounts {
  requests: number;
  writes: number;
}

/** Lets requests to the key-value store through as the limits allow, in the order of their purposes. */
export class RateLimiter {
  private readonly requestLimit: AdaptiveLimit;
  private readonly writeLimit: AdaptiveLimit;
  private readonly queues = new RequestQueues();
  private cancelTimer: (() => void) | null = null;
  /** What was let through, by purpose, for the log. */
  readonly acquiredCounts = new Map<Purpose, RequestCounts>();
  /** How often the store refused a request (429). */
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

  /** Waits until one request with so many writes may be sent. Watches and roles never wait. */
  acquire(purpose: Purpose, writes: number): Promise<void> {
    if (purpose === 'watch' || purpose === 'role') {
      this.requestLimit.budget.force(1);
      if (writes > 0) this.writeLimit.budget.force(writes);
      this.count(purpose, writes);
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      this.queues.push(purpose, { writes, waitingSince: this.clock.now(), proceed: resolve });
      // The timer may be that of writes, which a read does not wait for.
      this.cancelTimer?.();
      this.dispatch();
    });
  }

  /** This controller's recent writes against its equal share: while short, defer what can wait. */
  get supply(): Supply {
    return this.writeLimit.supply;
  }

  /** Whether so many writes could be sent at once. */
  hasCapacity(writes: number): boolean {
    return (
      this.writeLimit.budget.waitFor(writes) === 0 && this.requestLimit.budget.waitFor(1) === 0
    );
  }

  /** The key-value store answered 429 to a request with so many writes. */
  reportRefusal(writes: number): void {
    this.refusals++;
    this.requestLimit.stepBack();
    if (writes > 0) this.writeLimit.stepBack();
  }

  private count(purpose: Purpose, writes: number): void {
    this.writeLimit.recordUse(writes);
    const counts = this.acquiredCounts.get(purpose) ?? { requests: 0, writes: 0 };
    counts.requests++;
    counts.writes += writes;
    this.acquiredCounts.set(purpose, counts);
  }

  /** Lets through what the limits allow now, and comes back when they allow the next request. */
  private dispatch(): void {
    this.cancelTimer = null;
    const waitMs = this.dispatchReady();
    if (waitMs > 0) this.cancelTimer = this.clock.after(waitMs, () => this.dispatch());
  }

  /** Milliseconds until the next waiting request may be sent; 0: none waits. */
  private dispatchReady(): number {
    let writesWaitMs = 0;
    for (const { purpose, requests } of this.queues.inOrder(this.clock.now())) {
      for (let next = requests[0]; next; next = requests[0]) {
        const waitMs = this.requestLimit.waitFor(1);
        if (waitMs > 0) return waitMs;
        // Writes keep their order; reads go on past them.
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
