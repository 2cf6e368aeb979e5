/** The interface of the key-value store: reads, compare-and-swap, leases and watches. */

import { MothbankError } from '../transport/errors.js';

/** A key with its value, at the revision of its last change. */
export interface Entry {
  key: string;
  value: unknown;
  revision: number;
}

/**
 * A condition of a compare-and-swap: the key still has this revision; 0: the key does not exist.
 */
export interface Guard {
  key: string;
  revision: number;
}

/**
 * One write of a compare-and-swap. A key written under a lease is removed when the lease expires.
 */
export type Change =
  { key: string; value: unknown; lease?: number } | { key: string; remove: true };

/** The result of a compare-and-swap. `failed`: the keys whose guards did not hold. */
export type CompareAndSwapResult = { ok: true; revision: number } | { ok: false; failed: string[] };

/** One page of a listing, as of `revision` of the store. `more`: further pages follow. */
export interface EntryPage {
  entries: Entry[];
  more: boolean;
  revision: number;
}

/** One change of a key in a watch; `value` is undefined if the key was removed. */
export interface ChangeEvent extends Entry {
  removed: boolean;
}

/** The changes after the requested revision, up to `revision`. */
export interface WatchResult {
  revision: number;
  events: ChangeEvent[];
}

/** Thrown when the key-value store refused a request, so that it was not executed. */
export class StoreRejectedError extends MothbankError {
  readonly code = 'STORE_REJECTED';
  readonly outcome = 'notExecuted';

  constructor(
    readonly status: number,
    readonly reason: string | null = null,
  ) {
    super(`key-value store answered ${status}${reason === null ? '' : ` (${reason})`}`);
    this.name = 'StoreRejectedError';
  }
}

/**
 * The reason in the store's 400 response to a transaction whose lease has expired. No other valid
 * transaction gets a 400.
 */
export const NO_SUCH_LEASE = 'no such lease';

/** The operations of the key-value store that the program uses; tests pass a stand-in. */
export interface KeyValueStore {
  /** Reads a key; null: it does not exist. */
  get(key: string): Promise<{ value: unknown; revision: number } | null>;
  /**
   * Reads a page of the keys with a prefix that come after the key `after`. If `after` is null,
   * reads the first page.
   */
  list(prefix: string, after: string | null): Promise<EntryPage>;
  /** Applies all changes in one transaction if all guards hold, otherwise none. */
  compareAndSwap(guards: Guard[], changes: Change[]): Promise<CompareAndSwapResult>;
  /** Creates a lease and returns its id. */
  grant(ttlMs: number): Promise<number>;
  /** Renews a lease; false: it has expired. */
  extend(lease: number): Promise<boolean>;
  /**
   * Returns the changes of keys with a prefix after the revision `since`; if there are none, waits
   * up to `waitMs` for one. Null: the store no longer has them, because they were compacted.
   */
  watch(prefix: string, since: number, waitMs: number): Promise<WatchResult | null>;
}
