/** This node's share of the state service's rate limits, handed out by the purpose of each request. */

import {
  CHECK_OVERDUE_MS,
  STORE_LIMIT_AFTER_REFUSAL,
  STORE_LIMIT_MIN_SHARE,
  STORE_LIMIT_GROWTH,
  STORE_LIMIT_MAX_SHARE,
  WRITES_SCARCE_SHARE,
  WRITES_SHORT_SHARE,
} from '../constants/storage.js';
import { Budget } from '../transport/budget.js';
import type { Clock } from '../transport/clock.js';

/** Kinds of work in the order in which they get the state service's limited requests. */
const PURPOSES_BY_PRECEDENCE = [
  'watch',
  'role',
  'urgent',
  'part',
  'leader',
  'status',
  'check',
  'cancel',
  'submit',
] as const;

/** What a request is for. */
export type Purpose = (typeof PURPOSES_BY_PRECEDENCE)[number];

/** How far writes reach: below half of an equal share, below most of it, or above. */
export type Supply = 'plenty' | 'scarce' | 'short';

/**
 * One of the state service's limits as this node uses it. All members together must stay below it,
 * but what some leave unused should serve those that need it: each begins with its equal share,
 * takes more as long as nothing is refused, and steps back when something is.
 */
class AdaptiveLimit {
  readonly budget: Budget;
  private readonly scarceBudget: Budget;
  private readonly shortBudget: Budget;
  private rate: number;
  private readonly minRate: number;
  private rateChangedAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly limit: number,
    members: number,
    burst: number,
  ) {
    this.rate = limit / members;
    this.minRate = this.rate * STORE_LIMIT_MIN_SHARE;
    this.rateChangedAt = clock.now();
    this.budget = new Budget(clock, this.rate, Math.max(this.rate, burst));
    this.scarceBudget = new Budget(clock, this.rate * WRITES_SCARCE_SHARE, this.rate);
    this.shortBudget = new Budget(clock, this.rate * WRITES_SHORT_SHARE, this.rate);
  }

  get supply(): Supply {
    if (this.shortBudget.left < 0) return 'short';
    return this.scarceBudget.left < 0 ? 'scarce' : 'plenty';
  }

  recordUse(writes: number): void {
    this.scarceBudget.force(writes);
    this.shortBudget.force(writes);
  }

  /** Work waits for this limit: time to try for more. */
  grow(): void {
    const now = this.clock.now();
    const seconds = Math.min(1, (now - this.rateChangedAt) / 1000);
    this.rateChangedAt = now;
    this.setRate(
      Math.min(
        this.limit * STORE_LIMIT_MAX_SHARE,
        this.rate + this.limit * STORE_LIMIT_GROWTH * seconds,
      ),
    );
  }

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

/** The state service's limits for all members together. */
export interface StoreLimits {
  rps: number;
  writeRps: number;
  /** Writes of one transaction. */
  transactionOps: number;
}

/** A request that waits for room. */
interface WaitingRequest {
  writes: number;
  /** Steady time at which it came. */
  waitingSince: number;
  proceed: () => void;
}

/** What waits for one purpose. Reads need no room for writes, so they are not kept behind them. */
class PurposeQueues {
  readonly reads: WaitingRequest[] = [];
  readonly writes: WaitingRequest[] = [];

  push(request: WaitingRequest): void {
    (request.writes > 0 ? this.writes : this.reads).push(request);
  }
}

/** Keeps this node's requests to the state service within its share of the limits. */
export class RateLimiter {
  private readonly requestLimit: AdaptiveLimit;
  private readonly writeLimit: AdaptiveLimit;
  private readonly queues = new Map<Purpose, PurposeQueues>(
    PURPOSES_BY_PRECEDENCE.map((purpose) => [purpose, new PurposeQueues()]),
  );
  private cancelTimer: (() => void) | null = null;
  /** Requests and writes passed, and refusals, for whoever watches the program. */
  readonly acquiredCounts = new Map<Purpose, { requests: number; writes: number }>();
  refusals = 0;

  constructor(
    private readonly clock: Clock,
    limits: StoreLimits,
    members = 1,
  ) {
    this.requestLimit = new AdaptiveLimit(clock, limits.rps, members, 0);
    this.writeLimit = new AdaptiveLimit(clock, limits.writeRps, members, limits.transactionOps);
  }

  /** Waits for room for one request with so many writes. Watches and roles never wait. */
  acquire(purpose: Purpose, writes: number): Promise<void> {
    if (purpose === 'watch' || purpose === 'role') {
      this.requestLimit.budget.force(1);
      if (writes > 0) this.writeLimit.budget.force(writes);
      this.count(purpose, writes);
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      this.queues.get(purpose)?.push({ writes, waitingSince: this.clock.now(), proceed: resolve });
      // The timer may be that of writes, which a read does not wait for.
      this.cancelTimer?.();
      this.dispatch();
    });
  }

  /** What this node wrote lately against its equal share: what can wait for others should. */
  get supply(): Supply {
    return this.writeLimit.supply;
  }

  /** Whether so many writes would pass at once. */
  hasCapacity(writes: number): boolean {
    return (
      this.writeLimit.budget.waitFor(writes) === 0 && this.requestLimit.budget.waitFor(1) === 0
    );
  }

  /** The state service answered 429 to a request with so many writes. */
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

  /** Lets pass what may pass, and comes back when the next one may. */
  private dispatch(): void {
    this.cancelTimer = null;
    const waitMs = this.dispatchReady();
    if (waitMs > 0) this.cancelTimer = this.clock.after(waitMs, () => this.dispatch());
  }

  /** Milliseconds until the next waiting request may pass; 0: none waits. */
  private dispatchReady(): number {
    let writesWaitMs = 0;
    for (const [purpose, queue] of this.queuesInOrder()) {
      for (let next = queue[0]; next; next = queue[0]) {
        const waitMs = this.requestWait();
        if (waitMs > 0) return waitMs;
        // Writes keep their order; what only reads goes on past them.
        if (next.writes > 0 && writesWaitMs === 0) writesWaitMs = this.writeWait(next.writes);
        if (next.writes > 0 && writesWaitMs > 0) break;
        queue.shift();
        this.spend(purpose, next.writes);
        next.proceed();
      }
    }
    return writesWaitMs;
  }

  /**
   * The queues in the order in which they are served: by purpose, but users' checks that have waited
   * for long first. Decisions can use up all requests for longer than users go on asking.
   */
  private queuesInOrder(): [Purpose, WaitingRequest[]][] {
    const queues: [Purpose, WaitingRequest[]][] = [];
    const checks = this.queues.get('check')?.reads ?? [];
    const overdue = checks[0] && this.clock.now() - checks[0].waitingSince > CHECK_OVERDUE_MS;
    if (overdue) queues.push(['check', checks]);
    for (const purpose of PURPOSES_BY_PRECEDENCE) {
      const waiting = this.queues.get(purpose);
      if (waiting) queues.push([purpose, waiting.reads], [purpose, waiting.writes]);
    }
    return queues;
  }

  /** ms until a request may pass; a limit that is short grows. */
  private requestWait(): number {
    const waitMs = this.requestLimit.budget.waitFor(1);
    if (waitMs > 0) this.requestLimit.grow();
    return waitMs;
  }

  /** ms until so many writes may pass; a limit that is short grows. */
  private writeWait(writes: number): number {
    const waitMs = this.writeLimit.budget.waitFor(writes);
    if (waitMs > 0) this.writeLimit.grow();
    return waitMs;
  }

  private spend(purpose: Purpose, writes: number): void {
    this.requestLimit.budget.spend(1);
    if (writes > 0) this.writeLimit.budget.spend(writes);
    this.count(purpose, writes);
  }
}
