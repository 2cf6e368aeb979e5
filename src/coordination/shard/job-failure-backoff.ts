/** Backoff of jobs whose tasks failed. */
import { MAX_FAILURE_BACKOFF_S, FAILURE_BACKOFF_S } from '../../constants/shard.js';
import type { Clock } from '../../transport/clock.js';

/** Lets a job wait after failures of its tasks, longer after each until one succeeds. */
export class JobFailureBackoff {
  private readonly failures = new Map<string, { count: number; until: number }>();

  constructor(private readonly clock: Clock) {}

  /** A task of the job failed now; returns for how many seconds the job waits. */
  add(job: string): number {
    const before = this.failures.get(job)?.count ?? 0;
    const pauseS = Math.min(FAILURE_BACKOFF_S * 2 ** before, MAX_FAILURE_BACKOFF_S);
    this.failures.set(job, { count: before + 1, until: this.clock.now() + pauseS * 1000 });
    return pauseS;
  }

  /** A task of the job succeeded, or nothing of the job is left here. */
  clear(job: string): void {
    this.failures.delete(job);
  }

  /** Whether the job waits after failures. */
  isPaused(job: string): boolean {
    return (this.failures.get(job)?.until ?? 0) > this.clock.now();
  }
}
