/** Whether this node reaches the state service. */

import { REACH_DOUBT_MS } from '../constants/storage.js';
import { StoreRejectedError, type KeyValueStore } from '../protocol/key-value-store.js';
import type { Clock } from '../transport/clock.js';

/** Notes, from the requests that are made anyway, whether this node reaches the state service. */
export class StoreReachability {
  private okAt = -Infinity;
  private failedAt = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** False once requests have only failed for a while; one node alone may be refused. */
  get reachable(): boolean {
    return this.okAt >= this.failedAt || this.clock.now() - this.okAt < REACH_DOUBT_MS;
  }

  /** The same service, with the outcome of every request noted. */
  watch(keyValueStore: KeyValueStore): KeyValueStore {
    const note = async <T>(call: Promise<T>): Promise<T> => {
      try {
        const result = await call;
        this.okAt = this.clock.now();
        return result;
      } catch (error) {
        const limited = error instanceof StoreRejectedError && error.status !== 503;
        if (limited) this.okAt = this.clock.now();
        else this.failedAt = this.clock.now();
        throw error;
      }
    };
    return {
      get: (key) => note(keyValueStore.get(key)),
      list: (prefix, after) => note(keyValueStore.list(prefix, after)),
      compareAndSwap: (guards, changes) => note(keyValueStore.compareAndSwap(guards, changes)),
      grant: (ttlMs) => note(keyValueStore.grant(ttlMs)),
      extend: (lease) => note(keyValueStore.extend(lease)),
      watch: (prefix, since, waitMs) => note(keyValueStore.watch(prefix, since, waitMs)),
    };
  }
}
