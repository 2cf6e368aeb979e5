/**
 * Determines from the outcomes of this controller's requests whether it reaches the key-value
 * store.
 */

import { UNREACHABLE_AFTER_MS } from '../constants/storage.js';
import { StoreRejectedError, type KeyValueStore } from '../protocol/key-value-store.js';
import type { Clock } from '../transport/clock.js';

/**
 * Reachability of the key-value store. Any response except status 503 is a success, also a
 * rejection. Status 503, or no valid response, is a failure.
 */
export class StoreReachability {
  private lastSuccessAt = -Infinity;
  private lastFailureAt = -Infinity;

  constructor(private readonly clock: Clock) {}

  /**
   * False if the last request failed and the last success was `UNREACHABLE_AFTER_MS` ago or
   * earlier. Other controllers may still reach the store then.
   */
  get isReachable(): boolean {
    return (
      this.lastSuccessAt >= this.lastFailureAt ||
      this.clock.now() - this.lastSuccessAt < UNREACHABLE_AFTER_MS
    );
  }

  /** Returns a wrapper of the store that records the outcome of each request. */
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
