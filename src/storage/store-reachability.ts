/** Whether this controller reaches the key-value store. */

import { UNREACHABLE_AFTER_MS } from '../constants/storage.js';
import { StoreRejectedError, type KeyValueStore } from '../protocol/key-value-store.js';
import type { Clock } from '../transport/clock.js';

/** Observes, by the requests that are made anyway, whether this controller reaches the store. */
export class StoreReachability {
  private lastSuccessAt = -Infinity;
  private lastFailureAt = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** False once requests have only failed for a while; the store may refuse one controller alone. */
  get isReachable(): boolean {
    return (
      this.lastSuccessAt >= this.lastFailureAt ||
      this.clock.now() - this.lastSuccessAt < UNREACHABLE_AFTER_MS
    );
  }

  /** The same store, with the outcome of each request recorded. */
  observe(keyValueStore: KeyValueStore): KeyValueStore {
    const recordOutcome = async <T>(call: Promise<T>): Promise<T> => {
      try {
        const result = await call;
        this.lastSuccessAt = this.clock.now();
        return result;
      } catch (error) {
        const isAnswer = error instanceof StoreRejectedError && error.status !== 503;
        if (isAnswer) this.lastSuccessAt = this.clock.now();
        else this.lastFailureAt = this.clock.now();
        throw error;
      }
    };
    return {
      get: (key) => recordOutcome(keyValueStore.get(key)),
      list: (prefix, after) => recordOutcome(keyValueStore.list(prefix, after)),
      compareAndSwap: (guards, changes) =>
        recordOutcome(keyValueStore.compareAndSwap(guards, changes)),
      grant: (ttlMs) => recordOutcome(keyValueStore.grant(ttlMs)),
      extend: (lease) => recordOutcome(keyValueStore.extend(lease)),
      watch: (prefix, since, waitMs) => recordOutcome(keyValueStore.watch(prefix, since, waitMs)),
    };
  }
}
