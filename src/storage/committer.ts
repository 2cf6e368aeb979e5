/** Commits transactions to the state service and finds out what became of them. */

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

/** What became of a transaction. */
export type CommitResult =
  | { kind: 'done' }
  /** These keys are not as the guards said; the replica has been read anew for them. */
  | { kind: 'conflict'; failed: string[] }
  /** Not carried out, and no longer tried; `mayCommitLater`: it may still be carried out. */
  | { kind: 'abandoned'; mayCommitLater: boolean }
  /** A try had no answer, and by now is known neither to have been carried out nor ever to be. */
  | { kind: 'neverCommitted' }
  /** The state service takes no such transaction, too large for one; `mayCommitLater`: as above. */
  | { kind: 'rejected'; mayCommitLater: boolean };

/** One transaction, and the purpose that it is counted under. */
export interface Transaction {
  purpose: Purpose;
  guards: Guard[];
  changes: Change[];
}

/** What a committer works with. */
export interface CommitterOptions {
  keyValueStore: KeyValueStore;
  limiter: RateLimiter;
  replica: StoreReplica;
  clock: Clock;
  log: Log;
  random: () => number;
}

/** How many keys that were read anew are remembered. */
const MAX_REMEMBERED_READS = 64;

/** Bytes that a value takes in the state service. */
export const bytesOf = (value: unknown): number => Buffer.byteLength(JSON.stringify(value) ?? '');

/**
 * Carries transactions out to a known end. A transaction without an answer may be applied late, so
 * it is sent again with the same guards: one of the two then fails, and the keys tell whether the
 * other was carried out.
 */
export class Committer {
  private readonly keyValueStore: KeyValueStore;
  private readonly limiter: RateLimiter;
  private readonly replica: StoreReplica;
  private readonly clock: Clock;
  private readonly log: Log;
  private readonly random: () => number;
  /** Keys as they were last read anew; null: there was none. */
  private readonly lastReads = new Map<string, { value: unknown; revision: number } | null>();

  constructor(options: CommitterOptions) {
    this.keyValueStore = options.keyValueStore;
    this.limiter = options.limiter;
    this.replica = options.replica;
    this.clock = options.clock;
    this.log = options.log;
    this.random = options.random;
  }

  /** `isStillWanted` is asked before each try; when it says no, the transaction is given up. */
  commit(
    purpose: Purpose,
    guards: Guard[],
    changes: Change[],
    isStillWanted: () => boolean,
  ): Promise<CommitResult> {
    return this.execute({ purpose, guards, changes }, isStillWanted);
  }

  /**
   * The same for what may be used up and removed before a late copy of the transaction comes: the
   * guards would then let the copy pass. `invalidateLateCopy` makes a try without an answer powerless unless it
   * was carried out; false: it could not.
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
        this.log.debug({ error: String(error), purpose }, 'transaction failed, trying again');
        if (mayHaveCommitted && invalidateLateCopy)
          return this.resolveUnknownOutcome(transaction, isStillWanted, invalidateLateCopy);
        await sleep(this.clock, backoff.next());
      }
    }
  }

  /** One try. `mayHaveCommitted`: an earlier one had no answer, so the changes may be there already. */
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

  /** Null: refused only for now. */
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

  /** Brings a transaction whose try had no answer to its end without trying it again. */
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
        this.log.debug({ error: String(error), purpose }, 'not read, trying again');
        await sleep(this.clock, backoff.next());
      }
    }
    return { kind: 'abandoned', mayCommitLater: false };
  }

  /** A fault of this program or a limit that it does not know: the operators must hear of it. */
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
      'state service calls a transaction invalid',
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
