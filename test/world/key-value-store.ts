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

interface StoredEntry {
  value: unknown;
  revision: number;
  lease: number | null;
}

/** A simulated key-value store: consistent, with leases, watches, outages and late requests. */
export class SimKeyValueStore {
  readonly entries = new Map<string, StoredEntry>();
  readonly log: { key: string; value: unknown; revision: number; removed: boolean }[] = [];
  private readonly leases = new Map<number, { ttl: number; ends: number }>();
  private leaseCount = 0;
  revision = 1;
  /** Nobody is served. */
  hasOutage = false;
  /** These controllers get 503. */
  readonly refusedControllers = new Set<string>();
  /** These controllers get no answer. */
  readonly unansweredControllers = new Set<string>();
  /** Requests and writes a second that are served, with bursts of one second's worth. */
  limits: { rps: number; writeRps: number } | null = null;
  private readonly tokenBucket = { at: 0, requests: 0, writes: 0 };
  rateLimitRejections = 0;
  /** Late transactions whose conditions did not hold any more. */
  lateConflicts = 0;
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
  readonly rejectedTransactions: string[][] = [];
  /** The next transactions of these controllers are carried out this much later, unanswered. */
  readonly delayNextTransactionMs = new Map<string, number>();
  /** ms after which a transaction is carried out, unanswered; null: at once. */
  transactionDelayMs: (node: string, changes: Change[]) => number | null = () => null;
  /** ms that an answer takes, watches aside. */
  answerMs = 5;
  /** ms that the answer to a transaction takes longer, after it was carried out. */
  transactionAnswerDelayMs: (node: string, changes: Change[]) => number = () => 0;
  /** The answer to a transaction that was evaluated in time. */
  alterTransactionAnswer: (result: CompareAndSwapResult) => CompareAndSwapResult = (result) =>
    result;
  /** Changes that watches may still ask for. */
  retainedChanges = 10_000;
  /** ms that the answer to a watch is on its way. */
  watchAnswerDelayMs: (node: string) => number = () => 0;
  /** This share of all transactions is carried out at once, and the answer is lost. */
  lostAnswerFraction = 0;
  /** This share of all transactions is carried out 2 to 12 s later, unanswered. */
  lateTransactionFraction = 0;
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
    if (this.hasOutage) return;
    for (const [id, lease] of this.leases) {
      if (lease.ends > this.clock.now()) continue;
      this.leases.delete(id);
      const keys = [...this.entries].filter(([, cell]) => cell.lease === id).map(([key]) => key);
      if (keys.length > 0) this.change(keys.map((key) => ({ key, remove: true })));
    }
  }

  endOutage(): void {
    this.hasOutage = false;
    for (const lease of this.leases.values()) lease.ends = this.clock.now() + lease.ttl;
  }

  change(changes: Change[]): void {
    this.revision++;
    for (const one of changes) {
      const removed = 'remove' in one;
      const value: unknown = removed ? undefined : structuredClone(one.value);
      if (removed) this.entries.delete(one.key);
      else this.entries.set(one.key, { value, revision: this.revision, lease: one.lease ?? null });
      this.log.push({ key: one.key, value, revision: this.revision, removed });
    }
  }

  compareAndSwap(guards: Guard[], changes: Change[]): CompareAndSwapResult {
    const failed = guards
      .filter((guard) => (this.entries.get(guard.key)?.revision ?? 0) !== guard.revision)
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
  private pickTransactionDelayMs(node: string, changes: Change[]): number | null {
    if (changes.length === 0) return null;
    const held = this.transactionDelayMs(node, changes);
    if (held !== null) return held;
    if (
      this.lateTransactionFraction === 0 ||
      uniformFloat64(this.random) >= this.lateTransactionFraction
    )
      return null;
    return uniformInt(this.random, 2000, 12_000);
  }

  /** Carried out late, and nobody hears of it; an outage puts it off. */
  private applyLater(guards: Guard[], changes: Change[], delayMs: number): void {
    this.clock.after(delayMs, () => {
      if (this.hasOutage) this.applyLater(guards, changes, 50);
      else {
        try {
          if (!this.compareAndSwap(guards, changes).ok) this.lateConflicts++;
        } catch {
          // Refused: its lease has ended meanwhile.
        }
      }
    });
  }

  private isWithinRateLimits(writes: number): boolean {
    if (!this.limits) return true;
    const { rps, writeRps } = this.limits;
    const { tokenBucket: levels } = this;
    const passed = (this.clock.now() - levels.at) / 1000;
    levels.at = this.clock.now();
    levels.requests = Math.min(rps, levels.requests + passed * rps);
    levels.writes = Math.min(writeRps, levels.writes + passed * writeRps);
    if (levels.requests < 1 || (writes > 0 && levels.writes < Math.min(writes, writeRps))) {
      this.rateLimitRejections++;
      return false;
    }
    levels.requests--;
    levels.writes -= writes;
    return true;
  }

  private isWithinSizeLimits(guards: Guard[], changes: Change[]): boolean {
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
      if (this.unansweredControllers.has(node)) {
        await new Promise<void>((resolve) => clock.after(2000, resolve));
        throw new OutcomeUnknownError('timed out');
      }
      if (this.hasOutage || this.refusedControllers.has(node)) throw new StoreRejectedError(503);
      if (!this.isWithinRateLimits(writes)) throw new StoreRejectedError(429);
    };
    return {
      get: async (key) => {
        await served();
        const cell = this.entries.get(key);
        return cell ? { value: structuredClone(cell.value), revision: cell.revision } : null;
      },
      list: async (prefix, after) => {
        await served();
        if (this.refusesListing(++this.listings)) throw new StoreRejectedError(429);
        const entries: Entry[] = [...this.entries]
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
        if (!this.isWithinSizeLimits(guards, changes)) {
          this.rejectedTransactions.push(changes.map((one) => one.key));
          throw new StoreRejectedError(400, 'too large');
        }
        const delay = this.delayNextTransactionMs.get(node);
        if (delay !== undefined && changes.length > 0) {
          this.delayNextTransactionMs.delete(node);
          this.applyLater(guards, changes, delay);
          throw new OutcomeUnknownError('held');
        }
        const heldMs = this.pickTransactionDelayMs(node, changes);
        if (heldMs !== null) {
          this.applyLater(guards, changes, heldMs);
          await new Promise<void>((resolve) => clock.after(2000, resolve));
          throw new OutcomeUnknownError('held');
        }
        const result = this.alterTransactionAnswer(this.compareAndSwap(guards, changes));
        if (this.lostAnswerFraction > 0 && uniformFloat64(this.random) < this.lostAnswerFraction) {
          await new Promise<void>((resolve) => clock.after(2000, resolve));
          throw new OutcomeUnknownError('lost');
        }
        const lateMs = this.transactionAnswerDelayMs(node, changes);
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
          if (!this.hasOutage && !this.refusedControllers.has(node)) {
            if (since < this.revision - this.retainedChanges) return null;
            const events = this.eventsSince(since).filter((one) => one.key.startsWith(prefix));
            if (events.length > 0 || clock.now() >= until) {
              const answer = { revision: this.revision, events: structuredClone(events) };
              const lateMs = this.watchAnswerDelayMs(node);
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
