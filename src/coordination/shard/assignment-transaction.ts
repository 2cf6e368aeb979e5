/** Builds one transaction that writes assignments, within the limits of the key-value store. */
import { ASSIGNMENT_TASK_BYTES } from '../../constants/leader.js';
import { GUARDS_PER_OP, MAX_TRANSACTION_BYTES } from '../../constants/protocol.js';
import { ASSIGNMENT_OVERHEAD_BYTES } from '../../constants/shard.js';
import { VALUE_FILL_FRACTION } from '../../constants/storage.js';
import { jobKey, machineKey } from '../../storage/keys.js';
import type { Change, Guard } from '../../protocol/key-value-store.js';
import type { ShardContext } from './shard-context.js';
import type { AssignmentPiece } from '../shard-state/assignment-pieces.js';
import { uncommittedMachines, type Assignment } from '../shard-state/assignment.js';

/** An assignment that a transaction writes in these pieces, or removes if there are none. */
export interface AssignmentWrite {
  assignment: Assignment;
  pieces: AssignmentPiece[];
}

/**
 * Whether an assignment was added, must wait for the next transaction because this one is full, or
 * is too large for any transaction. `pieces`: number of pieces into which it would be split.
 */
export type AddResult = { kind: 'added' } | { kind: 'full' } | { kind: 'tooLarge'; pieces: number };

/** A transaction that writes and removes assignments while the shard's role is unchanged. */
export class AssignmentTransaction {
  readonly changes: Change[] = [];
  readonly writes: AssignmentWrite[] = [];
  /** Machines on which new placements are written. */
  readonly machines = new Set<string>();
  /** Jobs with new placements in this transaction. */
  private readonly jobs = new Set<string>();
  private estimatedBytes = 0;

  constructor(private readonly context: ShardContext) {}

  /** Adds the changes that write an assignment; `isRemoved`: those that remove its record. */
  add(assignment: Assignment, isRemoved: boolean): AddResult {
    const { options, tasks } = this.context;
    this.estimatedBytes +=
      ASSIGNMENT_OVERHEAD_BYTES + assignment.placedCount * ASSIGNMENT_TASK_BYTES;
    if (this.estimatedBytes > MAX_TRANSACTION_BYTES && this.changes.length > 0)
      return { kind: 'full' };
    const uncommitted = isRemoved ? new Set<string>() : uncommittedMachines(assignment);
    // The record of each machine with new placements is guarded, so that no task is placed on a
    // machine that the leader drains or returns meanwhile. The store rejects a transaction with too
    // many guards, and would reject it again on every retry, so placements on further machines wait
    // for the next transaction.
    const maxMachines = options.transactionOps * (GUARDS_PER_OP - 2) - 1;
    const allMachines = new Set([...this.machines, ...uncommitted]);
    if (allMachines.size > maxMachines && this.changes.length > 0) return { kind: 'full' };
    const newMachines = new Set([...uncommitted].slice(0, maxMachines));
    const maxBytes = options.valueBytes * VALUE_FILL_FRACTION;
    const pieces = isRemoved ? [] : tasks.split(assignment, newMachines, maxBytes);
    // All pieces go into one transaction. Otherwise a task would be in two assignments or in none
    // between two transactions.
    if (this.changes.length + Math.max(1, pieces.length) > options.transactionOps) {
      if (this.changes.length > 0) return { kind: 'full' };
      return { kind: 'tooLarge', pieces: pieces.length };
    }
    this.addChanges(assignment, pieces, newMachines);
    if (newMachines.size === uncommitted.size) tasks.clearChanged(assignment);
    return { kind: 'added' };
  }

  /**
   * Guards on the role, the assignments, and the machines and jobs of new placements, each at the
   * revision that the replica shows.
   */
  guards(): Guard[] {
    const { options, replica } = this.context;
    const role: Guard = { key: options.roleKey, revision: options.roleRevision };
    const keys = [
      ...this.changes.map(({ key }) => key),
      ...[...this.machines].map((machine) => machineKey(machine)),
      ...[...this.jobs].map((job) => jobKey(job)),
    ];
    return [role, ...keys.map((key) => ({ key, revision: replica.revisionOf(key) }))];
  }

  private addChanges(
    assignment: Assignment,
    pieces: AssignmentPiece[],
    newMachines: ReadonlySet<string>,
  ): void {
    for (const machine of newMachines) this.machines.add(machine);
    // The job's record is guarded, because the job may have been cancelled although this replica
    // does not show it yet.
    if (newMachines.size > 0) this.jobs.add(assignment.job);
    if (pieces.length === 0) this.changes.push({ key: assignment.key, remove: true });
    for (const { key, record } of pieces) this.changes.push({ key, value: record });
    this.context.tasks.plannedPieces.add(assignment, pieces);
    this.writes.push({ assignment, pieces });
  }
}
