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
  /** Not carried out, and no longer tried; `unsure`: it may still be carried out. */
  | { kind: 'givenUp'; unsure: boolean }
  /** A try had no answer, and by now is known neither to have been carried out nor ever to be. */
  | { kind: 'settled' }
  /** The state service takes no such transaction, too large for one; `unsure`: as above. */
  | { kind: 'invalid'; unsure: boolean };

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
const READ_CACHE = 64;

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
  private readonly read = new Map<string, { value: unknown; revision: number } | null>();

  constructor(options: CommitterOptions) {
    this.keyValueStore = options.keyValueStore;
    this.limiter = options.limiter;
    this.replica = options.replica;
    this.clock = options.clock;
    this.log = options.log;
    this.random = options.random;
  }

  /** `wanted` is asked before each try; when it says no, the transaction is given up. */
  commit(
    purpose: Purpose,
    guards: Guard[],
    changes: Change[],
    wanted: () => boolean,
  ): Promise<CommitResult> {
    return this.run({ purpose, guards, changes }, wanted);
  }

  /**
   * The same for what may be used up and removed before a late copy of the transaction comes: the
   * guards would then let the copy pass. `settle` makes a try without an answer powerless unless it
   * was carried out; false: it could not.
   */
  commitOnce(
    transaction: Transaction,
    wanted: () => boolean,
    settle: () => Promise<boolean>,
  ): Promise<CommitResult> {
    return this.run(transaction, wanted, settle);
  }

  private async run(
    transaction: Transaction,
    wanted: () => boolean,
    settle?: () => Promise<boolean>,
  ): Promise<CommitResult> {
    const { purpose, changes } = transaction;
    let unsure = false;
    const backoff = new Backoff(BACKOFF_FIRST_MS, BACKOFF_LAST_MS, this.random);
    for (;;) {
      await this.limiter.pass(purpose, changes.length);
      if (!wanted()) return { kind: 'givenUp', unsure };
      try {
        return await this.attempt(transaction, unsure);
      } catch (error) {
        if (error instanceof StoreRejectedError) {
          const result = this.resultOfRefusal(transaction, error, unsure);
          if (result) return result;
        } else {
          unsure = true;
        }
        this.log.debug({ error: String(error), purpose }, 'transaction failed, trying again');
        if (unsure && settle) return this.end(transaction, wanted, settle);
        await sleep(this.clock, backoff.next());
      }
    }
  }

  /** One try. `unsure`: an earlier one had no answer, so the changes may be there already. */
  private async attempt(transaction: Transaction, unsure: boolean): Promise<CommitResult> {
    const { purpose, guards, changes } = transaction;
    const result = await this.keyValueStore.compareAndSwap(guards, changes);
    if (result.ok) {
      this.adopt(changes, result.revision);
      return { kind: 'done' };
    }
    const keys = new Set(result.failed);
    if (unsure) for (const change of changes) keys.add(change.key);
    for (const key of keys) await this.reread(purpose, key);
    if (unsure && changes.length > 0 && changes.every((change) => this.reflects(change))) {
      return { kind: 'done' };
    }
    return { kind: 'conflict', failed: result.failed };
  }

  /** Null: refused only for now. */
  private resultOfRefusal(
    transaction: Transaction,
    refusal: StoreRejectedError,
    unsure: boolean,
  ): CommitResult | null {
    if (refusal.status === 400 && refusal.reason === NO_SUCH_LEASE) {
      return { kind: 'conflict', failed: [] };
    }
    if (refusal.status === 400) {
      this.logRejected(transaction, refusal.reason);
      return { kind: 'invalid', unsure };
    }
    if (refusal.status === 429) this.limiter.refused(transaction.changes.length);
    return null;
  }

  /** Brings a transaction whose try had no answer to its end without trying it again. */
  private async end(
    { purpose, changes }: Transaction,
    wanted: () => boolean,
    settle: () => Promise<boolean>,
  ): Promise<CommitResult> {
    if (!(await settle())) return { kind: 'givenUp', unsure: true };
    const backoff = new Backoff(BACKOFF_FIRST_MS, BACKOFF_LAST_MS, this.random);
    while (wanted()) {
      try {
        for (const change of changes) await this.reread(purpose, change.key);
        const done = changes.every((change) => this.reflects(change));
        return done ? { kind: 'done' } : { kind: 'settled' };
      } catch (error) {
        this.log.debug({ error: String(error), purpose }, 'not read, trying again');
        await sleep(this.clock, backoff.next());
      }
    }
    return { kind: 'givenUp', unsure: false };
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

  private adopt(changes: Change[], revision: number): void {
    this.replica.applyOwnChanges(
      changes.map((change) => ({
        key: change.key,
        value: 'remove' in change ? undefined : change.value,
        revision,
      })),
    );
  }

  private reflects(change: Change): boolean {
    const held = this.read.get(change.key);
    if ('remove' in change) return held === null;
    return held !== undefined && held !== null && isDeepStrictEqual(held.value, change.value);
  }

  private async reread(purpose: Purpose, key: string): Promise<void> {
    await this.limiter.pass(purpose, 0);
    const held = await this.keyValueStore.get(key);
    this.read.set(key, held);
    if (this.read.size > READ_CACHE) {
      const oldest = this.read.keys().next();
      if (!oldest.done) this.read.delete(oldest.value);
    }
    if (held) this.replica.applyOwnChanges([{ key, value: held.value, revision: held.revision }]);
  }
}
