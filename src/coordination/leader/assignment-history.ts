/** When each job last had tasks assigned or running: its rate of assignments depends on it. */
import { STARVATION_MS } from '../../constants/leader.js';
import type { OpenJob } from './scheduling-order.js';

/** When a job last got tasks, and how many were left without capacity. */
export interface RecentAssignment {
  readonly assignedAt: number;
  readonly tasksWithoutCapacity: number;
}

/** The history of assignments of open jobs. */
export class AssignmentHistory {
  private readonly recent = new Map<string, RecentAssignment>();
  /** When a job last had tasks placed or assigned, as far as this leader saw. */
  private readonly lastActiveAt = new Map<string, number>();

  /** Forgets assignments older than `intervalMs`: their jobs may get tasks again. */
  expire(now: number, intervalMs: number): void {
    for (const [job, { assignedAt }] of this.recent) {
      if (now - assignedAt >= intervalMs) this.recent.delete(job);
    }
  }

  /** The assignment after which a job must pause; undefined: it need not. */
  recentOf(job: string): RecentAssignment | undefined {
    return this.recent.get(job);
  }

  /** Records that tasks of a job were assigned, and how many were left without capacity. */
  recordAssignment(job: string, now: number, tasksWithoutCapacity: number): void {
    this.recent.set(job, { assignedAt: now, tasksWithoutCapacity });
    this.lastActiveAt.set(job, now);
  }

  /** Whether no task of a job was placed or assigned for a while. Records activity as it checks. */
  checkStarved(job: OpenJob, now: number): boolean {
    const lastActiveAt = this.lastActiveAt.get(job.id);
    if (lastActiveAt !== undefined && job.placed === 0) return now - lastActiveAt > STARVATION_MS;
    this.lastActiveAt.set(job.id, now);
    return false;
  }

  /** Forgets jobs that are no longer open. */
  forgetClosed(isOpen: (job: string) => boolean): void {
    for (const job of this.lastActiveAt.keys()) {
      if (!isOpen(job)) this.lastActiveAt.delete(job);
    }
  }
}
