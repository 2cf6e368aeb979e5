/** When tasks of each job were assigned or seen to run last: the pace of assigning depends on it. */
import { STARVATION_MS } from '../../constants/leader.js';
import type { OpenJob } from './scheduling-order.js';

/** When a job last got tasks assigned, and how many found no room then. */
export interface RecentAssignment {
  readonly assignedAt: number;
  readonly tasksWithoutCapacity: number;
}

/** What the leader remembers of the jobs to which it assigned tasks. */
export class AssignmentHistory {
  private readonly recent = new Map<string, RecentAssignment>();
  /** When something of a job ran or was assigned last, as far as this leader saw. */
  private readonly lastActiveAt = new Map<string, number>();

  /** Forgets assignments that are `paceMs` old: their jobs may get tasks again. */
  expire(now: number, intervalMs: number): void {
    for (const [job, { assignedAt }] of this.recent) {
      if (now - assignedAt >= intervalMs) this.recent.delete(job);
    }
  }

  /** The assignment after which a job must pause; undefined: there is none. */
  recentOf(job: string): RecentAssignment | undefined {
    return this.recent.get(job);
  }

  /** Notes that tasks of a job were assigned, and how many found no room. */
  recordAssignment(job: string, now: number, tasksWithoutCapacity: number): void {
    this.recent.set(job, { assignedAt: now, tasksWithoutCapacity });
    this.lastActiveAt.set(job, now);
  }

  /** Whether nothing of a job has run or been assigned for a while; notes it where something has. */
  isStarved(job: OpenJob, now: number): boolean {
    const activeAt = this.lastActiveAt.get(job.id);
    if (activeAt !== undefined && job.placed === 0) return now - activeAt > STARVATION_MS;
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
