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
  readSlots,
  type Assignment,
  type Slot,
} from './assignment.js';
import { TaskIndex } from './task-index.js';

export type { Assignment as Chunk, Slot } from './assignment.js';

/** Where a task is placed, under which attempt, and what the bandit based it on. */
export type Placement = Pick<Slot, 'machine' | 'attempt' | 'context'>;

/** A task of the part together with its chunk. */
export interface TaskSlot {
  assignment: Assignment;
  slot: Slot;
}

/**
 * The tasks assigned to one part. Indexed by machine, by job and by what is left to do, so that a
 * report costs what its own machine holds and a round what has changed, whatever the part's size.
 */
export class Tasks {
  readonly assignments = new Map<string, Assignment>();
  /** Chunks with tasks that wait for a place. */
  readonly waiting = new Set<Assignment>();
  /** Chunks that are not as the state service holds them. */
  readonly dirty = new Set<Assignment>();
  /** Chunks of gangs. */
  readonly gangs = new Set<Assignment>();
  /** Pieces of chunks that are being written. */
  readonly plannedPieces = new PlannedPieces();
  private readonly index = new TaskIndex();

  constructor(
    private readonly shard: string,
    private readonly replica: StoreReplica,
    private readonly clock: Clock,
  ) {
    for (const [key] of replica.below<AssignmentRecord>(assignmentPrefix(shard))) this.changed(key);
  }

  // --- What the state service holds ----------------------------------------------------------

  /** A key of the replica changed. Only new and gone chunks count: the part alone changes its own. */
  changed(key: string): void {
    if (!key.startsWith(assignmentPrefix(this.shard))) return;
    const held = this.replica.get<AssignmentRecord>(key);
    const known = this.assignments.get(key);
    if (!held) {
      if (known) this.drop(known);
      return;
    }
    if (known) return;
    const name = readAssignmentKey(key);
    if (!name) return;
    const plan = this.plannedPieces.get(key);
    // A piece that was given up and carried out late: its tasks must not stand in two chunks here.
    if (!plan && !Number.isInteger(name.number)) this.resyncSharing(name.job, held.value);
    const assignment = createAssignment({ key, job: name.job, number: name.number }, held.value);
    this.assignments.set(key, assignment);
    if (assignment.record.attempt !== undefined) this.gangs.add(assignment);
    this.index.addAssignment(assignment);
    if (plan) this.carryOver(plan.from, plan.pieces, assignment);
    else this.fill(assignment);
  }

  /** Resyncs the job's chunks that have tasks in common with the record. */
  private resyncSharing(job: string, record: AssignmentRecord): void {
    const ids = readRanges(record.ids);
    for (const other of [...this.of(job)]) {
      if (ids.some((id) => other.slots.has(id))) this.resync(other);
    }
  }

  /** Goes back to what is stored; reports tell again what was heard meanwhile. */
  resync(assignment: Assignment): void {
    const held = this.replica.get<AssignmentRecord>(assignment.key);
    if (!held) {
      this.drop(assignment);
      return;
    }
    this.empty(assignment);
    assignment.stored = held.value;
    assignment.record = held.value;
    this.fill(assignment);
  }

  /** Forgets a chunk; true: it was the last of its job. */
  drop(assignment: Assignment): boolean {
    this.empty(assignment);
    this.gangs.delete(assignment);
    this.assignments.delete(assignment.key);
    return this.index.removeAssignment(assignment);
  }

  /** Gives a chunk the slots that its stored record has. */
  private fill(assignment: Assignment): void {
    for (const slot of readSlots(assignment.stored, this.clock.now())) {
      assignment.slots.set(slot.index, slot);
      if (slot.state === 'live') this.index.addPlacement(assignment, slot);
      else if (slot.state === 'pending') assignment.waiting.add(slot);
    }
    if (assignment.waiting.size > 0) this.waiting.add(assignment);
    // Some of a gang's tasks were placed, and some no more: what is left of this attempt is no gang.
    assignment.broken =
      assignment.record.attempt !== undefined &&
      assignment.placed > 0 &&
      assignment.waiting.size > 0;
  }

  /** Removes a chunk's slots from the chunk and from all indexes. */
  private empty(assignment: Assignment): void {
    for (const slot of assignment.slots.values()) {
      if (slot.state === 'live') this.index.removePlacement(assignment, slot);
    }
    assignment.slots.clear();
    assignment.waiting.clear();
    this.waiting.delete(assignment);
    this.clean(assignment);
  }

  // --- Pieces --------------------------------------------------------------------------------

  /**
   * The chunk's record as it is now, in pieces of at most so many bytes; new placements only on the
   * machines that are named.
   */
  pieces(assignment: Assignment, newMachines: ReadonlySet<string>, maxBytes: number): Piece[] {
    const isKeyTaken = (key: string): boolean =>
      this.assignments.has(key) || this.replica.get(key) !== null;
    return splitAssignment(assignment, { newMachines, maxBytes, isKeyTaken });
  }

  /**
   * Moves what a piece holds from its chunk into the new one, as it is by now: what was sent stays
   * sent, and nothing starts again.
   */
  private carryOver(from: Assignment, pieces: Piece[], assignment: Assignment): void {
    from.stored = pieces[0]?.record ?? from.stored;
    for (const slot of pieces.find((piece) => piece.key === assignment.key)?.slots ?? []) {
      if (from.slots.get(slot.index) !== slot) continue;
      from.slots.delete(slot.index);
      assignment.slots.set(slot.index, slot);
      if (slot.state === 'live') {
        this.index.removePlacement(from, slot);
        this.index.addPlacement(assignment, slot);
      }
      if (from.waiting.delete(slot)) assignment.waiting.add(slot);
    }
    if (from.waiting.size === 0) this.waiting.delete(from);
    if (assignment.waiting.size > 0) this.waiting.add(assignment);
    // Changed while it was written: which of the tasks did is not known.
    if (this.dirty.has(from)) this.touch(assignment);
  }

  // --- What is to be written -----------------------------------------------------------------

  /** Marks a chunk as changed since it was committed. */
  touch(assignment: Assignment): void {
    assignment.dirtySince ??= this.clock.now();
    this.dirty.add(assignment);
  }

  /** Marks a chunk as having no changes to be written. */
  clean(assignment: Assignment): void {
    assignment.dirtySince = null;
    this.dirty.delete(assignment);
  }

  // --- Look-ups ------------------------------------------------------------------------------

  /** The chunks of a job. */
  of(job: string): Iterable<Assignment> {
    return this.index.ofJob(job);
  }

  /** A task of a job; null: it is not assigned to this part. */
  find(job: string, index: number): TaskSlot | null {
    for (const assignment of this.of(job)) {
      const slot = assignment.slots.get(index);
      if (slot) return { assignment, slot };
    }
    return null;
  }

  /** Names of the machines on which tasks are placed. */
  machines(): Iterable<string> {
    return this.index.machines();
  }

  /** The tasks placed on a machine. */
  on(machine: string): ReadonlyMap<Slot, Assignment> {
    return this.index.onMachine(machine);
  }

  /** Whether the state service holds this placement: only then may its start be sent. */
  committed(assignment: Assignment, slot: Slot): boolean {
    return isCommitted(assignment, slot);
  }

  /** How many tasks are placed, and how many wait for a place. */
  counts(): { placed: number; waiting: number } {
    let placed = 0;
    let waiting = 0;
    for (const assignment of this.assignments.values()) {
      placed += assignment.placed;
      waiting += assignment.waiting.size;
    }
    return { placed, waiting };
  }

  // --- Changes of a task's state -------------------------------------------------------------

  /** Places a task on a machine. */
  place(assignment: Assignment, slot: Slot, { machine, attempt, context }: Placement): void {
    this.endPlacement(assignment, slot);
    slot.state = 'live';
    slot.machine = machine;
    slot.attempt = attempt;
    slot.context = context;
    this.index.addPlacement(assignment, slot);
    this.touch(assignment);
  }

  /** Makes a task wait for a place again. */
  requeue(assignment: Assignment, slot: Slot): void {
    this.endPlacement(assignment, slot);
    // Its attempt is over for all: a gang's tasks can't be placed one by one.
    assignment.broken = assignment.record.attempt !== undefined;
    slot.state = 'pending';
    slot.pendingSince = this.clock.now();
    assignment.waiting.add(slot);
    this.waiting.add(assignment);
    this.touch(assignment);
  }

  /** Marks a task as done. */
  finish(assignment: Assignment, slot: Slot): void {
    this.endPlacement(assignment, slot);
    slot.state = 'done';
    this.touch(assignment);
  }

  /** Gives a waiting task back to the leader. */
  returnMachines(assignment: Assignment, slot: Slot): void {
    this.endPlacement(assignment, slot);
    assignment.slots.delete(slot.index);
    this.touch(assignment);
  }

  /** Takes a task off its machine and out of the waiting ones. */
  private endPlacement(assignment: Assignment, slot: Slot): void {
    if (slot.state === 'live') this.index.removePlacement(assignment, slot);
    assignment.waiting.delete(slot);
    if (assignment.waiting.size === 0) this.waiting.delete(assignment);
    clearPlacement(slot);
  }
}
