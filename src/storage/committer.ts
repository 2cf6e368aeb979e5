/** Commits transactions to the key-value store and resolves unknown outcomes. */

import { isDeepStrictEqual } from 'node:util';
import { BACKOFF_FIRST_MS, BACKOFF_LAST_MS } from '../constants/storage.js';
import {
  NO_SUCH_LEASE,
  StoreRejectedError,
  type Change,
  type Guard,
  type KeyValueStore,
} from '../protocol/key-value-store.js';
import { Backoff } from '../transport/backoff.js';
import { sleep, type Clock } from '../transport/clock.js';
import type { RateLimiter, Purpose } from './rate-limiter.js';
import type { Log } from './log.js';
import type { StoreReplica } from './store-replica.js';

/** The outcome of a transaction. */
export type CommitResult =
  | { kind: 'done' }
  /** The guards of these keys failed; the replica has been refreshed for them. */
  | { kind: 'conflict'; failed: string[] }
  /** Not committed, and no longer wanted; `mayCommitLater`: a late copy may still commit. */
  | { kind: 'abandoned'; mayCommitLater: boolean }
  /** An attempt got no response; by now it is known not to have committed, and never to commit. */
  | { kind: 'neverCommitted' }
  /** Invalid for the store, too large for one; `mayCommitLater`: an earlier attempt may commit. */
  | { kind: 'rejected'; mayCommitLater: boolean };

/** One transaction, and the purpose under which it is rate limited. */
export interface Transaction {
  purpose: Purpose;
  guards: Guard[];
  changes: Change[];
}

/** What a committer depends on. */
export interface CommitterOptions {
  keyValueStore: KeyValueStore;
  limiter: RateLimiter;
  replica: StoreReplica;
  clock: Clock;
  log: Log;
  random: () => number;
}

/** Keys whose last read is remembered. */
const MAX_REMEMBERED_READS = 64;

/** Bytes that a value takes in the key-value store. */
export const bytesOf = (value: unknown): number => Buffer.byteLength(JSON.stringify(value) ?? '');

/**
 * Commits transactions to a known outcome. A transaction without a response may be applied late, so
 * it is sent again with the same guards: one of the two copies then fails, and the keys show whether
 * the other was applied.
 */
export class Committer {
  private readonly keyValueStore: KeyValueStore;
  private readonly limiter: RateLimiter;
  private readonly replica: StoreReplica;
  private readonly clock: Clock;
  private readonly log: Log;
  private readonly random: () => number;
  /** Values as they were last read after a failure; null: there was no such key. */
  private readonly lastReads = new Map<string, { value: unknown; revision: number } | null>();

  constructor(options: CommitterOptions) {
    this.keyValueStore = options.keyValueStore;
    this.limiter = options.limiter;
    this.replica = options.replica;
    this.clock = options.clock;
    this.log = options.log;
    this.random = options.random;
  }

  /** `isStillWanted` is asked before each attempt; once false, the transaction is abandoned. */
  commit(
    purpose: Purpose,
    guards: Guard[],
    changes: Change[],
    isStillWanted: () => boolean,
  ): Promise<CommitResult> {
    return this.execute({ purpose, guards, changes }, isStillWanted);
  }

  /**
   * The same for a transaction whose keys may be used up and removed before a late copy of it comes:
   * the guards would then let the copy pass. `invalidateLateCopy` makes an attempt without a response
   * fail for good unless it was applied; false: it could not.
   */
  commitOnce(
    transaction: Transaction,
    isStillWanted: () => boolean,
    invalidateLateCopy: () => Promise<boolean>,
  ): Promise<CommitResult> {
    return this.execute(transaction, isStillWanted, invalidateLateCopy);
  }

  private async execute(
    transaction: Transaction,
    isStillWanted: () => boolean,
    invalidateLateCopy?: () => Promise<boolean>,
  ): Promise<CommitResult> {
    const { purpose, changes } = transaction;
    let mayHaveCommitted = false;
    const backoff = new Backoff(BACKOFF_FIRST_MS, BACKOFF_LAST_MS, this.random);
    for (;;) {
      await this.limiter.acquire(purpose, changes.length);
      if (!isStillWanted()) return { kind: 'abandoned', mayCommitLater: mayHaveCommitted };
      try {
        return await this.tryOnce(transaction, mayHaveCommitted);
      } catch (error) {
        if (error instanceof StoreRejectedError) {
          const result = this.resultOfRejection(transaction, error, mayHaveCommitted);
          if (result) return result;
        } else {
          mayHaveCommitted = true;
        }
        this.log.debug({ error: String(error), purpose }, 'transaction failed, retrying');
        if (mayHaveCommitted && invalidateLateCopy)
          return this.resolveUnknownOutcome(transaction, isStillWanted, invalidateLateCopy);
        await sleep(this.clock, backoff.next());
      }
    }
  }

  /** One attempt. `mayHaveCommitted`: an earlier one got no response, so it may have been applied. */
  private async tryOnce(
    transaction: Transaction,
    mayHaveCommitted: boolean,
  ): Promise<CommitResult> {
    const { purpose, guards, changes } = transaction;
    const result = await this.keyValueStore.compareAndSwap(guards, changes);
    if (result.ok) {
      this.applyToReplica(changes, result.revision);
      return { kind: 'done' };
    }
    const keys = new Set(result.failed);
    if (mayHaveCommitted) for (const change of changes) keys.add(change.key);
    for (const key of keys) await this.reread(purpose, key);
    if (
      mayHaveCommitted &&
      changes.length > 0 &&
      changes.every((change) => this.matchesLastRead(change))
    ) {
      return { kind: 'done' };
    }
    return { kind: 'conflict', failed: result.failed };
  }

  /** Null: rejected only for now, to be retried. */
  private resultOfRejection(
    transaction: Transaction,
    rejection: StoreRejectedError,
    mayHaveCommitted: boolean,
  ): CommitResult | null {
    if (rejection.status === 400 && rejection.reason === NO_SUCH_LEASE) {
      return { kind: 'conflict', failed: [] };
    }
    if (rejection.status === 400) {
      this.logRejected(transaction, rejection.reason);
      return { kind: 'rejected', mayCommitLater: mayHaveCommitted };
    }
    if (rejection.status === 429) this.limiter.reportRefusal(transaction.changes.length);
    return null;
  }

  /** Resolves a transaction that got no response without sending it again. */
  private async resolveUnknownOutcome(
    { purpose, changes }: Transaction,
    isStillWanted: () => boolean,
    invalidateLateCopy: () => Promise<boolean>,
  ): Promise<CommitResult> {
    if (!(await invalidateLateCopy())) return { kind: 'abandoned', mayCommitLater: true };
    const backoff = new Backoff(BACKOFF_FIRST_MS, BACKOFF_LAST_MS, this.random);
    while (isStillWanted()) {
      try {
        for (const change of changes) await this.reread(purpose, change.key);
        const done = changes.every((change) => this.matchesLastRead(change));
        return done ? { kind: 'done' } : { kind: 'neverCommitted' };
      } catch (error) {
        this.log.debug(
          { error: String(error), purpose },
          'read after unknown outcome failed, retrying',
        );
        await sleep(this.clock, backoff.next());
      }
    }
    return { kind: 'abandoned', mayCommitLater: false };
  }

  /** A bug, or a limit that this program does not know: operators must be told. */
  private logRejected({ purpose, guards, changes }: Transaction, reason: string | null): void {
    const sizes = changes.map((change) => ('remove' in change ? 0 : bytesOf(change.value)));
    this.log.error(
      {
        purpose,
        reason,
        keys: changes.map((change) => change.key),
        guards: guards.length,
        largestValueBytes: Math.max(0, ...sizes),
        transactionBytes: bytesOf({ guards, changes }),
      },
      'key-value store rejected a transaction as invalid',
    );
  }

  private applyToReplica(changes: Change[], revision: number): void {
    this.replica.applyOwnChanges(
      changes.map((change) => ({
        key: change.key,
        value: 'remove' in change ? undefined : change.value,
        revision,
      })),
    );
  }

  private matchesLastRead(change: Change): boolean {
    const current = this.lastReads.get(change.key);
    if ('remove' in change) return current === null;
    return (
      current !== undefined && current !== null && isDeepStrictEqual(current.value, change.value)
    );
  }

  private async reread(purpose: Purpose, key: string): Promise<void> {
    await this.limiter.acquire(purpose, 0);
    const current = await this.keyValueStore.get(key);
    this.lastReads.set(key, current);
    if (this.lastReads.size > MAX_REMEMBERED_READS) {
      const oldest = this.lastReads.keys().next();
      if (!oldest.done) this.lastReads.delete(oldest.value);
    }
    if (current)
      this.replica.applyOwnChanges([{ key, value: current.value, revision: current.revision }]);
  }
}
