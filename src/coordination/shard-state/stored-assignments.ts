/** Brings a shard's assignments in memory in line with those that the key-value store holds. */
import { assignmentPrefix, readAssignmentKey } from '../../storage/keys.js';
import { readRanges } from '../../storage/ranges.js';
import type { AssignmentRecord } from '../../storage/records.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Clock } from '../../transport/clock.js';
import type { Piece, PlannedPieces } from './assignment-pieces.js';
import { createAssignment, readTasks, type Assignment } from './assignment.js';
import type { ChangedAssignments } from './changed-assignments.js';
import type { TaskIndex } from './task-index.js';

/** What the loading of assignments reads and writes. */
interface StoredAssignmentsDependencies {
  index: TaskIndex;
  changed: ChangedAssignments;
  plannedPieces: PlannedPieces;
  replica: StoreReplica;
  clock: Clock;
}

/** Loads, reloads and removes assignments as their records come and go. */
export class StoredAssignments {
  constructor(
    private readonly shard: string,
    private readonly dependencies: StoredAssignmentsDependencies,
  ) {}

  /** Loads all assignments that the replica holds. */
  loadAll(): void {
    const { replica } = this.dependencies;
    const prefix = assignmentPrefix(this.shard);
    for (const [key] of replica.below<AssignmentRecord>(prefix)) this.handleChange(key);
  }

  /**
   * A key of the replica changed. Only new assignments and removed ones count: nobody but the holder
   * of the shard changes the others.
   */
  handleChange(key: string): void {
    if (!key.startsWith(assignmentPrefix(this.shard))) return;
    const stored = this.dependencies.replica.get<AssignmentRecord>(key);
    const known = this.dependencies.index.assignments.get(key);
    if (!stored) {
      if (known) this.remove(known);
      return;
    }
    if (!known) this.add(key, stored.value);
  }

  private add(key: string, record: AssignmentRecord): void {
    const { index, plannedPieces } = this.dependencies;
    const name = readAssignmentKey(key);
    if (!name) return;
    const plan = plannedPieces.get(key);
    // A piece whose write was given up and carried out late: its tasks must not be in two
    // assignments here.
    if (!plan && !Number.isInteger(name.number)) this.reloadOverlapping(name.job, record);
    const assignment = createAssignment({ key, job: name.job, number: name.number }, record);
    index.addAssignment(assignment);
    if (plan) this.adoptPiece(plan.from, plan.pieces, assignment);
    else this.loadTasks(assignment);
  }

  /** Reloads the job's assignments that have tasks in common with the record. */
  private reloadOverlapping(job: string, record: AssignmentRecord): void {
    const ids = readRanges(record.ids);
    for (const other of [...this.dependencies.index.ofJob(job)]) {
      if (ids.some((id) => other.tasks.has(id))) this.reload(other);
    }
  }

  /** Goes back to the stored record; heartbeats show again what was learned meanwhile. */
  reload(assignment: Assignment): void {
    const stored = this.dependencies.replica.get<AssignmentRecord>(assignment.key);
    if (!stored) {
      this.remove(assignment);
      return;
    }
    this.clearTasks(assignment);
    assignment.committedRecord = stored.value;
    assignment.record = stored.value;
    this.loadTasks(assignment);
  }

  /** Removes an assignment; true: it was the last of its job. */
  remove(assignment: Assignment): boolean {
    this.clearTasks(assignment);
    return this.dependencies.index.removeAssignment(assignment);
  }

  /** Gives an assignment the tasks of its stored record. */
  private loadTasks(assignment: Assignment): void {
    const { clock, index } = this.dependencies;
    for (const task of readTasks(assignment.committedRecord, clock.now())) {
      assignment.tasks.set(task.index, task);
      if (task.state === 'placed') index.addPlacement(assignment, task);
      else if (task.state === 'waiting') assignment.waitingTasks.add(task);
    }
    index.updateWaiting(assignment);
    // Some of a gang's tasks are placed and some no more: what is left of this attempt is no gang.
    assignment.hasFailed =
      assignment.record.attempt !== undefined &&
      assignment.placedCount > 0 &&
      assignment.waitingTasks.size > 0;
  }

  /** Removes an assignment's tasks from it and from all indexes. */
  private clearTasks(assignment: Assignment): void {
    const { changed, index } = this.dependencies;
    for (const task of assignment.tasks.values()) {
      if (task.state === 'placed') index.removePlacement(assignment, task);
    }
    assignment.tasks.clear();
    assignment.waitingTasks.clear();
    index.updateWaiting(assignment);
    changed.clear(assignment);
  }

  /**
   * Moves the tasks of a piece from the assignment that was split into the new one, in their present
   * state: what was sent stays sent, and nothing starts again.
   */
  private adoptPiece(from: Assignment, pieces: Piece[], assignment: Assignment): void {
    const { changed, index } = this.dependencies;
    from.committedRecord = pieces[0]?.record ?? from.committedRecord;
    for (const task of pieces.find((piece) => piece.key === assignment.key)?.tasks ?? []) {
      if (from.tasks.get(task.index) !== task) continue;
      from.tasks.delete(task.index);
      assignment.tasks.set(task.index, task);
      if (task.state === 'placed') {
        index.removePlacement(from, task);
        index.addPlacement(assignment, task);
      }
      if (from.waitingTasks.delete(task)) assignment.waitingTasks.add(task);
    }
    index.updateWaiting(from);
    index.updateWaiting(assignment);
    // Changed while it was written: which of the tasks did is not known.
    if (changed.all.has(from)) changed.mark(assignment);
  }
}
