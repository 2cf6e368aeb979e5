/** Writes a shard's changed assignments to the key-value store. */
import { OVERSIZED_ASSIGNMENT_RETRY_MS } from '../../constants/shard.js';
import type { CommitResult } from '../../storage/committer.js';
import { RejectedChangeBackoff } from '../../storage/rejected-change-backoff.js';
import { AssignmentTransaction, type WrittenAssignment } from './assignment-transaction.js';
import { WriteSchedule } from './write-schedule.js';
import type { ShardContext } from './shard-context.js';
import type { Assignment } from '../shard-state/assignment.js';

/** What the writer tells its shard. */
export interface AssignmentWriterCallbacks {
  /** Placements on these machines are committed: their starts may be sent. */
  readonly onCommitted: (machines: ReadonlySet<string>, urgent: boolean) => void;
}

/**
 * Writes a shard's assignments: what starts tasks at once, ends in batches, each assignment within
 * the limits of values and transactions. Everything guards the shard's role.
 */
export class AssignmentWriter {
  /** Assignments whose changes were called invalid, or are too large to be written yet. */
  private readonly withheld: RejectedChangeBackoff;
  private readonly schedule: WriteSchedule;

  constructor(
    private readonly context: ShardContext,
    private readonly callbacks: AssignmentWriterCallbacks,
  ) {
    this.withheld = new RejectedChangeBackoff(context.clock);
    this.schedule = new WriteSchedule(context, this.withheld);
  }

  /** Forgets pauses that are long over. */
  sweep(): void {
    this.withheld.sweep();
  }

  /** Writes what is due. */
  async flush(): Promise<void> {
    const { committer, options } = this.context;
    for (;;) {
      const due = this.schedule.dueAssignments();
      const [first] = due;
      if (!first) return;
      // Urgent work shares no transaction with other work, which may have to wait for its turn.
      const urgent = this.schedule.isUrgent(first);
      if (!urgent && !this.schedule.mayWriteOrdinary(due)) return;
      const transaction = this.build(due, urgent);
      const { changes, written } = transaction;
      if (changes.length === 0) continue;
      const purpose = urgent ? 'urgent' : 'part';
      const result = await committer.commit(
        purpose,
        transaction.guards(),
        changes,
        options.isHolder,
      );
      for (const { pieces } of written) this.context.tasks.plannedPieces.remove(pieces);
      if (!options.isHolder()) return;
      if (result.kind !== 'done') {
        this.reloadRejected(written, result);
        return;
      }
      for (const assignment of written) this.recordCommitted(assignment);
      this.callbacks.onCommitted(transaction.machines, urgent);
    }
  }

  /** The next transaction: the first due assignments that are as urgent as the first one. */
  private build(due: readonly Assignment[], urgent: boolean): AssignmentTransaction {
    const { log, options } = this.context;
    const transaction = new AssignmentTransaction(this.context);
    const keys = due.map((assignment) => assignment.key);
    for (const assignment of due.slice(0, this.withheld.together(keys, options.transactionOps))) {
      if (this.schedule.isUrgent(assignment) !== urgent) break;
      const result = transaction.add(assignment, this.schedule.isOver(assignment));
      if (result.kind === 'full') break;
      if (result.kind === 'added') continue;
      log.info(
        { shard: options.shard, assignment: assignment.key, pieces: result.pieces },
        'assignment too large for one transaction',
      );
      this.withheld.hold(assignment.key, OVERSIZED_ASSIGNMENT_RETRY_MS);
    }
    return transaction;
  }

  /** Nothing of this was written, or another's change is newer: what is stored counts again. */
  private reloadRejected(written: readonly WrittenAssignment[], result: CommitResult): void {
    const { log, options, tasks } = this.context;
    log.info({ shard: options.shard, result }, 'assignments not committed');
    for (const { assignment } of written) {
      if (result.kind === 'rejected') this.withheld.add(assignment.key);
      tasks.reload(assignment);
    }
  }

  /** Takes an assignment as stored the way it was written. */
  private recordCommitted({ assignment, pieces }: WrittenAssignment): void {
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
