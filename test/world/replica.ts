/** A replica of the simulated key-value store. */
import type { Log } from '../../src/storage/log.js';
import { RateLimiter } from '../../src/storage/rate-limiter.js';
import { StoreReplica } from '../../src/storage/store-replica.js';
import type { SimClock } from './clock.js';
import { silentLog } from './settings.js';
import type { SimKeyValueStore } from './key-value-store.js';

/** Name of the controller that has the replica. */
const NODE = 'p';

/**
 * Returns a replica that follows the key-value store, with its dependencies. `rps` limits requests
 * as well as writes per second. The replica is empty until simulated time has run for some ms.
 */
export function followingReplica(
  clock: SimClock,
  simStore: SimKeyValueStore,
  rps: number,
  log: Log = silentLog,
) {
  const keyValueStore = simStore.api(NODE);
  const limiter = new RateLimiter(clock, { rps, writeRps: rps, transactionOps: 8 });
  const store = { keyValueStore, limiter, clock, log, random: () => 0.5 };
  const replica = new StoreReplica(store);
  void replica.follow();
  return { ...store, replica };
}
