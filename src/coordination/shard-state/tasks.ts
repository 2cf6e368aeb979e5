/** The tasks assigned to one shard, with the look-ups and state transitions that the shard uses. */
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Clock } from '../../transport/clock.js';
import { PlannedPieces, splitAssignment, type AssignmentPiece } from './assignment-pieces.js';
import { isCommitted, type Assignment, type Task } from './assignment.js';
import { ChangedAssignments } from './changed-assignments.js';
import { StoredAssignments } from './stored-assignments.js';
import { TaskIndex } from './task-index.js';
import { TaskTransitions, type Placement } from './task-transitions.js';

/** A task of the shard together with its assignment. */
export interface AssignedTask {
  assignment: Assignment;
  task: Task;
}

/** The assignments and tasks of one shard in its holder's memory. */
export class Tasks {
  /** Pieces of assignments that are being written. */
  readonly plannedPieces = new PlannedPieces();
  private readonly index = new TaskIndex();
  private readonly changed: ChangedAssignments;
  private readonly storedAssignments: StoredAssignments;
  private readonly transitions: TaskTransitions;

  constructor(
    shard: string,
    private readonly replica: StoreReplica,
    clock: Clock,
  ) {
    const { index, plannedPieces } = this;
    const changed = new ChangedAssignments(clock);
    this.changed = changed;
    this.transitions = new TaskTransitions(index, changed, clock);
    const dependencies = { index, changed, plannedPieces, replica, clock };
    this.storedAssignments = new StoredAssignments(shard, dependencies);
    this.storedAssignments.loadAll();
  }

  // --- Look-ups ------------------------------------------------------------------------------

  /** All assignments of the shard, by their key in the key-value store. */
  get assignments(): ReadonlyMap<string, Assignment> {
    return this.index.assignments;
  }

  /** Assignments with tasks that wait for a machine. */
  get waitingAssignments(): ReadonlySet<Assignment> {
    return this.index.waiting;
  }

  /** Gang subsets: assignments of gangs. */
  get gangAssignments(): ReadonlySet<Assignment> {
    return this.index.gangs;
  }

  /** Assignments that differ from what the key-value store holds. */
  get changedAssignments(): ReadonlySet<Assignment> {
    return this.changed.all;
  }

  /** The assignments of a job. */
  assignmentsOf(job: string): Iterable<Assignment> {
    return this.index.ofJob(job);
  }

  /** A task of a job; null: the task is not assigned to this shard. */
  findTask(job: string, index: number): AssignedTask | null {
    for (const assignment of this.assignmentsOf(job)) {
      const task = assignment.tasks.get(index);
      if (task) return { assignment, task };
    }
    return null;
  }

  /** Names of the machines on which at least one task of the shard is placed. */
  occupiedMachines(): Iterable<string> {
    return this.index.machines();
  }

  /** The tasks placed on a machine. */
  placedOn(machine: string): ReadonlyMap<Task, Assignment> {
    return this.index.onMachine(machine);
  }

  /**
   * Whether the key-value store holds a task's placement under its current attempt; the task's
   * start may be sent only then.
   */
  isCommitted(assignment: Assignment, task: Task): boolean {
    return isCommitted(assignment, task);
  }

  /** The number of placed tasks, and of tasks that wait for a machine. */
  counts(): { placed: number; waiting: number } {
    let placed = 0;
    let waiting = 0;
    for (const assignment of this.assignments.values()) {
      placed += assignment.placedCount;
      waiting += assignment.waitingTasks.size;
    }
    return { placed, waiting };
  }

  // --- Changes of stored records -------------------------------------------------------------

  /**
   * Handles a changed key of the replica: adds its assignment if a record is new, and removes it if
   * the record was removed.
   */
  handleChange(key: string): void {
    this.storedAssignments.handleChange(key);
  }

  /**
   * Replaces an assignment's tasks by those of its stored record; removes the assignment if it has
   * no record.
   */
  reload(assignment: Assignment): void {
    this.storedAssignments.reload(assignment);
  }

  /** Removes an assignment; returns whether it was the last one of its job. */
  remove(assignment: Assignment): boolean {
    return this.storedAssignments.remove(assignment);
  }

  // --- Changes to be written -----------------------------------------------------------------

  /** Marks an assignment as changed after its last commit. */
  markChanged(assignment: Assignment): void {
    this.changed.mark(assignment);
  }

  /** Marks an assignment as having no changes to write. */
  clearChanged(assignment: Assignment): void {
    this.changed.clear(assignment);
  }

  /**
   * The assignment's current record, in pieces of at most `maxBytes` bytes. A placement that is not
   * committed yet is included only if its machine is one of `newMachines`.
   */
  split(
    assignment: Assignment,
    newMachines: ReadonlySet<string>,
    maxBytes: number,
  ): AssignmentPiece[] {
    const isKeyTaken = (key: string): boolean =>
      this.assignments.has(key) || this.replica.get(key) !== null;
    return splitAssignment(assignment, { newMachines, maxBytes, isKeyTaken });
  }

  // --- State transitions of tasks ------------------------------------------------------------

  /** Places a task on a machine. */
  place(assignment: Assignment, task: Task, placement: Placement): void {
    this.transitions.place(assignment, task, placement);
  }

  /** Makes a task wait for a machine again. */
  requeue(assignment: Assignment, task: Task): void {
    this.transitions.requeue(assignment, task);
  }

  /** Marks a task as done. */
  markDone(assignment: Assignment, task: Task): void {
    this.transitions.markDone(assignment, task);
  }

  /** Returns a waiting task to the leader by removing it from its assignment. */
  returnToLeader(assignment: Assignment, task: Task): void {
    this.transitions.returnToLeader(assignment, task);
  }
}
