import { STATE_SHARE } from '../constants.js';
import { Budget } from '../transport/budget.js';
import type { Clock } from '../transport/clock.js';

/** Kinds of work in the order in which they get the state service's limited requests. */
const ORDER = ['watch', 'role', 'part', 'leader', 'check', 'submit'] as const;
export type Purpose = (typeof ORDER)[number];

/** Keeps this node's requests to the state service within its share of the limits. */
export class Gate {
  private readonly requests: Budget;
  private readonly writes: Budget;
  private readonly waiting = new Map<Purpose, { cost: number; go: () => void }[]>();
  private timer: (() => void) | null = null;

  constructor(
    private readonly clock: Clock,
    rps: number,
    writeRps: number,
    txnOps: number,
  ) {
    const requestRate = rps * STATE_SHARE;
    const writeRate = writeRps * STATE_SHARE;
    this.requests = new Budget(clock, requestRate, requestRate);
    this.writes = new Budget(clock, writeRate, Math.max(writeRate, txnOps));
  }

  /** Waits for room for one request with so many writes. Watches and roles never wait. */
  pass(purpose: Purpose, cost: number): Promise<void> {
    if (purpose === 'watch' || purpose === 'role') {
      this.requests.force(1);
      if (cost > 0) this.writes.force(cost);
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const queue = this.waiting.get(purpose) ?? [];
      this.waiting.set(purpose, queue);
      queue.push({ cost, go: resolve });
      if (this.timer === null) this.pump();
    });
  }

  /** The state service answered 429. */
  refused(): void {
    this.requests.drain();
    this.writes.drain();
  }

  private pump(): void {
    this.timer = null;
    for (const purpose of ORDER) {
      const queue = this.waiting.get(purpose);
      while (queue && queue.length > 0) {
        const next = queue[0];
        if (!next) break;
        const wait = Math.max(
          next.cost > 0 ? this.writes.waitFor(next.cost) : 0,
          this.requests.waitFor(1),
        );
        if (wait > 0) {
          this.timer = this.clock.after(wait, () => this.pump());
          return;
        }
        this.requests.spend(1);
        if (next.cost > 0) this.writes.spend(next.cost);
        queue.shift();
        next.go();
      }
    }
  }
}
