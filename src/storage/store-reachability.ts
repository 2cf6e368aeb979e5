/** Whether this node reaches the state service. */

import { UNREACHABLE_AFTER_MS } from '../constants/storage.js';
import { StoreRejectedError, type KeyValueStore } from '../protocol/key-value-store.js';
import type { Clock } from '../transport/clock.js';

/** Notes, from the requests that are made anyway, whether this node reaches the state service. */
export class StoreReachability {
  private lastSuccessAt = -Infinity;
  private lastFailureAt = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** False once requests have only failed for a while; one node alone may be refused. */
  get isReachable(): boolean {
    return (
      this.lastSuccessAt >= this.lastFailureAt ||
      this.clock.now() - this.lastSuccessAt < UNREACHABLE_AFTER_MS
    );
  }

  /** The same service, with the outcome of every request noted. */
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
