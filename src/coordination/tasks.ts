import { bytesOf } from '../storage/committer.js';
import { chunkPrefix, readChunkKey, splitKey } from '../storage/keys.js';
import { readRanges, writeRanges } from '../storage/ranges.js';
import type { ChunkRecord } from '../storage/records.js';
import type { StoreReplica } from '../storage/store-replica.js';
import type { Clock } from '../transport/clock.js';

/** One task of a chunk: waiting, placed on a machine, or done. */
export interface Slot {
  index: number;
  state: 'pending' | 'live' | 'done';
  machine: string;
  attempt: number;
  /** Steady time at which a report first showed it running; null: not yet. */
  runningAt: number | null;
  /** Of a gang: steady time at which a report first showed it waiting for the others. */
  gatheringAt: number | null;
  /** Being stopped to make room. */
  halting: boolean;
  /** Its start, or its stop, went out and no later report shows that it was lost. */
  startSent: boolean;
  stopSent: boolean;
  pendingSince: number;
  context: number[] | null;
}

export interface Chunk {
  key: string;
  job: string;
  /** Greater than those of all chunks that the leader made before. */
  number: number;
  record: ChunkRecord;
  slots: Map<number, Slot>;
  /** Its slots that wait for a place, in the order of their numbers. */
  waiting: Set<Slot>;
  placed: number;
  /** Of a gang: its attempt failed, so that all of it ends and goes back to the leader. */
  broken: boolean;
  /** Of a gang: it does not fit here even once the arrays here have ended. */
  infeasible: boolean;
  /** Of a gang: steady time since which all of its tasks here are placed; null: they are not. */
  placedAt: number | null;
  /** As last committed. */
  stored: ChunkRecord;
  /** Steady time of the oldest change that is not committed; null: none. */
  dirtySince: number | null;
}

/** A part of a chunk as it is to be written; the first one keeps the chunk's key. */
export interface Piece {
  key: string;
  record: ChunkRecord;
  slots: Slot[];
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
  /** Pieces on their way to the state service, and the chunks that they are taken from. */
  private readonly planned = new Map<string, { from: Chunk; pieces: Piece[] }>();
  private readonly byJob = new Map<string, Set<Chunk>>();
  private readonly byMachine = new Map<string, Map<Slot, Chunk>>();

  constructor(
    private readonly part: string,
    private readonly replica: StoreReplica,
    private readonly clock: Clock,
  ) {
    for (const [key] of replica.below<ChunkRecord>(chunkPrefix(part))) this.changed(key);
  }

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
    const plan = this.planned.get(key);
    // A piece that was given up and carried out late: its tasks must not stand in two chunks here.
    if (!plan && !Number.isInteger(name.number)) this.resyncSharing(name.job, held.value);
    const chunk: Chunk = {
      key,
      job: name.job,
      number: name.number,
      record: held.value,
      stored: held.value,
      slots: new Map(),
      waiting: new Set(),
      placed: 0,
      broken: false,
      infeasible: false,
      placedAt: null,
      dirtySince: null,
    };
    this.chunks.set(key, chunk);
    if (chunk.record.attempt !== undefined) this.gangs.add(chunk);
    const group = this.byJob.get(chunk.job);
    if (group) group.add(chunk);
    else this.byJob.set(chunk.job, new Set([chunk]));
    if (plan) this.carryOver(plan.from, plan.pieces, chunk);
    else this.fill(chunk);
  }

  private resyncSharing(job: string, record: ChunkRecord): void {
    const ids = readRanges(record.ids);
    for (const other of [...this.of(job)]) {
      if (ids.some((id) => other.slots.has(id))) this.resync(other);
    }
  }

  // --- Taking a chunk apart ------------------------------------------------------------------

  /**
   * The chunk's record as it is now, in as many pieces as values of so many bytes take: the version
   * before may have stored it larger than the state service takes now.
   */
  pieces(chunk: Chunk, fresh: ReadonlySet<string>, most: number): Piece[] {
    const record = this.write(chunk, fresh);
    if (bytesOf(record) <= most) return [{ key: chunk.key, record, slots: [] }];
    const slots = [...chunk.slots.values()].sort((a, b) => a.index - b.index);
    const pieces: Piece[] = [];
    let count = 0;
    for (let from = 0; from < slots.length;) {
      let to = from + 1;
      for (let least = to, last = slots.length; least <= last;) {
        const middle = Math.floor((least + last) / 2);
        if (bytesOf(this.write(chunk, fresh, slots.slice(from, middle))) <= most) {
          to = middle;
          least = middle + 1;
        } else last = middle - 1;
      }
      let key = chunk.key;
      while (pieces.length > 0 && (this.chunks.has(key) || this.replica.get(key))) {
        key = splitKey(chunk.key, ++count);
      }
      const some = slots.slice(from, to);
      pieces.push({ key, record: this.write(chunk, fresh, some), slots: some });
      from = to;
    }
    return pieces;
  }

  /** Told before the pieces are written: their keys may be seen before the answer comes. */
  plan(from: Chunk, pieces: Piece[]): void {
    for (const { key } of pieces.slice(1)) this.planned.set(key, { from, pieces });
  }

  /** The pieces were written, or were not and never will be. */
  unplan(pieces: Piece[]): void {
    for (const { key } of pieces.slice(1)) this.planned.delete(key);
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
        this.lift(from, slot);
        this.put(chunk, slot);
      }
      if (from.waiting.delete(slot)) chunk.waiting.add(slot);
    }
    if (from.waiting.size === 0) this.waiting.delete(from);
    if (chunk.waiting.size > 0) this.waiting.add(chunk);
    // Changed while it was written: which of the tasks did is not known.
    if (this.dirty.has(from)) this.touch(chunk);
  }

  private fill(chunk: Chunk): void {
    const done = new Set(readRanges(chunk.stored.done));
    const now = this.clock.now();
    for (const index of readRanges(chunk.stored.ids)) {
      const live = chunk.stored.live[String(index)];
      const slot: Slot = {
        index,
        state: done.has(index) ? 'done' : live ? 'live' : 'pending',
        machine: live?.[0] ?? '',
        attempt: live?.[1] ?? 0,
        runningAt: null,
        gatheringAt: null,
        halting: false,
        startSent: false,
        stopSent: false,
        pendingSince: now,
        context: null,
      };
      chunk.slots.set(index, slot);
      if (slot.state === 'live') this.put(chunk, slot);
      else if (slot.state === 'pending') chunk.waiting.add(slot);
    }
    if (chunk.waiting.size > 0) this.waiting.add(chunk);
    // Some of a gang's tasks were placed, and some no more: what is left of this attempt is no gang.
    chunk.broken = chunk.record.attempt !== undefined && chunk.placed > 0 && chunk.waiting.size > 0;
  }

  private empty(chunk: Chunk): void {
    for (const slot of chunk.slots.values()) if (slot.state === 'live') this.lift(chunk, slot);
    chunk.slots.clear();
    chunk.waiting.clear();
    this.waiting.delete(chunk);
    this.clean(chunk);
  }

  private put(chunk: Chunk, slot: Slot): void {
    chunk.placed++;
    const group = this.byMachine.get(slot.machine);
    if (group) group.set(slot, chunk);
    else this.byMachine.set(slot.machine, new Map([[slot, chunk]]));
  }

  private lift(chunk: Chunk, slot: Slot): void {
    chunk.placed--;
    const group = this.byMachine.get(slot.machine);
    group?.delete(slot);
    if (group?.size === 0) this.byMachine.delete(slot.machine);
  }

  /** Forgets a chunk; true: it was the last of its job. */
  drop(chunk: Chunk): boolean {
    this.empty(chunk);
    this.gangs.delete(chunk);
    this.chunks.delete(chunk.key);
    const group = this.byJob.get(chunk.job);
    group?.delete(chunk);
    if (group?.size === 0) this.byJob.delete(chunk.job);
    return !this.byJob.has(chunk.job);
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

  touch(chunk: Chunk): void {
    chunk.dirtySince ??= this.clock.now();
    this.dirty.add(chunk);
  }

  clean(chunk: Chunk): void {
    chunk.dirtySince = null;
    this.dirty.delete(chunk);
  }

  of(job: string): Iterable<Chunk> {
    return this.byJob.get(job) ?? [];
  }

  find(job: string, index: number): { chunk: Chunk; slot: Slot } | null {
    for (const chunk of this.of(job)) {
      const slot = chunk.slots.get(index);
      if (slot) return { chunk, slot };
    }
    return null;
  }

  /** Names of the machines on which tasks are placed. */
  machines(): Iterable<string> {
    return this.byMachine.keys();
  }

  /** The tasks placed on a machine. */
  on(machine: string): ReadonlyMap<Slot, Chunk> {
    return this.byMachine.get(machine) ?? NONE;
  }

  /** Whether the state service holds this placement: only then may its start be sent. */
  committed(chunk: Chunk, slot: Slot): boolean {
    return chunk.stored.live[String(slot.index)]?.[1] === slot.attempt;
  }

  place(chunk: Chunk, slot: Slot, machine: string, attempt: number, context: number[] | null) {
    this.leave(chunk, slot);
    slot.state = 'live';
    slot.machine = machine;
    slot.attempt = attempt;
    slot.context = context;
    this.put(chunk, slot);
    this.touch(chunk);
  }

  requeue(chunk: Chunk, slot: Slot): void {
    this.leave(chunk, slot);
    // Its attempt is over for all: a gang's tasks can't be placed one by one.
    chunk.broken = chunk.record.attempt !== undefined;
    slot.state = 'pending';
    slot.pendingSince = this.clock.now();
    chunk.waiting.add(slot);
    this.waiting.add(chunk);
    this.touch(chunk);
  }

  finish(chunk: Chunk, slot: Slot): void {
    this.leave(chunk, slot);
    slot.state = 'done';
    this.touch(chunk);
  }

  /** Gives a waiting task back to the leader. */
  giveBack(chunk: Chunk, slot: Slot): void {
    this.leave(chunk, slot);
    chunk.slots.delete(slot.index);
    this.touch(chunk);
  }

  private leave(chunk: Chunk, slot: Slot): void {
    if (slot.state === 'live') this.lift(chunk, slot);
    chunk.waiting.delete(slot);
    if (chunk.waiting.size === 0) this.waiting.delete(chunk);
    slot.machine = '';
    slot.runningAt = null;
    slot.gatheringAt = null;
    slot.halting = false;
    slot.startSent = false;
    slot.stopSent = false;
    slot.context = null;
  }

  /** Machines with placements of this chunk that are not committed yet. */
  fresh(chunk: Chunk): Set<string> {
    const machines = new Set<string>();
    for (const slot of chunk.slots.values()) {
      if (slot.state === 'live' && !this.committed(chunk, slot)) machines.add(slot.machine);
    }
    return machines;
  }

  /** The chunk's record as it is now; new placements only on the machines that are named. */
  write(
    chunk: Chunk,
    fresh: ReadonlySet<string>,
    slots: Iterable<Slot> = chunk.slots.values(),
  ): ChunkRecord {
    const ids: number[] = [];
    const live: ChunkRecord['live'] = {};
    const done: number[] = [];
    for (const slot of slots) {
      ids.push(slot.index);
      if (slot.state === 'live' && !this.committed(chunk, slot) && !fresh.has(slot.machine)) {
        continue;
      }
      if (slot.state === 'live') live[String(slot.index)] = [slot.machine, slot.attempt];
      else if (slot.state === 'done') done.push(slot.index);
    }
    return {
      ...chunk.stored,
      ids: writeRanges(ids),
      done: writeRanges(done),
      live,
      ...(chunk.broken ? { stopping: true as const } : {}),
    };
  }

  counts(): { placed: number; waiting: number } {
    let placed = 0;
    let waiting = 0;
    for (const chunk of this.chunks.values()) {
      placed += chunk.placed;
      waiting += chunk.waiting.size;
    }
    return { placed, waiting };
  }
}

const NONE: ReadonlyMap<Slot, Chunk> = new Map();
