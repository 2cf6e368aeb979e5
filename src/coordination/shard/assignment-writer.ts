/** Writes a shard's changed assignments to the key-value store. */
import { OVERSIZED_ASSIGNMENT_RETRY_MS } from '../../constants/shard.js';
import type { CommitResult } from '../../storage/committer.js';
import { RejectedChangeBackoff } from '../../storage/rejected-change-backoff.js';
import { AssignmentTransaction, type AssignmentWrite } from './assignment-transaction.js';
import { WriteSchedule } from './write-schedule.js';
import type { ShardContext } from './shard-context.js';
import type { Assignment } from '../shard-state/assignment.js';

/** Functions of the shard that the writer calls. */
export interface AssignmentWriterCallbacks {
  /**
   * Called after a transaction was committed, so that the starts of its new placements, which are
   * on these machines, may be sent. `urgent`: the transaction wrote urgent assignments.
   */
  readonly onCommitted: (machines: ReadonlySet<string>, urgent: boolean) => void;
}

/**
 * Writes a shard's changed assignments in transactions that are guarded by the shard's role.
 * Placements are written with little delay, and ends of tasks in larger batches. An assignment that
 * is larger than the store's limit for values is split.
 */
export class AssignmentWriter {
  /**
   * Assignments that are not written for now, because the store rejected them or their pieces do
   * not fit one transaction.
   */
  private readonly withheld: RejectedChangeBackoff;
  private readonly schedule: WriteSchedule;

  constructor(
    private readonly context: ShardContext,
    private readonly callbacks: AssignmentWriterCallbacks,
  ) {
    this.withheld = new RejectedChangeBackoff(context.clock);
    this.schedule = new WriteSchedule(context, this.withheld);
  }

  /** Removes pauses that expired long ago. */
  sweep(): void {
    this.withheld.removeExpired();
  }

  /**
   * Writes the assignments that are due, one transaction after the other. Ends early if a
   * transaction is not committed, if non-urgent assignments must wait for the rate limit, or if
   * this controller no longer holds the shard.
   */
  async flush(): Promise<void> {
    const { committer, options } = this.context;
    for (;;) {
      const due = this.schedule.dueAssignments();
      const [first] = due;
      if (!first) return;
      // Urgent and non-urgent assignments share no transaction, because the non-urgent ones may
      // have to wait for the rate limit.
      const urgent = this.schedule.isUrgent(first);
      if (!urgent && !this.schedule.mayWriteNonUrgent(due)) return;
      const transaction = this.build(due, urgent);
      const { changes, writes } = transaction;
      if (changes.length === 0) continue;
      const purpose = urgent ? 'urgent' : 'part';
      const result = await committer.commit(
        purpose,
        transaction.guards(),
        changes,
        options.isHolder,
      );
      for (const { pieces } of writes) this.context.tasks.plannedPieces.remove(pieces);
      if (!options.isHolder()) return;
      if (result.kind !== 'done') {
        this.reloadUncommitted(writes, result);
        return;
      }
      for (const assignment of writes) this.recordCommitted(assignment);
      this.callbacks.onCommitted(transaction.machines, urgent);
    }
  }

  /**
   * Builds the next transaction from the first due assignments, up to the first one that has
   * another urgency or no longer fits.
   */
  private build(due: readonly Assignment[], urgent: boolean): AssignmentTransaction {
    const { log, options } = this.context;
    const transaction = new AssignmentTransaction(this.context);
    const keys = due.map((assignment) => assignment.key);
    for (const assignment of due.slice(0, this.withheld.batchSize(keys, options.transactionOps))) {
      if (this.schedule.isUrgent(assignment) !== urgent) break;
      const result = transaction.add(assignment, this.schedule.mustBeRemoved(assignment));
      if (result.kind === 'full') break;
      if (result.kind === 'added') continue;
      log.info(
        { shard: options.shard, assignment: assignment.key, pieces: result.pieces },
        'assignment too large for one transaction',
      );
      this.withheld.pause(assignment.key, OVERSIZED_ASSIGNMENT_RETRY_MS);
    }
    return transaction;
  }

  /** Reloads assignments from the replica after a transaction that was not committed. */
  private reloadUncommitted(writes: readonly AssignmentWrite[], result: CommitResult): void {
    const { log, options, tasks } = this.context;
    log.info({ shard: options.shard, result }, 'assignments not committed');
    for (const { assignment } of writes) {
      if (result.kind === 'rejected') this.withheld.recordRejection(assignment.key);
      tasks.reload(assignment);
    }
  }

  /** Updates an assignment after its commit: stores its committed record, or removes it. */
  private recordCommitted({ assignment, pieces }: AssignmentWrite): void {
    const { assignmentsOfEndedJobs, jobFailureBackoff, tasks } = this.context;
    this.withheld.clear(assignment.key);
    const [first] = pieces;
    if (first) {
      assignment.committedRecord = first.record;
      return;
    }
    assignmentsOfEndedJobs.delete(assignment);
    if (tasks.remove(assignment)) jobFailureBackoff.clear(assignment.job);
  }
}
