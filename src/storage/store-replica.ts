import {
  BACKOFF_FIRST_MS,
  BACKOFF_LAST_MS,
  FINAL_CACHE,
  HURRY_SHARE,
  WATCH_HOLD_MS,
  WATCH_SPACING_MS,
} from '../constants.js';
import { Refused, type StateApi } from '../protocol/state-api.js';
import { Backoff } from '../transport/backoff.js';
import { sleep, type Clock } from '../transport/clock.js';
import { CATALOG, CHUNKS, FINALS, JOBS, LIVE, MACHINES, ROOT, readChunkKey } from './keys.js';
import type { RateLimiter } from './rate-limiter.js';
import type { Log } from './log.js';
import {
  summarize,
  type ChunkRecord,
  type ChunkSummary,
  type FinalRecord,
  type JobRecord,
  type MachineRecord,
} from './records.js';

export interface Held<T = unknown> {
  value: T;
  revision: number;
}

/** What a key is about: the word after the common prefix. */
function kindOf(key: string): string {
  const end = key.indexOf('/', LIVE.length);
  return end < 0 ? key.slice(LIVE.length) : key.slice(LIVE.length, end);
}

/** A chunk whose summary is made when somebody asks for it: most nodes never do. */
class Sum {
  private made: ChunkSummary | null = null;

  constructor(
    private readonly name: { part: string; job: string; number: number },
    private readonly record: ChunkRecord,
  ) {}

  get summary(): ChunkSummary {
    this.made ??= summarize(this.name, this.record);
    return this.made;
  }
}

/**
 * This node's copy of the live keys, kept by a watch. It is complete up to `revision`, and was so
 * at `freshAt` of this node's steady clock: the time at which the last answered watch was *sent*,
 * since the answer may have been held on its way.
 */
export class StoreReplica {
  private readonly cells = new Map<string, Held>();
  /** The same by their kind, so that nobody walks all keys for the few of one kind. */
  private readonly held = new Map<string, Map<string, Held>>();
  /** Revisions of keys removed ahead of the watch, so that older events don't bring them back. */
  private readonly removed = new Map<string, number>();
  /** Jobs by id: they are asked for most often of all. */
  private readonly jobs = new Map<string, JobRecord>();
  private readonly machines = new Map<string, MachineRecord>();
  private readonly finals = new Map<string, FinalRecord>();
  private readonly sums = new Map<string, Sum>();
  private readonly byJob = new Map<string, Set<string>>();
  private readonly listeners: ((keys: string[]) => void)[] = [];
  private readonly freshListeners: ((sentAt: number) => void)[] = [];
  private stopped = false;
  private wake: (() => void) | null = null;
  /** A revision that a peer told of. */
  private wanted = 0;
  revision = 0;
  /** The newest revision that this node knows of, by its watch or by its own changes. */
  newest = 0;
  freshAt = -Infinity;
  loaded = false;
  private wholeFrom = 0;
  /** How often the machine types changed: what was made of them holds until then. */
  catalogChanges = 0;

  constructor(
    private readonly api: StateApi,
    private readonly limiter: RateLimiter,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly random: () => number,
    private readonly holdMs: number = WATCH_HOLD_MS,
    private readonly spacingMs: number = WATCH_SPACING_MS,
  ) {}

  /**
   * False while pages of a reading of all keys describe different moments: the watch has yet to
   * bring the first up to the last.
   */
  get whole(): boolean {
    return this.loaded && this.revision >= this.wholeFrom;
  }

  /** `listener` hears when each answered watch was sent: the replica is as new as that. */
  onFresh(listener: (sentAt: number) => void): void {
    this.freshListeners.push(listener);
  }

  onChange(listener: (keys: string[]) => void): void {
    this.listeners.push(listener);
  }

  get<T>(key: string): Held<T> | null {
    return (this.cells.get(key) as Held<T> | undefined) ?? null;
  }

  revisionOf(key: string): number {
    return this.get(key)?.revision ?? 0;
  }

  /** The keys below a prefix, in no order. */
  *below<T>(prefix: string): Generator<[string, Held<T>]> {
    for (const [key, held] of this.held.get(kindOf(prefix)) ?? []) {
      if (key.startsWith(prefix)) yield [key, held as Held<T>];
    }
  }

  /** A job that is neither done nor cancelled. */
  job(id: string): JobRecord | null {
    return this.jobs.get(id) ?? null;
  }

  /** The leader's record of a machine; null: there is none. */
  machine(name: string): MachineRecord | null {
    return this.machines.get(name) ?? null;
  }

  final(id: string): FinalRecord | null {
    return this.finals.get(id) ?? null;
  }

  *chunks(): Generator<ChunkSummary> {
    for (const sum of this.sums.values()) yield sum.summary;
  }

  get chunkCount(): number {
    return this.sums.size;
  }

  chunkKeys(): Iterable<string> {
    return this.sums.keys();
  }

  chunkKeysOf(job: string): Iterable<string> {
    return this.byJob.get(job) ?? [];
  }

  chunk(key: string): ChunkSummary | null {
    return this.sums.get(key)?.summary ?? null;
  }

  openJobs(): Iterable<JobRecord> {
    return this.jobs.values();
  }

  chunksOf(job: string): ChunkSummary[] {
    const found: ChunkSummary[] = [];
    for (const key of this.byJob.get(job) ?? []) {
      const sum = this.sums.get(key);
      if (sum) found.push(sum.summary);
    }
    return found;
  }

  keepFinal(id: string, record: FinalRecord): void {
    this.finals.set(id, record);
    if (this.finals.size > FINAL_CACHE) {
      const oldest = this.finals.keys().next();
      if (!oldest.done) this.finals.delete(oldest.value);
    }
  }

  /** Takes over what is known of one key, unless something newer is; `undefined` is a removal. */
  apply(key: string, value: unknown, revision: number): boolean {
    if (key.startsWith(FINALS)) {
      if (value !== undefined) this.keepFinal(key.slice(FINALS.length), value as FinalRecord);
      return true;
    }
    if (!key.startsWith(LIVE)) return false;
    const known = this.get(key);
    if ((known && known.revision >= revision) || (this.removed.get(key) ?? 0) >= revision)
      return false;
    if (value === undefined) {
      this.cells.delete(key);
      this.held.get(kindOf(key))?.delete(key);
      if (revision > this.revision) this.removed.set(key, revision);
    } else {
      const kind = kindOf(key);
      const cell: Held = { value, revision };
      const group = this.held.get(kind);
      this.cells.set(key, cell);
      if (group) group.set(key, cell);
      else this.held.set(kind, new Map([[key, cell]]));
    }
    if (key.startsWith(JOBS)) {
      if (value === undefined) this.jobs.delete(key.slice(JOBS.length));
      else this.jobs.set(key.slice(JOBS.length), value as JobRecord);
    }
    if (key.startsWith(MACHINES)) {
      if (value === undefined) this.machines.delete(key.slice(MACHINES.length));
      else this.machines.set(key.slice(MACHINES.length), value as MachineRecord);
    }
    if (key.startsWith(CATALOG)) this.catalogChanges++;
    if (key.startsWith(CHUNKS)) this.applyChunk(key, value as ChunkRecord | undefined);
    return true;
  }

  private applyChunk(key: string, record: ChunkRecord | undefined): void {
    const name = readChunkKey(key);
    if (!name) return;
    const group = this.byJob.get(name.job);
    if (record === undefined) {
      this.sums.delete(key);
      group?.delete(key);
      if (group?.size === 0) this.byJob.delete(name.job);
      return;
    }
    this.sums.set(key, new Sum(name, record));
    if (group) group.add(key);
    else this.byJob.set(name.job, new Set([key]));
  }

  /** Takes over changes made by this node itself, ahead of the watch. */
  applyOwn(changes: { key: string; value: unknown; revision: number }[]): void {
    for (const one of changes) this.newest = Math.max(this.newest, one.revision);
    const changed = changes.filter((one) => this.apply(one.key, one.value, one.revision));
    if (changed.length > 0) this.tell(changed.map((one) => one.key));
  }

  private tell(keys: string[]): void {
    for (const listener of this.listeners) listener(keys);
  }

  /** Reads all live keys; keys that are no longer there go. */
  async load(): Promise<void> {
    const seen = new Map<string, Held>();
    let after: string | null = null;
    let first: number | null = null;
    for (;;) {
      await this.limiter.pass('watch', 0);
      const page = await this.api.list(LIVE, after);
      first ??= page.revision;
      this.wholeFrom = Math.max(this.wholeFrom, page.revision);
      for (const entry of page.entries) {
        seen.set(entry.key, { value: entry.value, revision: entry.revision });
        after = entry.key;
      }
      if (!page.more) break;
    }
    const keys: string[] = [];
    for (const [key, held] of this.cells) {
      if (seen.has(key) || held.revision > first) continue;
      this.apply(key, undefined, first);
      keys.push(key);
    }
    for (const [key, held] of seen) {
      if (this.apply(key, held.value, held.revision)) keys.push(key);
    }
    this.revision = Math.max(this.revision, first);
    this.loaded = true;
    this.tell(keys);
  }

  /** There is something new, of this revision: asks for changes soon, not after the spacing. */
  hurry(revision: number): void {
    if (revision <= this.revision) return;
    this.wanted = Math.max(this.wanted, revision);
    this.wake?.();
  }

  /**
   * The pause between two watches: what comes meanwhile shares the next answer. A hint cuts it
   * short, though not below its least part.
   */
  private pause(): Promise<void> {
    return new Promise((resolve) => {
      const least = this.spacingMs * HURRY_SHARE;
      const from = this.clock.now();
      const end = (): void => {
        this.wake = null;
        resolve();
      };
      let cancel = this.clock.after(this.wanted > this.revision ? least : this.spacingMs, end);
      this.wake = () => {
        cancel();
        cancel = this.clock.after(Math.max(0, least - (this.clock.now() - from)), end);
      };
    });
  }

  /** Follows the changes until stopped; failures are waited out. */
  async follow(): Promise<void> {
    const backoff = new Backoff(BACKOFF_FIRST_MS, BACKOFF_LAST_MS, this.random);
    while (!this.stopped) {
      try {
        if (!this.loaded) await this.load();
        await this.limiter.pass('watch', 0);
        const sentAt = this.clock.now();
        const result = await this.api.watch(ROOT, this.revision, this.holdMs);
        if (this.stopped) return;
        if (result === null) {
          this.log.info({ since: this.revision }, 'changes no longer kept, reading all keys again');
          await this.load();
          continue;
        }
        this.take(result.events, result.revision);
        this.freshAt = Math.max(this.freshAt, sentAt);
        for (const listener of this.freshListeners) listener(sentAt);
        backoff.reset();
        await this.pause();
      } catch (error) {
        if (error instanceof Refused && error.status === 429) this.limiter.refused(0);
        this.log.debug({ error: String(error) }, 'watch failed');
        await sleep(this.clock, backoff.next());
      }
    }
  }

  private take(
    events: { key: string; value: unknown; revision: number; removed: boolean }[],
    revision: number,
  ): void {
    const keys: string[] = [];
    for (const event of events) {
      const value = event.removed ? undefined : event.value;
      if (this.apply(event.key, value, event.revision)) keys.push(event.key);
    }
    this.revision = Math.max(this.revision, revision);
    this.newest = Math.max(this.newest, revision);
    for (const [key, removedAt] of this.removed) {
      if (removedAt <= this.revision) this.removed.delete(key);
    }
    // Told even without events: the replica's freshness is what owners wait for.
    this.tell(keys);
  }

  stop(): void {
    this.stopped = true;
    this.wake?.();
  }
}
