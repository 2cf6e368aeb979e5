/** Decides which of a shard's changed assignments are written now. */
import {
  COMPLETION_BATCH_MS,
  PLACEMENT_BATCH_MS,
  MAX_WRITE_DELAY_MS,
} from '../../constants/shard.js';
import type { RejectedChangeBackoff } from '../../storage/rejected-change-backoff.js';
import { rankOf } from '../../protocol/model.js';
import { jobSpec, type ShardContext } from './shard-context.js';
import type { Assignment } from '../shard-state/assignment.js';

/** Orders the changed assignments by urgency, and delays those that can share a later write. */
export class WriteSchedule {
  constructor(
    private readonly context: ShardContext,
    /**
     * Assignments that are not written for now, because the store rejected them or their pieces do
     * not fit one transaction.
     */
    private readonly withheld: RejectedChangeBackoff,
  ) {}

  /** The assignments that are due to be written, urgent ones first. */
  dueAssignments(): Assignment[] {
    const { clock, assignmentsOfEndedJobs, tasks } = this.context;
    const now = clock.now();
    for (const assignment of assignmentsOfEndedJobs)
      if (this.mustBeRemoved(assignment)) tasks.markChanged(assignment);
    const due: Assignment[] = [];
    for (const assignment of tasks.changedAssignments) {
      if (!this.withheld.isPaused(assignment.key) && this.isDue(assignment, now))
        due.push(assignment);
    }
    return due.sort((a, b) => Number(this.isUrgent(b)) - Number(this.isUrgent(a)));
  }

  /**
   * Whether non-urgent assignments may be written now: one of them has a change older than
   * `MAX_WRITE_DELAY_MS`, or the store's rate limits leave capacity for them.
   */
  mayWriteNonUrgent(due: readonly Assignment[]): boolean {
    const { clock, options } = this.context;
    const now = clock.now();
    const isOverdue = due.some(
      (assignment) => now - (assignment.changedSince ?? now) > MAX_WRITE_DELAY_MS,
    );
    return isOverdue || options.limiter.hasCapacity(Math.min(due.length, options.transactionOps));
  }

  /**
   * Whether the assignment must be removed: all of its tasks were returned to the leader, or its
   * job has ended and no task is placed.
   */
  mustBeRemoved(assignment: Assignment): boolean {
    if (assignment.tasks.size === 0) return true;
    return assignment.placedCount === 0 && jobSpec(this.context, assignment.job) === null;
  }

  /** Whether the assignment's job is a gang or has at least high priority. */
  isUrgent(assignment: Assignment): boolean {
    const spec = jobSpec(this.context, assignment.job);
    if (spec?.kind === 'gang') return true;
    return spec !== null && rankOf(spec.priority) >= rankOf('high');
  }

  /**
   * Whether an assignment's changes should be written now. Urgent placements are written at once,
   * other placements and the last ends of an assignment's tasks after `PLACEMENT_BATCH_MS`. Other
   * ends wait for `COMPLETION_BATCH_MS` to share a write, because one write for each short task
   * would exceed the key-value store's limits.
   */
  private isDue(assignment: Assignment, now: number): boolean {
    if (this.mustBeRemoved(assignment)) return true;
    const age = now - (assignment.changedSince ?? now);
    const supply = this.context.options.limiter.supply;
    if (age >= COMPLETION_BATCH_MS[supply]) return true;
    // Other shards stop their subsets of the gang once the stored record of this one shows that it
    // is stopping.
    const spansShards = assignment.tasks.size < (jobSpec(this.context, assignment.job)?.tasks ?? 0);
    if (assignment.hasFailed && spansShards && !assignment.committedRecord.stopping) return true;
    if (!this.hasNewPlacements(assignment) && this.hasUnfinishedTasks(assignment)) return false;
    return this.isUrgent(assignment) || age >= PLACEMENT_BATCH_MS[supply];
  }

  /** Whether some of the assignment's placements are not committed yet. */
  private hasNewPlacements(assignment: Assignment): boolean {
    return [...assignment.tasks.values()].some(
      (task) => task.state === 'placed' && !this.context.tasks.isCommitted(assignment, task),
    );
  }

  /** Whether tasks of the assignment wait for a machine or are placed. */
  private hasUnfinishedTasks(assignment: Assignment): boolean {
    return (
      assignment.waitingTasks.size > 0 ||
      [...assignment.tasks.values()].some(({ state }) => state === 'placed')
    );
  }
}
