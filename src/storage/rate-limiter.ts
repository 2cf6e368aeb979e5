/** This node's share of the state service's rate limits, handed out by the purpose of each request. */

import {
  CHECK_OVERDUE_MS,
  STORE_LIMIT_AFTER_REFUSAL,
  STORE_LIMIT_FLOOR,
  STORE_LIMIT_GROWTH,
  STORE_LIMIT_SHARE,
  STORE_SCARCE_SHARE,
  STORE_SHORT_SHARE,
} from '../constants/storage.js';
import { Budget } from '../transport/budget.js';
import type { Clock } from '../transport/clock.js';

/** Kinds of work in the order in which they get the state service's limited requests. */
const ORDER = [
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
export type Purpose = (typeof ORDER)[number];

/** How far writes reach: below half of an equal share, below most of it, or above. */
export type Supply = 'plenty' | 'scarce' | 'short';

/**
 * One of the state service's limits as this node uses it. All members together must stay below it,
 * but what some leave unused should serve those that need it: each begins with its equal share,
 * takes more as long as nothing is refused, and steps back when something is.
 */
class Share {
  readonly budget: Budget;
  private readonly fair: Budget;
  private readonly equal: Budget;
  private rate: number;
  private readonly floor: number;
  private grownAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly limit: number,
    members: number,
    burst: number,
  ) {
    this.rate = limit / members;
    this.floor = this.rate * STORE_LIMIT_FLOOR;
    this.grownAt = clock.now();
    this.budget = new Budget(clock, this.rate, Math.max(this.rate, burst));
    this.fair = new Budget(clock, this.rate * STORE_SCARCE_SHARE, this.rate);
    this.equal = new Budget(clock, this.rate * STORE_SHORT_SHARE, this.rate);
  }

  get supply(): Supply {
    if (this.equal.left < 0) return 'short';
    return this.fair.left < 0 ? 'scarce' : 'plenty';
  }

  use(cost: number): void {
    this.fair.force(cost);
    this.equal.force(cost);
  }

  /** Work waits for this limit: time to try for more. */
  grow(): void {
    const now = this.clock.now();
    const seconds = Math.min(1, (now - this.grownAt) / 1000);
    this.grownAt = now;
    this.set(
      Math.min(
        this.limit * STORE_LIMIT_SHARE,
        this.rate + this.limit * STORE_LIMIT_GROWTH * seconds,
      ),
    );
  }

  refused(): void {
    this.grownAt = this.clock.now();
    this.set(Math.max(this.floor, this.rate * STORE_LIMIT_AFTER_REFUSAL));
    this.budget.drain();
  }

  private set(rate: number): void {
    this.rate = rate;
    this.budget.setRate(rate);
  }
}

/** The state service's limits for all members together. */
export interface StateLimits {
  rps: number;
  writeRps: number;
  /** Writes of one transaction. */
  transactionOps: number;
}

/** A request that waits for room. */
interface WaitingRequest {
  cost: number;
  /** Steady time at which it came. */
  since: number;
  go: () => void;
}

/** What waits for one purpose. Reads need no room for writes, so they are not kept behind them. */
class Lane {
  readonly reads: WaitingRequest[] = [];
  readonly writes: WaitingRequest[] = [];

  push(request: WaitingRequest): void {
    (request.cost > 0 ? this.writes : this.reads).push(request);
  }
}

/** Keeps this node's requests to the state service within its share of the limits. */
export class RateLimiter {
  private readonly requests: Share;
  private readonly writes: Share;
  private readonly lanes = new Map<Purpose, Lane>(ORDER.map((purpose) => [purpose, new Lane()]));
  private timer: (() => void) | null = null;
  /** Requests and writes passed, and refusals, for whoever watches the program. */
  readonly passed = new Map<Purpose, { requests: number; writes: number }>();
  refusals = 0;

  constructor(
    private readonly clock: Clock,
    limits: StateLimits,
    members = 1,
  ) {
    this.requests = new Share(clock, limits.rps, members, 0);
    this.writes = new Share(clock, limits.writeRps, members, limits.transactionOps);
  }

  /** Waits for room for one request with so many writes. Watches and roles never wait. */
  pass(purpose: Purpose, cost: number): Promise<void> {
    if (purpose === 'watch' || purpose === 'role') {
      this.requests.budget.force(1);
      if (cost > 0) this.writes.budget.force(cost);
      this.count(purpose, cost);
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      this.lanes.get(purpose)?.push({ cost, since: this.clock.now(), go: resolve });
      // The timer may be that of writes, which a read does not wait for.
      this.timer?.();
      this.pump();
    });
  }

  /** What this node wrote lately against its equal share: what can wait for others should. */
  get supply(): Supply {
    return this.writes.supply;
  }

  /** Whether so many writes would pass at once. */
  hasCapacity(cost: number): boolean {
    return this.writes.budget.waitFor(cost) === 0 && this.requests.budget.waitFor(1) === 0;
  }

  /** The state service answered 429 to a request with so many writes. */
  refused(cost: number): void {
    this.refusals++;
    this.requests.refused();
    if (cost > 0) this.writes.refused();
  }

  private count(purpose: Purpose, cost: number): void {
    this.writes.use(cost);
    const counts = this.passed.get(purpose) ?? { requests: 0, writes: 0 };
    counts.requests++;
    counts.writes += cost;
    this.passed.set(purpose, counts);
  }

  /** Lets pass what may pass, and comes back when the next one may. */
  private pump(): void {
    this.timer = null;
    const waitMs = this.passAll();
    if (waitMs > 0) this.timer = this.clock.after(waitMs, () => this.pump());
  }

  /** Milliseconds until the next waiting request may pass; 0: none waits. */
  private passAll(): number {
    let writesWaitMs = 0;
    for (const [purpose, queue] of this.queuesInOrder()) {
      for (let next = queue[0]; next; next = queue[0]) {
        const waitMs = this.requestWait();
        if (waitMs > 0) return waitMs;
        // Writes keep their order; what only reads goes on past them.
        if (next.cost > 0 && writesWaitMs === 0) writesWaitMs = this.writeWait(next.cost);
        if (next.cost > 0 && writesWaitMs > 0) break;
        queue.shift();
        this.spend(purpose, next.cost);
        next.go();
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
    const checks = this.lanes.get('check')?.reads ?? [];
    const overdue = checks[0] && this.clock.now() - checks[0].since > CHECK_OVERDUE_MS;
    if (overdue) queues.push(['check', checks]);
    for (const purpose of ORDER) {
      const lane = this.lanes.get(purpose);
      if (lane) queues.push([purpose, lane.reads], [purpose, lane.writes]);
    }
    return queues;
  }

  /** ms until a request may pass; a limit that is short grows. */
  private requestWait(): number {
    const waitMs = this.requests.budget.waitFor(1);
    if (waitMs > 0) this.requests.grow();
    return waitMs;
  }

  /** ms until so many writes may pass; a limit that is short grows. */
  private writeWait(cost: number): number {
    const waitMs = this.writes.budget.waitFor(cost);
    if (waitMs > 0) this.writes.grow();
    return waitMs;
  }

  private spend(purpose: Purpose, cost: number): void {
    this.requests.budget.spend(1);
    if (cost > 0) this.writes.budget.spend(cost);
    this.count(purpose, cost);
  }
}
