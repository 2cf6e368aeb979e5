/**
 * Keeps the times at which tasks of each job were last assigned or placed. They limit how often a
 * job is assigned, and show which jobs are starved.
 */
import { STARVATION_MS } from '../../constants/leader.js';
import type { OpenJob } from './scheduling-order.js';

/**
 * Time at which tasks of a job were last assigned, and number of its tasks without capacity then.
 */
export interface RecentAssignment {
  readonly assignedAt: number;
  readonly tasksWithoutCapacity: number;
}

/** History of the assignments of open jobs. Times are of the steady clock, in ms. */
export class AssignmentHistory {
  private readonly recent = new Map<string, RecentAssignment>();
  /**
   * Time at which tasks of each job were last assigned by this leader, or were last found to be
   * placed. For a job without either, the time of its first check.
   */
  private readonly lastActiveAt = new Map<string, number>();

  /** Removes assignments made at least `intervalMs` ago, so that their jobs may get tasks again. */
  expire(now: number, intervalMs: number): void {
    for (const [job, { assignedAt }] of this.recent) {
      if (now - assignedAt >= intervalMs) this.recent.delete(job);
    }
  }

  /** Returns the recent assignment after which a job must pause; undefined: no pause. */
  recentOf(job: string): RecentAssignment | undefined {
    return this.recent.get(job);
  }

  /** Records that tasks of a job were assigned, and how many of its tasks had no capacity. */
  recordAssignment(job: string, now: number, tasksWithoutCapacity: number): void {
    this.recent.set(job, { assignedAt: now, tasksWithoutCapacity });
    this.lastActiveAt.set(job, now);
  }

  /**
   * Returns whether no task of a job was placed or assigned for more than `STARVATION_MS`. Also
   * records the job as active if it has placed tasks, or if this is its first check.
   */
  checkStarved(job: OpenJob, now: number): boolean {
    const lastActiveAt = this.lastActiveAt.get(job.id);
    if (lastActiveAt !== undefined && job.placed === 0) return now - lastActiveAt > STARVATION_MS;
    this.lastActiveAt.set(job.id, now);
    return false;
  }

  /** Removes jobs that are no longer open. */
  forgetClosed(isOpen: (job: string) => boolean): void {
    for (const job of this.lastActiveAt.keys()) {
      if (!isOpen(job)) this.lastActiveAt.delete(job);
    }
  }
}
