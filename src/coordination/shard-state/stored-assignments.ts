/** Keeps a shard's assignments in memory in line with the records in the key-value store. */
import { assignmentPrefix, readAssignmentKey } from '../../storage/keys.js';
import { readRanges } from '../../storage/ranges.js';
import type { AssignmentRecord } from '../../storage/records.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Clock } from '../../transport/clock.js';
import type { AssignmentPiece, PlannedPieces } from './assignment-pieces.js';
import { createAssignment, readTasks, type Assignment } from './assignment.js';
import type { ChangedAssignments } from './changed-assignments.js';
import type { TaskIndex } from './task-index.js';

/** The state that the loading of assignments reads and changes. */
interface StoredAssignmentsDependencies {
  index: TaskIndex;
  changed: ChangedAssignments;
  plannedPieces: PlannedPieces;
  replica: StoreReplica;
  clock: Clock;
}

/** Loads, reloads and removes assignments so that they match the stored records. */
export class StoredAssignments {
  constructor(
    private readonly shard: string,
    private readonly dependencies: StoredAssignmentsDependencies,
  ) {}

  /** Loads all assignments that the replica holds. */
  loadAll(): void {
    const { replica } = this.dependencies;
    const prefix = assignmentPrefix(this.shard);
    for (const [key] of replica.entriesWithPrefix<AssignmentRecord>(prefix)) this.handleChange(key);
  }

  /**
   * Handles a changed key of the replica by adding or removing its assignment. Changes of existing
   * assignments are ignored, because only the shard's holder makes them.
   */
  handleChange(key: string): void {
    if (!key.startsWith(assignmentPrefix(this.shard))) return;
    const stored = this.dependencies.replica.get<AssignmentRecord>(key);
    const existing = this.dependencies.index.assignments.get(key);
    if (!stored) {
      if (existing) this.remove(existing);
      return;
    }
    if (!existing) this.add(key, stored.value);
  }

  private add(key: string, record: AssignmentRecord): void {
    const { index, plannedPieces } = this.dependencies;
    const name = readAssignmentKey(key);
    if (!name) return;
    const plan = plannedPieces.get(key);
    // A number with a fraction marks a piece that was split off. If the piece is not planned, its
    // write was abandoned and applied late. Assignments that still have its tasks are reloaded, so
    // that no task is in two assignments.
    if (!plan && !Number.isInteger(name.number)) this.reloadOverlapping(name.job, record);
    const assignment = createAssignment({ key, job: name.job, number: name.number }, record);
    index.addAssignment(assignment);
    if (plan) this.adoptPiece(plan.source, plan.pieces, assignment);
    else this.loadTasks(assignment);
  }

  /** Reloads the job's assignments that have tasks in common with the record. */
  private reloadOverlapping(job: string, record: AssignmentRecord): void {
    const ids = readRanges(record.ids);
    for (const other of [...this.dependencies.index.ofJob(job)]) {
      if (ids.some((id) => other.tasks.has(id))) this.reload(other);
    }
  }

  /**
   * Replaces an assignment's tasks by those of its stored record; removes the assignment if it has
   * no record. Later heartbeats show again which of its tasks run or have ended.
   */
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

  /** Removes an assignment; returns whether it was the last one of its job. */
  remove(assignment: Assignment): boolean {
    this.clearTasks(assignment);
    return this.dependencies.index.removeAssignment(assignment);
  }

  /** Fills an assignment with the tasks of its stored record. */
  private loadTasks(assignment: Assignment): void {
    const { clock, index } = this.dependencies;
    for (const task of readTasks(assignment.committedRecord, clock.now())) {
      assignment.tasks.set(task.index, task);
      if (task.state === 'placed') index.addPlacement(assignment, task);
      else if (task.state === 'waiting') assignment.waitingTasks.add(task);
    }
    index.updateWaiting(assignment);
    // The tasks of a gang subset are placed together. If some are placed and others wait, the
    // attempt has failed.
    assignment.hasFailed =
      assignment.record.attempt !== undefined &&
      assignment.placedCount > 0 &&
      assignment.waitingTasks.size > 0;
  }

  /** Removes all tasks of an assignment, also from the indexes. */
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
   * Moves the tasks of a written piece from the assignment that was split into the new one. The
   * tasks keep their state, so that commands that were sent are not sent again and no task
   * restarts.
   */
  private adoptPiece(source: Assignment, pieces: AssignmentPiece[], assignment: Assignment): void {
    const { changed, index } = this.dependencies;
    source.committedRecord = pieces[0]?.record ?? source.committedRecord;
    for (const task of pieces.find((piece) => piece.key === assignment.key)?.tasks ?? []) {
      if (source.tasks.get(task.index) !== task) continue;
      source.tasks.delete(task.index);
      assignment.tasks.set(task.index, task);
      if (task.state === 'placed') {
        index.removePlacement(source, task);
        index.addPlacement(assignment, task);
      }
      if (source.waitingTasks.delete(task)) assignment.waitingTasks.add(task);
    }
    index.updateWaiting(source);
    index.updateWaiting(assignment);
    // If the split assignment changed during the write, the changed tasks may be among those that
    // were moved.
    if (changed.all.has(source)) changed.mark(assignment);
  }
}
