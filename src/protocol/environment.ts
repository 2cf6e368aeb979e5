/** The interface of a controller to everything outside its own process. */

import type { CloudApi } from './cloud-api.js';
import type { PeerMessage } from './peer-messages.js';
import type { KeyValueStore } from './key-value-store.js';
import type { WorkerApi } from './worker-api.js';
import type { Clock } from '../transport/clock.js';

/** The clock, the services and the peer connections of a controller; tests pass simulated ones. */
export interface Environment {
  readonly clock: Clock;
  readonly keyValueStore: KeyValueStore;
  readonly cloud: CloudApi;
  readonly workers: WorkerApi;
  /**
   * Sends a message to a peer; false: it was not sent, for example because there is no connection.
   */
  sendToPeer(node: string, message: PeerMessage): boolean;
  /** Names of the peers to which a connection is open. */
  connectedPeers(): string[];
}
