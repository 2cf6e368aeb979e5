/** Decides which of a part's chunks are to be written now. */
import { DONE_GATHER_MS, PLACE_GATHER_MS, YIELD_MS } from '../../constants.js';
import type { InvalidChangeBackoff } from '../../storage/rejected-change-backoff.js';
import { rankOf } from '../../protocol/model.js';
import { jobSpec, type PartContext } from './shard-context.js';
import type { Chunk } from '../shard-state/tasks.js';

/** Orders the changed chunks by urgency and holds back what can be gathered with other changes. */
export class WriteSchedule {
  constructor(
    private readonly context: PartContext,
    /** Chunks whose changes were called invalid, or are too large to be written yet. */
    private readonly withheld: InvalidChangeBackoff,
  ) {}

  /** The chunks that are due, urgent ones first. */
  dueChunks(): Chunk[] {
    const { clock, endedChunks, tasks } = this.context;
    const now = clock.now();
    for (const chunk of endedChunks) if (this.isOver(chunk)) tasks.touch(chunk);
    const due: Chunk[] = [];
    for (const chunk of tasks.dirty) {
      if (!this.withheld.has(chunk.key) && this.isDue(chunk, now)) due.push(chunk);
    }
    return due.sort((a, b) => Number(this.isUrgent(b)) - Number(this.isUrgent(a)));
  }

  /** Whether work that is not urgent may be written now, or has to wait for its turn. */
  mayWriteOrdinary(due: readonly Chunk[]): boolean {
    const { clock, options } = this.context;
    const now = clock.now();
    const old = due.some((chunk) => now - (chunk.dirtySince ?? now) > YIELD_MS);
    return old || options.limiter.hasRoom(Math.min(due.length, options.txnOps));
  }

  /** Removed once its job is over, or all of it was given back, and nothing of it is placed. */
  isOver(chunk: Chunk): boolean {
    if (chunk.slots.size === 0) return true;
    return chunk.placed === 0 && jobSpec(this.context, chunk.job) === null;
  }

  /** Whether the chunk's job is a gang or has at least high priority. */
  isUrgent(chunk: Chunk): boolean {
    const spec = jobSpec(this.context, chunk.job);
    if (spec?.kind === 'gang') return true;
    return spec !== null && rankOf(spec.priority) >= rankOf('high');
  }

  /**
   * Whether a chunk's changes should be written now. What starts tasks is; ends wait a moment for
   * others, since a write for each short task is more than the state service takes.
   */
  private isDue(chunk: Chunk, now: number): boolean {
    if (this.isOver(chunk)) return true;
    const age = now - (chunk.dirtySince ?? now);
    const supply = this.context.options.limiter.supply;
    if (age >= DONE_GATHER_MS[supply]) return true;
    // Other parts with tasks of the gang stop theirs when they see this.
    const shared = chunk.slots.size < (jobSpec(this.context, chunk.job)?.tasks ?? 0);
    if (chunk.broken && shared && !chunk.stored.stopping) return true;
    if (!this.startsTasks(chunk) && this.isOpen(chunk)) return false;
    return this.isUrgent(chunk) || age >= PLACE_GATHER_MS[supply];
  }

  /** Whether some of the chunk's placements are not committed yet. */
  private startsTasks(chunk: Chunk): boolean {
    return [...chunk.slots.values()].some(
      (slot) => slot.state === 'live' && !this.context.tasks.committed(chunk, slot),
    );
  }

  /** Whether tasks of the chunk wait for a place or are placed. */
  private isOpen(chunk: Chunk): boolean {
    return (
      chunk.waiting.size > 0 || [...chunk.slots.values()].some(({ state }) => state === 'live')
    );
  }
}
