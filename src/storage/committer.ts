/**
 * Commits transactions to the key-value store and finds out whether unanswered ones took effect.
 */

import { isDeepStrictEqual } from 'node:util';
import { BACKOFF_FIRST_MS, BACKOFF_MAX_MS } from '../constants/storage.js';
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
  /** The guards of the keys in `failed` did not hold; the replica was refreshed for these keys. */
  | { kind: 'conflict'; failed: string[] }
  /**
   * The transaction was abandoned because it was no longer wanted. `mayCommitLater`: an earlier
   * attempt got no response and may still commit.
   */
  | { kind: 'abandoned'; mayCommitLater: boolean }
  /** An attempt got no response, but was certainly not committed and never will be. */
  | { kind: 'neverCommitted' }
  /**
   * The store rejected the transaction as invalid, for example as too large. `mayCommitLater`: an
   * earlier attempt got no response and may still commit.
   */
  | { kind: 'rejected'; mayCommitLater: boolean };

/** A transaction and its purpose, which determines its precedence in the rate limiter. */
export interface Transaction {
  purpose: Purpose;
  guards: Guard[];
  changes: Change[];
}

/** Dependencies of a `Committer`. */
export interface CommitterOptions {
  keyValueStore: KeyValueStore;
  limiter: RateLimiter;
  replica: StoreReplica;
  clock: Clock;
  log: Log;
  random: () => number;
}

/** Maximum number of keys in `Committer.lastReads`. */
const MAX_STORED_READS = 64;

/** Returns the size in bytes of a value in the key-value store. */
export const bytesOf = (value: unknown): number => Buffer.byteLength(JSON.stringify(value) ?? '');

/**
 * Retries transactions until their outcome is known. A transaction without a response may be
 * applied later, so it is sent again with the same guards. One of the two copies then fails, and
 * the values of the changed keys show whether the other copy was applied.
 */
export class Committer {
  private readonly keyValueStore: KeyValueStore;
  private readonly limiter: RateLimiter;
  private readonly replica: StoreReplica;
  private readonly clock: Clock;
  private readonly log: Log;
  private readonly random: () => number;
  /** Values that were read after failed transactions, by key; null if the key did not exist. */
  private readonly lastReads = new Map<string, { value: unknown; revision: number } | null>();

  constructor(options: CommitterOptions) {
    this.keyValueStore = options.keyValueStore;
    this.limiter = options.limiter;
    this.replica = options.replica;
    this.clock = options.clock;
    this.log = options.log;
    this.random = options.random;
  }

  /**
   * Commits a transaction. `isStillWanted` is called before each attempt, and the transaction is
   * abandoned when it returns false.
   */
  commit(
    purpose: Purpose,
    guards: Guard[],
    changes: Change[],
    isStillWanted: () => boolean,
  ): Promise<CommitResult> {
    return this.execute({ purpose, guards, changes }, isStillWanted);
  }

  /**
   * Commits a transaction that must not be applied twice. If its keys are removed before a late
   * copy of it arrives, the guards of the copy hold and the copy would create them again. After an
   * attempt without a response, `invalidateLateCopy` therefore ensures that the attempt fails
   * unless it was applied already. `invalidateLateCopy` returns false if it could not ensure that.
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
    const backoff = new Backoff(BACKOFF_FIRST_MS, BACKOFF_MAX_MS, this.random);
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
        this.log.debug({ error: String(error), purpose }, 'transaction attempt failed');
        if (mayHaveCommitted && invalidateLateCopy)
          return this.resolveUnknownOutcome(transaction, isStillWanted, invalidateLateCopy);
        await sleep(this.clock, backoff.nextPauseMs());
      }
    }
  }

  /**
   * Makes one attempt. `mayHaveCommitted`: an earlier attempt got no response and may have
   * committed.
   */
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

  /** Returns the final result of a rejected attempt, or null if the attempt is to be retried. */
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

  /** Finds out, without sending it again, whether a transaction without a response was applied. */
  private async resolveUnknownOutcome(
    { purpose, changes }: Transaction,
    isStillWanted: () => boolean,
    invalidateLateCopy: () => Promise<boolean>,
  ): Promise<CommitResult> {
    if (!(await invalidateLateCopy())) return { kind: 'abandoned', mayCommitLater: true };
    const backoff = new Backoff(BACKOFF_FIRST_MS, BACKOFF_MAX_MS, this.random);
    while (isStillWanted()) {
      try {
        for (const change of changes) await this.reread(purpose, change.key);
        const done = changes.every((change) => this.matchesLastRead(change));
        return done ? { kind: 'done' } : { kind: 'neverCommitted' };
      } catch (error) {
        this.log.debug(
          { error: String(error), purpose },
          'outcome of an unanswered transaction could not be read, retrying',
        );
        await sleep(this.clock, backoff.nextPauseMs());
      }
    }
    return { kind: 'abandoned', mayCommitLater: false };
  }

  /**
   * Logs that the store rejected a transaction as invalid. This is an error for the operators,
   * because its cause is a bug or an unknown limit of the store.
   */
  private logRejected({ purpose, guards, changes }: Transaction, reason: string | null): void {
    const sizes = changes.map((change) => ('remove' in change ? 0 : bytesOf(change.value)));
    this.log.error(
      {
        purpose,
        reason,
        keys: changes.map((change) => change.key),
        guardCount: guards.length,
        largestValueBytes: Math.max(0, ...sizes),
        transactionBytes: bytesOf({ guards, changes }),
      },
      'transaction rejected by the key-value store as invalid',
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
    if (this.lastReads.size > MAX_STORED_READS) {
      const oldest = this.lastReads.keys().next();
      if (!oldest.done) this.lastReads.delete(oldest.value);
    }
    if (current)
      this.replica.applyOwnChanges([{ key, value: current.value, revision: current.revision }]);
  }
}
