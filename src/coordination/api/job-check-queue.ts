/** Queue of job checks that are not sent yet, and the requests that wait for their results. */
import { MAX_WAITING_CHECKS } from '../../constants/api.js';
import type { Clock } from '../../transport/clock.js';
import { UNKNOWN_LOOKUP, type JobLookup } from './job-lookup.js';

/** A request that waits for the result of a check. */
interface Waiter {
  /**
   * Check whose result the request awaits; replaced when `requeue` moves the request to a newer
   * check of the same job.
   */
  check: JobCheck;
  resolve: (lookup: JobLookup) => void;
  /** Cancels the time-out; otherwise thousands of unneeded timers would wake the process. */
  cancelTimer: () => void;
}

/** A job to be checked, and the requests that wait for the result. */
export interface JobCheck {
  readonly id: string;
  readonly waiters: Set<Waiter>;
}

/** Queue with at most one check per job, in order of arrival. */
export class JobCheckQueue {
  /** Checks that are not sent yet, by the job's id. */
  private readonly pending = new Map<string, JobCheck>();
  /** Number of waiters of all checks, including checks that were sent and have no result yet. */
  private waiterCount = 0;

  constructor(private readonly clock: Clock) {}

  /** Number of checks that are not sent yet. */
  get size(): number {
    return this.pending.size;
  }

  /**
   * Returns whether another request may wait for a check of a job: a check of this job is queued
   * already, or fewer than `MAX_WAITING_CHECKS` requests wait for checks of any job.
   */
  mayWaitFor(id: string): boolean {
    return this.pending.has(id) || this.waiterCount < MAX_WAITING_CHECKS;
  }

  /**
   * Queues a check of a job, unless one is queued already, and returns its result. The result is
   * unknown if there is none within `timeoutMs`.
   */
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
   * Removes and returns the next checks, at most `maxCount`. A check for which `resultOf` returns a
   * result is resolved with it instead.
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

  /** Resolves all waiters of a check with its result. */
  resolve(check: JobCheck, lookup: JobLookup): void {
    this.waiterCount -= check.waiters.size;
    for (const { resolve, cancelTimer } of check.waiters) {
      cancelTimer();
      resolve(lookup);
    }
    check.waiters.clear();
  }

  /**
   * Queues a check again that got no result, unless all of its waiters have timed out. If a newer
   * check of the job is queued already, the waiters are moved to it.
   */
  requeue(check: JobCheck): void {
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

  /** Resolves a waiter that has timed out; a check without further waiters is not sent. */
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
