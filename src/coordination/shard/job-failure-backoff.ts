/** Pauses of jobs whose tasks failed. */

import { MAX_FAILURE_BACKOFF_S, FAILURE_BACKOFF_S } from '../../constants/shard.js';
import { KeyedBackoff } from '../../transport/backoff.js';
import type { Clock } from '../../transport/clock.js';

/** Pauses a job after failures of its tasks, longer after each until one succeeds. */
export class JobFailureBackoff {
  private readonly backoff: KeyedBackoff;

  constructor(clock: Clock) {
    this.backoff = new KeyedBackoff(clock, FAILURE_BACKOFF_S * 1000, MAX_FAILURE_BACKOFF_S * 1000);
  }

  /** A task of the job failed now; returns for how many seconds the job is paused. */
  add(job: string): number {
    return this.backoff.recordFailure(job) / 1000;
  }

  /** A task of the job succeeded, or the shard has no task of the job any more. */
  clear(job: string): void {
    this.backoff.clear(job);
  }

  /** Whether the job is paused after failures. */
  isPaused(job: string): boolean {
    return this.backoff.isPaused(job);
  }
}
