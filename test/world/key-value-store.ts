/** The key-value store of the simulated cluster, with the faults that tests inject. */
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

/** A consistent key-value store in memory, with leases, watches, outages and late requests. */
export class SimKeyValueStore {
  readonly entries = new Map<string, StoredEntry>();
  readonly log: { key: string; value: unknown; revision: number; removed: boolean }[] = [];
  private readonly leases = new Map<number, { ttl: number; expiresAt: number }>();
  private leaseCount = 0;
  revision = 1;
  /** True during an outage: no request is served and no lease expires. */
  hasOutage = false;
  /** Controllers whose requests are refused with 503. */
  readonly refusedControllers = new Set<string>();
  /** Controllers whose requests time out after 2 s without being executed. */
  readonly unansweredControllers = new Set<string>();
  /** Limits of requests and writes per second, with bursts of one second's worth; null: none. */
  limits: { rps: number; writeRps: number } | null = null;
  private readonly tokenBucket = { at: 0, requests: 0, writes: 0 };
  rateLimitRejections = 0;
  /** Number of late transactions whose guards no longer held when they were executed. */
  lateConflicts = 0;
  /** Largest number of keys on one page of a listing. */
  pageKeys = 1000;
  /** Number of listings that were requested. */
  listings = 0;
  /** True for listings that are refused with 429; `listing`: the listing's number, from 1. */
  refusesListing: (listing: number) => boolean = () => false;
  /** Largest number of changes in one transaction; four times as many guards are allowed. */
  transactionOps = 8;
  /** Largest size of one value in bytes. */
  valueBytes = 8192;
  /** The keys of each transaction that was refused with 400 because of its size. */
  readonly rejectedTransactions: string[][] = [];
  /** Delay in ms of the next transaction of a controller; its outcome is reported as unknown. */
  readonly delayNextTransactionMs = new Map<string, number>();
  /** Returns the delay in ms of a transaction, which gets no answer; null: executed at once. */
  transactionDelayMs: (node: string, changes: Change[]) => number | null = () => null;
  /** Latency in ms of each request; a watch also waits for changes. */
  answerMs = 5;
  /** Returns the extra delay in ms of the answer to a transaction, after its execution. */
  transactionAnswerDelayMs: (node: string, changes: Change[]) => number = () => 0;
  /** Changes the answer to a transaction that was executed at once. */
  alterTransactionAnswer: (result: CompareAndSwapResult) => CompareAndSwapResult = (result) =>
    result;
  /** Number of the latest revisions whose changes a watch can still return. */
  retainedChanges = 10_000;
  /** Returns the extra delay in ms of the answer to a watch. */
  watchAnswerDelayMs: (node: string) => number = () => 0;
  /** Fraction of all transactions that are executed at once and whose answer is lost. */
  lostAnswerFraction = 0;
  /** Fraction of all transactions that are executed 2 to 12 s later, without an answer. */
  lateTransactionFraction = 0;
  private readonly random;

  constructor(
    private readonly clock: Clock,
    seed = 1,
  ) {
    this.random = xoroshiro128plus(seed);
    const tick = (): void => {
      this.expireLeases();
      clock.after(50, tick);
    };
    tick();
  }

  private expireLeases(): void {
    if (this.hasOutage) return;
    for (const [id, lease] of this.leases) {
      if (lease.expiresAt > this.clock.now()) continue;
      this.leases.delete(id);
      const keys = [...this.entries].filter(([, entry]) => entry.lease === id).map(([key]) => key);
      if (keys.length > 0) this.change(keys.map((key) => ({ key, remove: true })));
    }
  }

  endOutage(): void {
    this.hasOutage = false;
    for (const lease of this.leases.values()) lease.expiresAt = this.clock.now() + lease.ttl;
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
    // Checked before the guards' result is returned, so that an expired lease is always refused.
    for (const one of changes) {
      if ('lease' in one && one.lease !== undefined && !this.leases.has(one.lease)) {
        throw new StoreRejectedError(400);
      }
    }
    if (failed.length > 0) return { ok: false, failed };
    if (changes.length > 0) this.change(changes);
    return { ok: true, revision: this.revision };
  }

  /** Returns the changes after a revision: the end of the log, which is ordered by revision. */
  private eventsSince(since: number): SimKeyValueStore['log'] {
    let first = this.log.length;
    while (first > 0 && (this.log[first - 1]?.revision ?? 0) > since) first--;
    return this.log.slice(first);
  }

  /** Returns the delay in ms of a transaction; null: it is executed at once. */
  private pickTransactionDelayMs(node: string, changes: Change[]): number | null {
    if (changes.length === 0) return null;
    const delayMs = this.transactionDelayMs(node, changes);
    if (delayMs !== null) return delayMs;
    if (
      this.lateTransactionFraction === 0 ||
      uniformFloat64(this.random) >= this.lateTransactionFraction
    )
      return null;
    return uniformInt(this.random, 2000, 12_000);
  }

  /** Executes a transaction after a delay, without an answer; not before an outage has ended. */
  private applyLater(guards: Guard[], changes: Change[], delayMs: number): void {
    this.clock.after(delayMs, () => {
      if (this.hasOutage) this.applyLater(guards, changes, 50);
      else {
        try {
          if (!this.compareAndSwap(guards, changes).ok) this.lateConflicts++;
        } catch {
          // Refused because its lease has expired.
        }
      }
    });
  }

  private isWithinRateLimits(writes: number): boolean {
    if (!this.limits) return true;
    const { rps, writeRps } = this.limits;
    const { tokenBucket } = this;
    const elapsedS = (this.clock.now() - tokenBucket.at) / 1000;
    tokenBucket.at = this.clock.now();
    tokenBucket.requests = Math.min(rps, tokenBucket.requests + elapsedS * rps);
    tokenBucket.writes = Math.min(writeRps, tokenBucket.writes + elapsedS * writeRps);
    if (
      tokenBucket.requests < 1 ||
      (writes > 0 && tokenBucket.writes < Math.min(writes, writeRps))
    ) {
      this.rateLimitRejections++;
      return false;
    }
    tokenBucket.requests--;
    tokenBucket.writes -= writes;
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

  /** Returns the store's interface for one controller, with the faults that apply to it. */
  api(node: string): KeyValueStore {
    const { clock } = this;
    /** Waits for the latency; throws if the request is refused or times out. */
    const admitRequest = async (writes = 0): Promise<void> => {
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
        await admitRequest();
        const entry = this.entries.get(key);
        return entry ? { value: structuredClone(entry.value), revision: entry.revision } : null;
      },
      list: async (prefix, after) => {
        await admitRequest();
        if (this.refusesListing(++this.listings)) throw new StoreRejectedError(429);
        const entries: Entry[] = [...this.entries]
          .filter(([key]) => key.startsWith(prefix) && (after === null || key > after))
          .sort(([a], [b]) => (a < b ? -1 : 1))
          .map(([key, entry]) => ({
            key,
            value: structuredClone(entry.value),
            revision: entry.revision,
          }));
        const page = entries.slice(0, this.pageKeys);
        return { entries: page, more: page.length < entries.length, revision: this.revision };
      },
      compareAndSwap: async (guards, changes) => {
        await admitRequest(changes.length);
        const hasExpiredLease = changes.some(
          (one) => 'lease' in one && one.lease !== undefined && !this.leases.has(one.lease),
        );
        if (hasExpiredLease) throw new StoreRejectedError(400, NO_SUCH_LEASE);
        if (!this.isWithinSizeLimits(guards, changes)) {
          this.rejectedTransactions.push(changes.map((one) => one.key));
          throw new StoreRejectedError(400, 'transaction or value too large');
        }
        const nextDelayMs = this.delayNextTransactionMs.get(node);
        if (nextDelayMs !== undefined && changes.length > 0) {
          this.delayNextTransactionMs.delete(node);
          this.applyLater(guards, changes, nextDelayMs);
          throw new OutcomeUnknownError('transaction delayed');
        }
        const delayMs = this.pickTransactionDelayMs(node, changes);
        if (delayMs !== null) {
          this.applyLater(guards, changes, delayMs);
          await new Promise<void>((resolve) => clock.after(2000, resolve));
          throw new OutcomeUnknownError('transaction delayed');
        }
        const result = this.alterTransactionAnswer(this.compareAndSwap(guards, changes));
        if (this.lostAnswerFraction > 0 && uniformFloat64(this.random) < this.lostAnswerFraction) {
          await new Promise<void>((resolve) => clock.after(2000, resolve));
          throw new OutcomeUnknownError('answer lost');
        }
        const lateMs = this.transactionAnswerDelayMs(node, changes);
        if (lateMs > 0) await new Promise<void>((resolve) => clock.after(lateMs, resolve));
        return result;
      },
      grant: async (ttlMs) => {
        await admitRequest();
        const id = ++this.leaseCount;
        this.leases.set(id, { ttl: ttlMs, expiresAt: clock.now() + ttlMs });
        return id;
      },
      extend: async (lease) => {
        await admitRequest();
        const granted = this.leases.get(lease);
        if (granted) granted.expiresAt = clock.now() + granted.ttl;
        return granted !== undefined;
      },
      watch: async (prefix, since, waitMs): Promise<WatchResult | null> => {
        await admitRequest();
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
