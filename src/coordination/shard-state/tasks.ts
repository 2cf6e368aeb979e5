/** The tasks assigned to one part, and the changes of their state. */
import { chunkPrefix, readChunkKey } from '../../storage/keys.js';
import { readRanges } from '../../storage/ranges.js';
import type { ChunkRecord } from '../../storage/records.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Clock } from '../../transport/clock.js';
import { PlannedPieces, splitChunk, type Piece } from './assignment-pieces.js';
import {
  clearPlacement,
  createChunk,
  isCommitted,
  readSlots,
  type Chunk,
  type Slot,
} from './assignment.js';
import { TaskIndex } from './task-index.js';

export type { Chunk, Slot } from './assignment.js';

/** Where a task is placed, under which attempt, and what the bandit based it on. */
export type Placement = Pick<Slot, 'machine' | 'attempt' | 'context'>;

/** A task of the part together with its chunk. */
export interface TaskSlot {
  chunk: Chunk;
  slot: Slot;
}

/**
 * The tasks assigned to one part. Indexed by machine, by job and by what is left to do, so that a
 * report costs what its own machine holds and a round what has changed, whatever the part's size.
 */
export class Tasks {
  readonly chunks = new Map<string, Chunk>();
  /** Chunks with tasks that wait for a place. */
  readonly waiting = new Set<Chunk>();
  /** Chunks that are not as the state service holds them. */
  readonly dirty = new Set<Chunk>();
  /** Chunks of gangs. */
  readonly gangs = new Set<Chunk>();
  /** Pieces of chunks that are being written. */
  readonly plannedPieces = new PlannedPieces();
  private readonly index = new TaskIndex();

  constructor(
    private readonly part: string,
    private readonly replica: StoreReplica,
    private readonly clock: Clock,
  ) {
    for (const [key] of replica.below<ChunkRecord>(chunkPrefix(part))) this.changed(key);
  }

  // --- What the state service holds ----------------------------------------------------------

  /** A key of the replica changed. Only new and gone chunks count: the part alone changes its own. */
  changed(key: string): void {
    if (!key.startsWith(chunkPrefix(this.part))) return;
    const held = this.replica.get<ChunkRecord>(key);
    const known = this.chunks.get(key);
    if (!held) {
      if (known) this.drop(known);
      return;
    }
    if (known) return;
    const name = readChunkKey(key);
    if (!name) return;
    const plan = this.plannedPieces.get(key);
    // A piece that was given up and carried out late: its tasks must not stand in two chunks here.
    if (!plan && !Number.isInteger(name.number)) this.resyncSharing(name.job, held.value);
    const chunk = createChunk({ key, job: name.job, number: name.number }, held.value);
    this.chunks.set(key, chunk);
    if (chunk.record.attempt !== undefined) this.gangs.add(chunk);
    this.index.addChunk(chunk);
    if (plan) this.carryOver(plan.from, plan.pieces, chunk);
    else this.fill(chunk);
  }

  /** Resyncs the job's chunks that have tasks in common with the record. */
  private resyncSharing(job: string, record: ChunkRecord): void {
    const ids = readRanges(record.ids);
    for (const other of [...this.of(job)]) {
      if (ids.some((id) => other.slots.has(id))) this.resync(other);
    }
  }

  /** Goes back to what is stored; reports tell again what was heard meanwhile. */
  resync(chunk: Chunk): void {
    const held = this.replica.get<ChunkRecord>(chunk.key);
    if (!held) {
      this.drop(chunk);
      return;
    }
    this.empty(chunk);
    chunk.stored = held.value;
    chunk.record = held.value;
    this.fill(chunk);
  }

  /** Forgets a chunk; true: it was the last of its job. */
  drop(chunk: Chunk): boolean {
    this.empty(chunk);
    this.gangs.delete(chunk);
    this.chunks.delete(chunk.key);
    return this.index.removeChunk(chunk);
  }

  /** Gives a chunk the slots that its stored record has. */
  private fill(chunk: Chunk): void {
    for (const slot of readSlots(chunk.stored, this.clock.now())) {
      chunk.slots.set(slot.index, slot);
      if (slot.state === 'live') this.index.addPlacement(chunk, slot);
      else if (slot.state === 'pending') chunk.waiting.add(slot);
    }
    if (chunk.waiting.size > 0) this.waiting.add(chunk);
    // Some of a gang's tasks were placed, and some no more: what is left of this attempt is no gang.
    chunk.broken = chunk.record.attempt !== undefined && chunk.placed > 0 && chunk.waiting.size > 0;
  }

  /** Removes a chunk's slots from the chunk and from all indexes. */
  private empty(chunk: Chunk): void {
    for (const slot of chunk.slots.values()) {
      if (slot.state === 'live') this.index.removePlacement(chunk, slot);
    }
    chunk.slots.clear();
    chunk.waiting.clear();
    this.waiting.delete(chunk);
    this.clean(chunk);
  }

  // --- Pieces --------------------------------------------------------------------------------

  /**
   * The chunk's record as it is now, in pieces of at most so many bytes; new placements only on the
   * machines that are named.
   */
  pieces(chunk: Chunk, newMachines: ReadonlySet<string>, maxBytes: number): Piece[] {
    const isKeyTaken = (key: string): boolean =>
      this.chunks.has(key) || this.replica.get(key) !== null;
    return splitChunk(chunk, { newMachines, maxBytes, isKeyTaken });
  }

  /**
   * Moves what a piece holds from its chunk into the new one, as it is by now: what was sent stays
   * sent, and nothing starts again.
   */
  private carryOver(from: Chunk, pieces: Piece[], chunk: Chunk): void {
    from.stored = pieces[0]?.record ?? from.stored;
    for (const slot of pieces.find((piece) => piece.key === chunk.key)?.slots ?? []) {
      if (from.slots.get(slot.index) !== slot) continue;
      from.slots.delete(slot.index);
      chunk.slots.set(slot.index, slot);
      if (slot.state === 'live') {
        this.index.removePlacement(from, slot);
        this.index.addPlacement(chunk, slot);
      }
      if (from.waiting.delete(slot)) chunk.waiting.add(slot);
    }
    if (from.waiting.size === 0) this.waiting.delete(from);
    if (chunk.waiting.size > 0) this.waiting.add(chunk);
    // Changed while it was written: which of the tasks did is not known.
    if (this.dirty.has(from)) this.touch(chunk);
  }

  // --- What is to be written -----------------------------------------------------------------

  /** Marks a chunk as changed since it was committed. */
  touch(chunk: Chunk): void {
    chunk.dirtySince ??= this.clock.now();
    this.dirty.add(chunk);
  }

  /** Marks a chunk as having no changes to be written. */
  clean(chunk: Chunk): void {
    chunk.dirtySince = null;
    this.dirty.delete(chunk);
  }

  // --- Look-ups ------------------------------------------------------------------------------

  /** The chunks of a job. */
  of(job: string): Iterable<Chunk> {
    return this.index.ofJob(job);
  }

  /** A task of a job; null: it is not assigned to this part. */
  find(job: string, index: number): TaskSlot | null {
    for (const chunk of this.of(job)) {
      const slot = chunk.slots.get(index);
      if (slot) return { chunk, slot };
    }
    return null;
  }

  /** Names of the machines on which tasks are placed. */
  machines(): Iterable<string> {
    return this.index.machines();
  }

  /** The tasks placed on a machine. */
  on(machine: string): ReadonlyMap<Slot, Chunk> {
    return this.index.onMachine(machine);
  }

  /** Whether the state service holds this placement: only then may its start be sent. */
  committed(chunk: Chunk, slot: Slot): boolean {
    return isCommitted(chunk, slot);
  }

  /** How many tasks are placed, and how many wait for a place. */
  counts(): { placed: number; waiting: number } {
    let placed = 0;
    let waiting = 0;
    for (const chunk of this.chunks.values()) {
      placed += chunk.placed;
      waiting += chunk.waiting.size;
    }
    return { placed, waiting };
  }

  // --- Changes of a task's state -------------------------------------------------------------

  /** Places a task on a machine. */
  place(chunk: Chunk, slot: Slot, { machine, attempt, context }: Placement): void {
    this.endPlacement(chunk, slot);
    slot.state = 'live';
    slot.machine = machine;
    slot.attempt = attempt;
    slot.context = context;
    this.index.addPlacement(chunk, slot);
    this.touch(chunk);
  }

  /** Makes a task wait for a place again. */
  requeue(chunk: Chunk, slot: Slot): void {
    this.endPlacement(chunk, slot);
    // Its attempt is over for all: a gang's tasks can't be placed one by one.
    chunk.broken = chunk.record.attempt !== undefined;
    slot.state = 'pending';
    slot.pendingSince = this.clock.now();
    chunk.waiting.add(slot);
    this.waiting.add(chunk);
    this.touch(chunk);
  }

  /** Marks a task as done. */
  finish(chunk: Chunk, slot: Slot): void {
    this.endPlacement(chunk, slot);
    slot.state = 'done';
    this.touch(chunk);
  }

  /** Gives a waiting task back to the leader. */
  giveBack(chunk: Chunk, slot: Slot): void {
    this.endPlacement(chunk, slot);
    chunk.slots.delete(slot.index);
    this.touch(chunk);
  }

  /** Takes a task off its machine and out of the waiting ones. */
  private endPlacement(chunk: Chunk, slot: Slot): void {
    if (slot.state === 'live') this.index.removePlacement(chunk, slot);
    chunk.waiting.delete(slot);
    if (chunk.waiting.size === 0) this.waiting.delete(chunk);
    clearPlacement(slot);
  }
}
