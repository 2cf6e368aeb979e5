/** The tasks assigned to one part, and the changes of their state. */
import { assignmentPrefix, readAssignmentKey } from '../../storage/keys.js';
import { readRanges } from '../../storage/ranges.js';
import type { AssignmentRecord } from '../../storage/records.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Clock } from '../../transport/clock.js';
import { PlannedPieces, splitAssignment, type Piece } from './assignment-pieces.js';
import {
  clearPlacement,
  createAssignment,
  isCommitted,
  readTasks,
  type Assignment,
  type Task,
} from './assignment.js';
import { TaskIndex } from './task-index.js';

export type { Assignment, Task } from './assignment.js';

/** Where a task is placed, under which attempt, and what the bandit based it on. */
export type Placement = Pick<Task, 'machine' | 'attempt' | 'banditContext'>;

/** A task of the part together with its chunk. */
export interface AssignedTask {
  assignment: Assignment;
  task: Task;
}

/**
 * The tasks assigned to one part. Indexed by machine, by job and by what is left to do, so that a
 * report costs what its own machine holds and a round what has changed, whatever the part's size.
 */
export class Tasks {
  readonly assignments = new Map<string, Assignment>();
  /** Chunks with tasks that wait for a place. */
  readonly waitingAssignments = new Set<Assignment>();
  /** Chunks that are not as the state service holds them. */
  readonly changedAssignments = new Set<Assignment>();
  /** Chunks of gangs. */
  readonly gangAssignments = new Set<Assignment>();
  /** Pieces of chunks that are being written. */
  readonly plannedPieces = new PlannedPieces();
  private readonly index = new TaskIndex();

  constructor(
    private readonly shard: string,
    private readonly replica: StoreReplica,
    private readonly clock: Clock,
  ) {
    for (const [key] of replica.below<AssignmentRecord>(assignmentPrefix(shard)))
      this.handleChange(key);
  }

  // --- What the state service holds ----------------------------------------------------------

  /** A key of the replica changed. Only new and gone chunks count: the part alone changes its own. */
  handleChange(key: string): void {
    if (!key.startsWith(assignmentPrefix(this.shard))) return;
    const held = this.replica.get<AssignmentRecord>(key);
    const known = this.assignments.get(key);
    if (!held) {
      if (known) this.remove(known);
      return;
    }
    if (known) return;
    const name = readAssignmentKey(key);
    if (!name) return;
    const plan = this.plannedPieces.get(key);
    // A piece that was given up and carried out late: its tasks must not stand in two chunks here.
    if (!plan && !Number.isInteger(name.number)) this.reloadOverlapping(name.job, held.value);
    const assignment = createAssignment({ key, job: name.job, number: name.number }, held.value);
    this.assignments.set(key, assignment);
    if (assignment.record.attempt !== undefined) this.gangAssignments.add(assignment);
    this.index.addAssignment(assignment);
    if (plan) this.adoptPiece(plan.from, plan.pieces, assignment);
    else this.loadTasks(assignment);
  }

  /** Resyncs the job's chunks that have tasks in common with the record. */
  private reloadOverlapping(job: string, record: AssignmentRecord): void {
    const ids = readRanges(record.ids);
    for (const other of [...this.assignmentsOf(job)]) {
      if (ids.some((id) => other.tasks.has(id))) this.reload(other);
    }
  }

  /** Goes back to what is stored; reports tell again what was heard meanwhile. */
  reload(assignment: Assignment): void {
    const held = this.replica.get<AssignmentRecord>(assignment.key);
    if (!held) {
      this.remove(assignment);
      return;
    }
    this.clearTasks(assignment);
    assignment.committedRecord = held.value;
    assignment.record = held.value;
    this.loadTasks(assignment);
  }

  /** Forgets a chunk; true: it was the last of its job. */
  remove(assignment: Assignment): boolean {
    this.clearTasks(assignment);
    this.gangAssignments.delete(assignment);
    this.assignments.delete(assignment.key);
    return this.index.removeAssignment(assignment);
  }

  /** Gives a chunk the slots that its stored record has. */
  private loadTasks(assignment: Assignment): void {
    for (const task of readTasks(assignment.committedRecord, this.clock.now())) {
      assignment.tasks.set(task.index, task);
      if (task.state === 'placed') this.index.addPlacement(assignment, task);
      else if (task.state === 'waiting') assignment.waitingTasks.add(task);
    }
    if (assignment.waitingTasks.size > 0) this.waitingAssignments.add(assignment);
    // Some of a gang's tasks were placed, and some no more: what is left of this attempt is no gang.
    assignment.hasFailed =
      assignment.record.attempt !== undefined &&
      assignment.placedCount > 0 &&
      assignment.waitingTasks.size > 0;
  }

  /** Removes a chunk's slots from the chunk and from all indexes. */
  private clearTasks(assignment: Assignment): void {
    for (const task of assignment.tasks.values()) {
      if (task.state === 'placed') this.index.removePlacement(assignment, task);
    }
    assignment.tasks.clear();
    assignment.waitingTasks.clear();
    this.waitingAssignments.delete(assignment);
    this.clearChanged(assignment);
  }

  // --- Pieces --------------------------------------------------------------------------------

  /**
   * The chunk's record as it is now, in pieces of at most so many bytes; new placements only on the
   * machines that are named.
   */
  split(assignment: Assignment, newMachines: ReadonlySet<string>, maxBytes: number): Piece[] {
    const isKeyTaken = (key: string): boolean =>
      this.assignments.has(key) || this.replica.get(key) !== null;
    return splitAssignment(assignment, { newMachines, maxBytes, isKeyTaken });
  }

  /**
   * Moves what a piece holds from its chunk into the new one, as it is by now: what was sent stays
   * sent, and nothing starts again.
   */
  private adoptPiece(from: Assignment, pieces: Piece[], assignment: Assignment): void {
    from.committedRecord = pieces[0]?.record ?? from.committedRecord;
    for (const task of pieces.find((piece) => piece.key === assignment.key)?.tasks ?? []) {
      if (from.tasks.get(task.index) !== task) continue;
      from.tasks.delete(task.index);
      assignment.tasks.set(task.index, task);
      if (task.state === 'placed') {
        this.index.removePlacement(from, task);
        this.index.addPlacement(assignment, task);
      }
      if (from.waitingTasks.delete(task)) assignment.waitingTasks.add(task);
    }
    if (from.waitingTasks.size === 0) this.waitingAssignments.delete(from);
    if (assignment.waitingTasks.size > 0) this.waitingAssignments.add(assignment);
    // Changed while it was written: which of the tasks did is not known.
    if (this.changedAssignments.has(from)) this.markChanged(assignment);
  }

  // --- What is to be written -----------------------------------------------------------------

  /** Marks a chunk as changed since it was committed. */
  markChanged(assignment: Assignment): void {
    assignment.changedSince ??= this.clock.now();
    this.changedAssignments.add(assignment);
  }

  /** Marks a chunk as having no changes to be written. */
  clearChanged(assignment: Assignment): void {
    assignment.changedSince = null;
    this.changedAssignments.delete(assignment);
  }

  // --- Look-ups ------------------------------------------------------------------------------

  /** The chunks of a job. */
  assignmentsOf(job: string): Iterable<Assignment> {
    return this.index.ofJob(job);
  }

  /** A task of a job; null: it is not assigned to this part. */
  findTask(job: string, index: number): AssignedTask | null {
    for (const assignment of this.assignmentsOf(job)) {
      const task = assignment.tasks.get(index);
      if (task) return { assignment, task };
    }
    return null;
  }

  /** Names of the machines on which tasks are placed. */
  occupiedMachines(): Iterable<string> {
    return this.index.machines();
  }

  /** The tasks placed on a machine. */
  placedOn(machine: string): ReadonlyMap<Task, Assignment> {
    return this.index.onMachine(machine);
  }

  /** Whether the state service holds this placement: only then may its start be sent. */
  isCommitted(assignment: Assignment, task: Task): boolean {
    return isCommitted(assignment, task);
  }

  /** How many tasks are placed, and how many wait for a place. */
  counts(): { placed: number; waiting: number } {
    let placed = 0;
    let waiting = 0;
    for (const assignment of this.assignments.values()) {
      placed += assignment.placedCount;
      waiting += assignment.waitingTasks.size;
    }
    return { placed, waiting };
  }

  // --- Changes of a task's state -------------------------------------------------------------

  /** Places a task on a machine. */
  place(
    assignment: Assignment,
    task: Task,
    { machine, attempt, banditContext: context }: Placement,
  ): void {
    this.endPlacement(assignment, task);
    task.state = 'placed';
    task.machine = machine;
    task.attempt = attempt;
    task.banditContext = context;
    this.index.addPlacement(assignment, task);
    this.markChanged(assignment);
  }

  /** Makes a task wait for a place again. */
  requeue(assignment: Assignment, task: Task): void {
    this.endPlacement(assignment, task);
    // Its attempt is over for all: a gang's tasks can't be placed one by one.
    assignment.hasFailed = assignment.record.attempt !== undefined;
    task.state = 'waiting';
    task.waitingSince = this.clock.now();
    assignment.waitingTasks.add(task);
    this.waitingAssignments.add(assignment);
    this.markChanged(assignment);
  }

  /** Marks a task as done. */
  markDone(assignment: Assignment, task: Task): void {
    this.endPlacement(assignment, task);
    task.state = 'done';
    this.markChanged(assignment);
  }

  /** Gives a waiting task back to the leader. */
  returnToLeader(assignment: Assignment, task: Task): void {
    this.endPlacement(assignment, task);
    assignment.tasks.delete(task.index);
    this.markChanged(assignment);
  }

  /** Takes a task off its machine and out of the waiting ones. */
  private endPlacement(assignment: Assignment, task: Task): void {
    if (task.state === 'placed') this.index.removePlacement(assignment, task);
    assignment.waitingTasks.delete(task);
    if (assignment.waitingTasks.size === 0) this.waitingAssignments.delete(assignment);
    clearPlacement(task);
  }
}
