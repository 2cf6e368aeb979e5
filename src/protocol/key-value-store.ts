/** The interface of the key-value store: compare-and-swap, leases and a watch over a key space. */

import { MothbankError } from '../transport/errors.js';

/** A key with its value, at the revision of its last change. */
export interface Entry {
  key: string;
  value: unknown;
  revision: number;
}

/** A condition of a compare-and-swap: the key is still at this revision; 0: it does not exist. */
export interface Guard {
  key: string;
  revision: number;
}

/** One write of a compare-and-swap. A value under a lease is removed when the lease expires. */
export type Change =
  { key: string; value: unknown; lease?: number } | { key: string; remove: true };

/** `failed`: the keys whose guards did not hold. */
export type CompareAndSwapResult = { ok: true; revision: number } | { ok: false; failed: string[] };

/** One page of the keys with a prefix, as of `revision`. */
export interface EntryPage {
  entries: Entry[];
  more: boolean;
  revision: number;
}

/** One change of a key; `value` is undefined for a removal. */
export interface ChangeEvent extends Entry {
  removed: boolean;
}

/** The changes up to `revision`, since the revision that was asked for. */
export interface WatchResult {
  revision: number;
  events: ChangeEvent[];
}

/** The key-value store did not execute the request. */
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

/** The reason of the one 400 that a valid transaction may get: its lease has expired. */
export const NO_SUCH_LEASE = 'no such lease';

/** What the program needs of the key-value store; tests pass a stand-in. */
export interface KeyValueStore {
  /** Null: there is no such key. */
  get(key: string): Promise<{ value: unknown; revision: number } | null>;
  /** The keys with a prefix that come after the key `after`. */
  list(prefix: string, after: string | null): Promise<EntryPage>;
  compareAndSwap(guards: Guard[], changes: Change[]): Promise<CompareAndSwapResult>;
  /** Grants a lease; returns its id. */
  grant(ttlMs: number): Promise<number>;
  /** False: the lease has expired. */
  extend(lease: number): Promise<boolean>;
  /** Null: the changes asked for were compacted. */
  watch(prefix: string, since: number, waitMs: number): Promise<WatchResult | null>;
}
