import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import {
  NO_SUCH_LEASE,
  StoreRejectedError,
  type Change,
  type Entry,
  type Guard,
  type KeyValueStore,
  type CompareAndSwapResult,
  type WatchResult,
} from '../../src/protocol/key-value-store.js';
import { OutcomeUnknownError } from '../../src/transport/errors.js';
import type { Clock } from '../../src/transport/clock.js';

interface Cell {
  value: unknown;
  revision: number;
  lease: number | null;
}

/** A simulated key-value store: consistent, with leases, watches, outages and late requests. */
export class SimKeyValueStore {
  readonly cells = new Map<string, Cell>();
  readonly log: { key: string; value: unknown; revision: number; removed: boolean }[] = [];
  private readonly leases = new Map<number, { ttl: number; ends: number }>();
  private leaseCount = 0;
  revision = 1;
  /** Nobody is served. */
  outage = false;
  /** These controllers get 503. */
  readonly refused = new Set<string>();
  /** These controllers get no answer. */
  readonly hanging = new Set<string>();
  /** Requests and writes a second that are served, with bursts of one second's worth. */
  limits: { rps: number; writeRps: number } | null = null;
  private readonly levels = { at: 0, requests: 0, writes: 0 };
  refusals = 0;
  /** Late transactions whose conditions did not hold any more. */
  lateRefusals = 0;
  /** Keys that one page of a listing holds. */
  pageKeys = 1000;
  /** Listings that were asked for, and which of them are not served. */
  listings = 0;
  refusesListing: (listing: number) => boolean = () => false;
  /** Puts and deletes that one transaction may hold, and four times as many guards. */
  transactionOps = 8;
  /** Bytes that one value may take. */
  valueBytes = 8192;
  /** Transactions that were refused with 400, by their keys. */
  readonly invalid: string[][] = [];
  /** The next transactions of these controllers are carried out this much later, unanswered. */
  readonly late = new Map<string, number>();
  /** ms after which a transaction is carried out, unanswered; null: at once. */
  hold: (node: string, changes: Change[]) => number | null = () => null;
  /** ms that an answer takes, watches aside. */
  answerMs = 5;
  /** ms that the answer to a transaction takes longer, after it was carried out. */
  answerLateMs: (node: string, changes: Change[]) => number = () => 0;
  /** The answer to a transaction that was evaluated in time. */
  answerOf: (result: CompareAndSwapResult) => CompareAndSwapResult = (result) => result;
  /** Changes that watches may still ask for. */
  changesKept = 10_000;
  /** ms that the answer to a watch is on its way. */
  watchLateMs: (node: string) => number = () => 0;
  /** This share of all transactions is carried out at once, and the answer is lost. */
  lostShare = 0;
  /** This share of all transactions is carried out 2 to 12 s later, unanswered. */
  lateShare = 0;
  private readonly random;

  constructor(
    private readonly clock: Clock,
    seed = 1,
  ) {
    this.random = xoroshiro128plus(seed);
    const tick = (): void => {
      this.expire();
      clock.after(50, tick);
    };
    tick();
  }

  private expire(): void {
    if (this.outage) return;
    for (const [id, lease] of this.leases) {
      if (lease.ends > this.clock.now()) continue;
      this.leases.delete(id);
      const keys = [...this.cells].filter(([, cell]) => cell.lease === id).map(([key]) => key);
      if (keys.length > 0) this.change(keys.map((key) => ({ key, remove: true })));
    }
  }

  endOutage(): void {
    this.outage = false;
    for (const lease of this.leases.values()) lease.ends = this.clock.now() + lease.ttl;
  }

  change(changes: Change[]): void {
    this.revision++;
    for (const one of changes) {
      const removed = 'remove' in one;
      const value: unknown = removed ? undefined : structuredClone(one.value);
      if (removed) this.cells.delete(one.key);
      else this.cells.set(one.key, { value, revision: this.revision, lease: one.lease ?? null });
      this.log.push({ key: one.key, value, revision: this.revision, removed });
    }
  }

  compareAndSwap(guards: Guard[], changes: Change[]): CompareAndSwapResult {
    const failed = guards
      .filter((guard) => (this.cells.get(guard.key)?.revision ?? 0) !== guard.revision)
      .map((guard) => guard.key);
    // An expired lease is refused whatever the guards say: also a late copy can't bring it back.
    for (const one of changes) {
      if ('lease' in one && one.lease !== undefined && !this.leases.has(one.lease)) {
        throw new StoreRejectedError(400);
      }
    }
    if (failed.length > 0) return { ok: false, failed };
    if (changes.length > 0) this.change(changes);
    return { ok: true, revision: this.revision };
  }

  /** The log is in the order of revisions; what a watch has not heard of is at its end. */
  private eventsSince(since: number): SimKeyValueStore['log'] {
    let first = this.log.length;
    while (first > 0 && (this.log[first - 1]?.revision ?? 0) > since) first--;
    return this.log.slice(first);
  }

  /** ms that a transaction is held up; null: not at all. */
  private delayOf(node: string, changes: Change[]): number | null {
    if (changes.length === 0) return null;
    const held = this.hold(node, changes);
    if (held !== null) return held;
    if (this.lateShare === 0 || uniformFloat64(this.random) >= this.lateShare) return null;
    return uniformInt(this.random, 2000, 12_000);
  }

  /** Carried out late, and nobody hears of it; an outage puts it off. */
  private carryOut(guards: Guard[], changes: Change[], delayMs: number): void {
    this.clock.after(delayMs, () => {
      if (this.outage) this.carryOut(guards, changes, 50);
      else {
        try {
          if (!this.compareAndSwap(guards, changes).ok) this.lateRefusals++;
        } catch {
          // Refused: its lease has ended meanwhile.
        }
      }
    });
  }

  private withinLimits(writes: number): boolean {
    if (!this.limits) return true;
    const { rps, writeRps } = this.limits;
    const { levels } = this;
    const passed = (this.clock.now() - levels.at) / 1000;
    levels.at = this.clock.now();
    levels.requests = Math.min(rps, levels.requests + passed * rps);
    levels.writes = Math.min(writeRps, levels.writes + passed * writeRps);
    if (levels.requests < 1 || (writes > 0 && levels.writes < Math.min(writes, writeRps))) {
      this.refusals++;
      return false;
    }
    levels.requests--;
    levels.writes -= writes;
    return true;
  }

  private valid(guards: Guard[], changes: Change[]): boolean {
    const bytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));
    return (
      changes.length <= this.transactionOps &&
      guards.length <= 4 * this.transactionOps &&
      bytes({ guards, changes }) <= 64 * 1024 &&
      changes.every((one) => 'remove' in one || bytes(one.value) <= this.valueBytes)
    );
  }

  /** The service as one controller reaches it. */
  api(node: string): KeyValueStore {
    const { clock } = this;
    const served = async (writes = 0): Promise<void> => {
      await new Promise<void>((resolve) => clock.after(this.answerMs, resolve));
      if (this.hanging.has(node)) {
        await new Promise<void>((resolve) => clock.after(2000, resolve));
        throw new OutcomeUnknownError('timed out');
      }
      if (this.outage || this.refused.has(node)) throw new StoreRejectedError(503);
      if (!this.withinLimits(writes)) throw new StoreRejectedError(429);
    };
    return {
      get: async (key) => {
        await served();
        const cell = this.cells.get(key);
        return cell ? { value: structuredClone(cell.value), revision: cell.revision } : null;
      },
      list: async (prefix, after) => {
        await served();
        if (this.refusesListing(++this.listings)) throw new StoreRejectedError(429);
        const entries: Entry[] = [...this.cells]
          .filter(([key]) => key.startsWith(prefix) && (after === null || key > after))
          .sort(([a], [b]) => (a < b ? -1 : 1))
          .map(([key, cell]) => ({
            key,
            value: structuredClone(cell.value),
            revision: cell.revision,
          }));
        const page = entries.slice(0, this.pageKeys);
        return { entries: page, more: page.length < entries.length, revision: this.revision };
      },
      compareAndSwap: async (guards, changes) => {
        await served(changes.length);
        const gone = changes.some(
          (one) => 'lease' in one && one.lease !== undefined && !this.leases.has(one.lease),
        );
        if (gone) throw new StoreRejectedError(400, NO_SUCH_LEASE);
        if (!this.valid(guards, changes)) {
          this.invalid.push(changes.map((one) => one.key));
          throw new StoreRejectedError(400, 'too large');
        }
        const delay = this.late.get(node);
        if (delay !== undefined && changes.length > 0) {
          this.late.delete(node);
          this.carryOut(guards, changes, delay);
          throw new OutcomeUnknownError('held');
        }
        const heldMs = this.delayOf(node, changes);
        if (heldMs !== null) {
          this.carryOut(guards, changes, heldMs);
          await new Promise<void>((resolve) => clock.after(2000, resolve));
          throw new OutcomeUnknownError('held');
        }
        const result = this.answerOf(this.compareAndSwap(guards, changes));
        if (this.lostShare > 0 && uniformFloat64(this.random) < this.lostShare) {
          await new Promise<void>((resolve) => clock.after(2000, resolve));
          throw new OutcomeUnknownError('lost');
        }
        const lateMs = this.answerLateMs(node, changes);
        if (lateMs > 0) await new Promise<void>((resolve) => clock.after(lateMs, resolve));
        return result;
      },
      grant: async (ttlMs) => {
        await served();
        const id = ++this.leaseCount;
        this.leases.set(id, { ttl: ttlMs, ends: clock.now() + ttlMs });
        return id;
      },
      extend: async (lease) => {
        await served();
        const held = this.leases.get(lease);
        if (held) held.ends = clock.now() + held.ttl;
        return held !== undefined;
      },
      watch: async (prefix, since, waitMs): Promise<WatchResult | null> => {
        await served();
        const until = clock.now() + waitMs;
        for (;;) {
          if (!this.outage && !this.refused.has(node)) {
            if (since < this.revision - this.changesKept) return null;
            const events = this.eventsSince(since).filter((one) => one.key.startsWith(prefix));
            if (events.length > 0 || clock.now() >= until) {
              const answer = { revision: this.revision, events: structuredClone(events) };
              const lateMs = this.watchLateMs(node);
              if (lateMs > 0) await new Promise<void>((resolve) => clock.after(lateMs, resolve));
              return answer;
            }
          } else if (clock.now() > until + 2000) throw new OutcomeUnknownError('timed out');
          await new Promise<void>((resolve) => clock.after(20, resolve));
        }
      },
    };
  }
}
