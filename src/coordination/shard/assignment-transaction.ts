/** Builds one transaction that writes chunks, within the limits of the state service. */
import {
  CHUNK_BYTES,
  CHUNK_TASK_BYTES,
  GUARDS_PER_OP,
  TXN_BYTES,
  VALUE_SHARE,
} from '../../constants.js';
import { jobKey, machineKey } from '../../storage/keys.js';
import type { Change, Guard } from '../../protocol/key-value-store.js';
import type { PartContext } from './shard-context.js';
import type { Piece } from '../shard-state/assignment-pieces.js';
import { uncommittedMachines } from '../shard-state/assignment.js';
import type { Chunk } from '../shard-state/tasks.js';

/** A chunk on its way to the state service; no pieces: it is removed. */
export interface WrittenChunk {
  chunk: Chunk;
  pieces: Piece[];
}

/** Whether a chunk was added, must wait for the next transaction, or fits in none. */
export type AddResult = { kind: 'added' } | { kind: 'full' } | { kind: 'tooLarge'; pieces: number };

/** A transaction of changes of chunks. Everything guards the part's role. */
export class ChunkTransaction {
  readonly changes: Change[] = [];
  readonly written: WrittenChunk[] = [];
  /** Machines on which new placements are written. */
  readonly machines = new Set<string>();
  /** Jobs of which new placements are written. */
  private readonly jobs = new Set<string>();
  private estimatedBytes = 0;

  constructor(private readonly context: PartContext) {}

  /** Adds a chunk's changes; `isOver`: it is removed. */
  add(chunk: Chunk, isOver: boolean): AddResult {
    const { options, tasks } = this.context;
    this.estimatedBytes += CHUNK_BYTES + chunk.placed * CHUNK_TASK_BYTES;
    if (this.estimatedBytes > TXN_BYTES && this.changes.length > 0) return { kind: 'full' };
    const uncommitted = isOver ? new Set<string>() : uncommittedMachines(chunk);
    // A machine that the leader takes out of use meanwhile gets no new task: each is guarded, and a
    // transaction holds only so many guards. A chunk with more goes out in pieces: all in one would
    // be refused, again and again.
    const maxMachines = options.txnOps * (GUARDS_PER_OP - 2) - 1;
    const allMachines = new Set([...this.machines, ...uncommitted]);
    if (allMachines.size > maxMachines && this.changes.length > 0) return { kind: 'full' };
    const newMachines = new Set([...uncommitted].slice(0, maxMachines));
    const maxBytes = options.valueBytes * VALUE_SHARE;
    const pieces = isOver ? [] : tasks.pieces(chunk, newMachines, maxBytes);
    // All in one transaction, or a task would be in two chunks or in none for a while.
    if (this.changes.length + Math.max(1, pieces.length) > options.txnOps) {
      if (this.changes.length > 0) return { kind: 'full' };
      return { kind: 'tooLarge', pieces: pieces.length };
    }
    this.addChanges(chunk, pieces, newMachines);
    if (newMachines.size === uncommitted.size) tasks.clean(chunk);
    return { kind: 'added' };
  }

  /** The role, the chunks, and the machines and jobs of new placements, all as they are known. */
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

  private addChanges(chunk: Chunk, pieces: Piece[], newMachines: ReadonlySet<string>): void {
    for (const machine of newMachines) this.machines.add(machine);
    // Nor is a job placed that was called off a moment ago, which this node has not heard yet.
    if (newMachines.size > 0) this.jobs.add(chunk.job);
    if (pieces.length === 0) this.changes.push({ key: chunk.key, remove: true });
    for (const { key, record } of pieces) this.changes.push({ key, value: record });
    this.context.tasks.plannedPieces.add(chunk, pieces);
    this.written.push({ chunk, pieces });
  }
}
