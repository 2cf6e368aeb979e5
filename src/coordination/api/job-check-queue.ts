/** Job checks that wait to be sent, and all who wait for their results. */
import { MAX_WAITING_CHECKS } from '../../constants/api.js';
import type { Clock } from '../../transport/clock.js';
import { UNKNOWN_LOOKUP, type JobLookup } from './job-lookup.js';

/** A request that waits for the result of a check. */
interface Waiter {
  /** Another one once this check was merged into a later one of the same job. */
  check: JobCheck;
  resolve: (lookup: JobLookup) => void;
  /** Ends its timer: thousands left to run out would each wake the process. */
  cancelTimer: () => void;
}

/** A job to be checked, and all who wait for the result. */
export interface JobCheck {
  readonly id: string;
  readonly waiters: Set<Waiter>;
}

/** One check for each job, in the order in which they came. */
export class JobCheckQueue {
  /** Checks that are not sent yet. */
  private readonly pending = new Map<string, JobCheck>();
  /** Waiters of all checks, of those that were sent too. */
  private waiterCount = 0;

  constructor(private readonly clock: Clock) {}

  /** Number of checks that are not sent yet. */
  get size(): number {
    return this.pending.size;
  }

  /** Whether a further request may wait for the check of a job. */
  mayWaitFor(id: string): boolean {
    return this.pending.has(id) || this.waiterCount < MAX_WAITING_CHECKS;
  }

  /** Waits for the check of a job, which is queued if it is not yet; unknown after `timeoutMs`. */
  waitFor(id: string, timeoutMs: number): Promise<JobLookup> {
    const check = this.pending.get(id) ?? { id, waiters: new Set() };
    this.pending.set(id, check);
    return new Promise((resolve) => {
      const cancelTimer = this.clock.after(timeoutMs, () => this.expire(waiter));
      const waiter: Waiter = { check, resolve, cancelTimer };
      check.waiters.add(waiter);
      this.waiterCount++;
    });
  }

  /**
   * Takes out the next checks, `maxCount` at the most. Those whose result `resultOf` knows by now
   * are resolved with it instead.
   */
  takeNext(maxCount: number, resultOf: (id: string) => JobLookup | null): JobCheck[] {
    const taken: JobCheck[] = [];
    for (const check of this.pending.values()) {
      if (taken.length >= maxCount) break;
      this.pending.delete(check.id);
      const lookup = resultOf(check.id);
      if (lookup) this.resolve(check, lookup);
      else taken.push(check);
    }
    return taken;
  }

  /** Gives all who wait for a check its result. */
  resolve(check: JobCheck, lookup: JobLookup): void {
    this.waiterCount -= check.waiters.size;
    for (const { resolve, cancelTimer } of check.waiters) {
      cancelTimer();
      resolve(lookup);
    }
    check.waiters.clear();
  }

  /** Queues a check again that had no result, unless nobody waits for it any more. */
  putBack(check: JobCheck): void {
    if (check.waiters.size === 0) return;
    const newer = this.pending.get(check.id);
    if (!newer) {
      this.pending.set(check.id, check);
      return;
    }
    for (const waiter of check.waiters) {
      waiter.check = newer;
      newer.waiters.add(waiter);
    }
    check.waiters.clear();
  }

  /** A waiter's time is up; a check that nobody waits for is not sent. */
  private expire(waiter: Waiter): void {
    const { check } = waiter;
    if (!check.waiters.delete(waiter)) return;
    this.waiterCount--;
    if (check.waiters.size === 0 && this.pending.get(check.id) === check) {
      this.pending.delete(check.id);
    }
    waiter.resolve(UNKNOWN_LOOKUP);
  }
}
