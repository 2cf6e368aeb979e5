/** A replica of what the simulated key-value store holds. */
import type { Log } from '../../src/storage/log.js';
import { RateLimiter } from '../../src/storage/rate-limiter.js';
import { StoreReplica } from '../../src/storage/store-replica.js';
import type { SimClock } from './clock.js';
import { silentLog } from './settings.js';
import type { SimKeyValueStore } from './key-value-store.js';

/** Controller that the replica is of. */
const NODE = 'p';

/**
 * A replica that follows the key-value store, with all it is made of; `rps`: requests and writes a
 * second. It holds what is stored once simulated time has run on a little.
 */
export function followingReplica(
  clock: SimClock,
  state: SimKeyValueStore,
  rps: number,
  log: Log = silentLog,
) {
  const keyValueStore = state.api(NODE);
  const limiter = new RateLimiter(clock, { rps, writeRps: rps, transactionOps: 8 });
  const store = { keyValueStore, limiter, clock, log, random: () => 0.5 };
  const replica = new StoreReplica(store);
  void replica.follow();
  return { ...store, replica };
}
