/** When tasks of each job were assigned or seen to run last: the pace of assigning depends on it. */
import { STARVED_MS } from '../../constants/leader.js';
import type { OpenJob } from './scheduling-order.js';

/** When a job last got tasks assigned, and how many found no room then. */
export interface RecentAssignment {
  readonly at: number;
  readonly short: number;
}

/** What the leader remembers of the jobs to which it assigned tasks. */
export class AssignmentHistory {
  private readonly recent = new Map<string, RecentAssignment>();
  /** When something of a job ran or was assigned last, as far as this leader saw. */
  private readonly servedAt = new Map<string, number>();

  /** Forgets assignments that are `paceMs` old: their jobs may get tasks again. */
  expire(now: number, paceMs: number): void {
    for (const [job, { at }] of this.recent) {
      if (now - at >= paceMs) this.recent.delete(job);
    }
  }

  /** The assignment after which a job must pause; undefined: there is none. */
  recentOf(job: string): RecentAssignment | undefined {
    return this.recent.get(job);
  }

  /** Notes that tasks of a job were assigned, and how many found no room. */
  assigned(job: string, now: number, short: number): void {
    this.recent.set(job, { at: now, short });
    this.servedAt.set(job, now);
  }

  /** Whether nothing of a job has run or been assigned for a while; notes it where something has. */
  isStarved(job: OpenJob, now: number): boolean {
    const since = this.servedAt.get(job.id);
    if (since !== undefined && job.live === 0) return now - since > STARVED_MS;
    this.servedAt.set(job.id, now);
    return false;
  }

  /** Forgets jobs that are no longer open. */
  forgetClosed(isOpen: (job: string) => boolean): void {
    for (const job of this.servedAt.keys()) {
      if (!isOpen(job)) this.servedAt.delete(job);
    }
  }
}
