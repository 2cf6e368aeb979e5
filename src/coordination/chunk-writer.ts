import {
  CHUNK_BYTES,
  CHUNK_HOLD_MS,
  CHUNK_TASK_BYTES,
  DONE_GATHER_MS,
  GUARDS_PER_OP,
  PLACE_GATHER_MS,
  TXN_BYTES,
  VALUE_SHARE,
  YIELD_MS,
} from '../constants.js';
import type { Committer } from '../storage/committer.js';
import { jobKey, machineKey } from '../storage/keys.js';
import type { Log } from '../storage/log.js';
import type { ChunkRecord } from '../storage/records.js';
import { InvalidChangeBackoff } from '../storage/invalid-change-backoff.js';
import type { StoreReplica } from '../storage/store-replica.js';
import type { Change, Guard } from '../protocol/state-api.js';
import { rankOf, type JobSpec } from '../protocol/model.js';
import type { Clock } from '../transport/clock.js';
import { Tasks, type Chunk, type Piece } from './tasks.js';
import type { PartOptions } from './part.js';

/** What the writer needs of its part. */
export interface Hands {
  /** Chunks of jobs that are over. */
  ended: Set<Chunk>;
  /** A job's description; null: it is over. */
  spec: (job: string) => JobSpec | null;
  /** Placements on these machines are committed: their starts may be sent. */
  stored: (machines: Set<string>, urgent: boolean) => void;
  /** Nothing of a job is left in this part. */
  dropped: (job: string) => void;
}

/** A chunk on its way to the state service; `record` null: it is over. */
interface Written {
  chunk: Chunk;
  record: ChunkRecord | null;
  pieces: Piece[];
}

/**
 * Brings a part's chunks to the state service: what starts tasks at once, ends gathered, each chunk
 * within the limits of values and transactions. Everything guards the part's role.
 */
export class ChunkWriter {
  /** Chunks whose changes were called invalid, or are too large to be written yet. */
  private readonly withheld: InvalidChangeBackoff;

  constructor(
    private readonly options: Pick<
      PartOptions,
      'roleKey' | 'roleRevision' | 'txnOps' | 'valueBytes' | 'alive' | 'limiter'
    >,
    private readonly hands: Hands,
    private readonly tasks: Tasks,
    private readonly replica: StoreReplica,
    private readonly committer: Committer,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {
    this.withheld = new InvalidChangeBackoff(clock);
  }

  /** Forgets pauses that are long over. */
  sweep(): void {
    this.withheld.sweep();
  }

  /** Removed once its job is over, or all of it was given back, and nothing of it is placed. */
  private over(chunk: Chunk): boolean {
    if (chunk.slots.size === 0) return true;
    return chunk.placed === 0 && this.hands.spec(chunk.job) === null;
  }

  /**
   * Whether a chunk's changes should be written now. What starts tasks is; ends wait a moment for
   * others, since a write for each short task is more than the state service takes.
   */
  private due(chunk: Chunk, now: number): boolean {
    if (this.over(chunk)) return true;
    const age = now - (chunk.dirtySince ?? now);
    const supply = this.options.limiter.supply;
    if (age >= DONE_GATHER_MS[supply]) return true;
    // Other parts with tasks of the gang stop theirs when they see this.
    const shared = chunk.slots.size < (this.hands.spec(chunk.job)?.tasks ?? 0);
    if (chunk.broken && shared && !chunk.stored.stopping) return true;
    let starts = false;
    let open = chunk.waiting.size > 0;
    for (const slot of chunk.slots.values()) {
      if (slot.state !== 'live') continue;
      open = true;
      if (!this.tasks.committed(chunk, slot)) starts = true;
    }
    if (!starts && open) return false;
    return this.urgent(chunk) || age >= PLACE_GATHER_MS[supply];
  }

  private urgent(chunk: Chunk): boolean {
    const spec = this.hands.spec(chunk.job);
    if (spec?.kind === 'gang') return true;
    return spec !== null && rankOf(spec.priority) >= rankOf('high');
  }

  /** The chunks that the next transaction takes. */
  private ready(): Chunk[] {
    const now = this.clock.now();
    for (const chunk of this.hands.ended) if (this.over(chunk)) this.tasks.touch(chunk);
    const ready: Chunk[] = [];
    for (const chunk of this.tasks.dirty) {
      if (!this.withheld.has(chunk.key) && this.due(chunk, now)) ready.push(chunk);
    }
    return ready.sort((a, b) => Number(this.urgent(b)) - Number(this.urgent(a)));
  }

  /** Writes what is due. */
  async flush(): Promise<void> {
    for (let left = this.ready(); left.length > 0; left = this.ready()) {
      const guards: Guard[] = [{ key: this.options.roleKey, revision: this.options.roleRevision }];
      const changes: Change[] = [];
      const written: Written[] = [];
      const machines = new Set<string>();
      const jobs = new Set<string>();
      let bytes = 0;
      // Urgent work shares no transaction with other work, which may have to wait for its turn.
      const urgent = left[0] !== undefined && this.urgent(left[0]);
      const now = this.clock.now();
      const old = left.some((chunk) => now - (chunk.dirtySince ?? now) > YIELD_MS);
      const most = Math.min(left.length, this.options.txnOps);
      if (!urgent && !old && !this.options.limiter.hasRoom(most)) return;
      const keys = left.map((chunk) => chunk.key);
      for (const chunk of left.slice(0, this.withheld.together(keys, this.options.txnOps))) {
        if (this.urgent(chunk) !== urgent) break;
        bytes += CHUNK_BYTES + chunk.placed * CHUNK_TASK_BYTES;
        if (bytes > TXN_BYTES && changes.length > 0) break;
        // A machine that the leader takes out of use meanwhile gets no new task: each is guarded,
        // and a transaction holds only so many guards. A chunk with more goes out in pieces: all
        // in one would be refused, again and again.
        const fresh = this.over(chunk) ? new Set<string>() : this.tasks.fresh(chunk);
        const all = new Set([...machines, ...fresh]);
        const room = this.options.txnOps * (GUARDS_PER_OP - 2) - 1;
        if (all.size > room && changes.length > 0) break;
        const some = new Set([...fresh].slice(0, room));
        const fill = this.options.valueBytes * VALUE_SHARE;
        const pieces = this.over(chunk) ? [] : this.tasks.pieces(chunk, some, fill);
        // All in one transaction, or a task would be in two chunks or in none for a while.
        if (changes.length + Math.max(1, pieces.length) > this.options.txnOps) {
          if (changes.length > 0) break;
          this.log.info(
            { chunk: chunk.key, pieces: pieces.length },
            'chunk too large to write yet',
          );
          this.withheld.hold(chunk.key, CHUNK_HOLD_MS);
          continue;
        }
        for (const machine of some) machines.add(machine);
        // Nor is a job placed that was called off a moment ago, which this node has not heard yet.
        if (some.size > 0) jobs.add(chunk.job);
        if (pieces.length === 0) {
          guards.push({ key: chunk.key, revision: this.replica.revisionOf(chunk.key) });
          changes.push({ key: chunk.key, remove: true });
        }
        for (const { key, record } of pieces) {
          guards.push({ key, revision: this.replica.revisionOf(key) });
          changes.push({ key, value: record });
        }
        this.tasks.plan(chunk, pieces);
        written.push({ chunk, record: pieces[0]?.record ?? null, pieces });
        if (some.size === fresh.size) this.tasks.clean(chunk);
      }
      if (changes.length === 0) continue;
      for (const machine of machines) {
        const key = machineKey(machine);
        guards.push({ key, revision: this.replica.revisionOf(key) });
      }
      for (const job of jobs)
        guards.push({ key: jobKey(job), revision: this.replica.revisionOf(jobKey(job)) });
      const purpose = urgent ? 'urgent' : 'part';
      const result = await this.committer.commit(purpose, guards, changes, this.options.alive);
      for (const { pieces } of written) this.tasks.unplan(pieces);
      if (!this.options.alive()) return;
      if (result.kind !== 'done') {
        // Nothing of this was written, or another's word is newer: what is stored counts again.
        this.log.info({ result }, 'placements not committed');
        for (const { chunk } of written) {
          if (result.kind === 'invalid') this.withheld.add(chunk.key);
          this.tasks.resync(chunk);
        }
        return;
      }
      for (const one of written) {
        this.withheld.clear(one.chunk.key);
        this.stored(one);
      }
      this.hands.stored(machines, urgent);
    }
  }

  private stored({ chunk, record }: Written): void {
    if (record) {
      chunk.stored = record;
      return;
    }
    this.hands.ended.delete(chunk);
    if (this.tasks.drop(chunk)) this.hands.dropped(chunk.job);
  }
}
