/** Indexes of a part's chunks by job, and of its placed tasks by machine. */
import type { Chunk, Slot } from './assignment.js';

const NO_SLOTS: ReadonlyMap<Slot, Chunk> = new Map();

/** Finds the chunks of a job and the tasks placed on a machine. */
export class TaskIndex {
  private readonly byJob = new Map<string, Set<Chunk>>();
  private readonly byMachine = new Map<string, Map<Slot, Chunk>>();

  /** Adds a chunk to those of its job. */
  addChunk(chunk: Chunk): void {
    const group = this.byJob.get(chunk.job);
    if (group) group.add(chunk);
    else this.byJob.set(chunk.job, new Set([chunk]));
  }

  /** Removes a chunk; true: it was the last of its job. */
  removeChunk(chunk: Chunk): boolean {
    const group = this.byJob.get(chunk.job);
    group?.delete(chunk);
    if (group?.size === 0) this.byJob.delete(chunk.job);
    return !this.byJob.has(chunk.job);
  }

  /** Counts a slot as placed on its machine. */
  addPlacement(chunk: Chunk, slot: Slot): void {
    chunk.placed++;
    const group = this.byMachine.get(slot.machine);
    if (group) group.set(slot, chunk);
    else this.byMachine.set(slot.machine, new Map([[slot, chunk]]));
  }

  /** Counts a slot as no longer placed on its machine. */
  removePlacement(chunk: Chunk, slot: Slot): void {
    chunk.placed--;
    const group = this.byMachine.get(slot.machine);
    group?.delete(slot);
    if (group?.size === 0) this.byMachine.delete(slot.machine);
  }

  /** The chunks of a job. */
  ofJob(job: string): Iterable<Chunk> {
    return this.byJob.get(job) ?? [];
  }

  /** Names of the machines on which tasks are placed. */
  machines(): Iterable<string> {
    return this.byMachine.keys();
  }

  /** The tasks placed on a machine. */
  onMachine(machine: string): ReadonlyMap<Slot, Chunk> {
    return this.byMachine.get(machine) ?? NO_SLOTS;
  }
}
