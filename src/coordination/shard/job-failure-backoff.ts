/** Pauses jobs whose tasks fail, so that no more of their tasks are placed during the pause. */

import { MAX_FAILURE_BACKOFF_S, MIN_FAILURE_BACKOFF_S } from '../../constants/shard.js';
import { KeyedBackoff } from '../../transport/backoff.js';
import type { Clock } from '../../transport/clock.js';

/** Pauses a job after each failure of its tasks, longer each time until a task succeeds. */
export class JobFailureBackoff {
  private readonly backoff: KeyedBackoff;

  constructor(clock: Clock) {
    this.backoff = new KeyedBackoff(
      clock,
      MIN_FAILURE_BACKOFF_S * 1000,
      MAX_FAILURE_BACKOFF_S * 1000,
    );
  }

  /** Records a failure of one of the job's tasks; returns the length of the pause in seconds. */
  recordFailure(job: string): number {
    return this.backoff.recordFailure(job) / 1000;
  }

  /**
   * Ends the pause of a job. Called when a task of the job succeeded, or when the shard has no more
   * tasks of the job.
   */
  clear(job: string): void {
    this.backoff.clear(job);
  }

  /** Whether the job is paused now. */
  isPaused(job: string): boolean {
    return this.backoff.isPaused(job);
  }
}
