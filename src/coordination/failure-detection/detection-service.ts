/**
 * Interface of failure detection, whose implementation is loaded only if the settings enable it.
 */

import type { DetectorCounts } from '@mothbank/failure-detector';
import type { PeerMessage } from '../../protocol/peer-messages.js';
import type { Log } from '../../storage/log.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Member } from '../election/rendezvous-hashing.js';
import type { RoleElection } from '../election/role-election.js';
import type { FailoverPolicy } from '../election/failover-policy.js';
import type { Environment } from '../../protocol/environment.js';

/** Dependencies of failure detection. */
export interface DetectionServiceOptions {
  readonly node: string;
  readonly incarnation: string;
  readonly members: readonly Member[];
  readonly environment: Environment;
  readonly replica: StoreReplica;
  /** Random numbers, uniform in [0, 1). */
  readonly random: () => number;
  readonly log: Log;
  readonly roles: () => RoleElection;
  /** Called when this process has stepped down from a role, so that it stops acting in the role. */
  readonly onSteppedDown: () => void;
  /**
   * Called when the state of a member changed or a holder confirmed its step-down, since a failover
   * may be allowed now.
   */
  readonly onChanged: () => void;
}

/** Failure detection of one controller. */
export interface DetectionService {
  readonly policy: FailoverPolicy;
  /** Numbers of detector events since the start of this process. */
  readonly counts: DetectorCounts;
  /** Numbers of sent and of failed probes. */
  readonly probeCounts: { readonly sent: number; readonly failed: number };
  /** Local health score: 0 if this controller is healthy, higher the slower it seems to be. */
  readonly localHealthScore: number;
  /** Total size in bytes of the sent detector messages. */
  readonly bytesSent: number;
  /** Starts probing. */
  start(): void;
  /** Stops all probing. */
  stop(): void;
  /** Processes a peer's message; `sendReply` sends a message back to that peer. */
  receive(message: PeerMessage, sendReply: (message: PeerMessage) => void): void;
  /**
   * Returns whether the leader may assign new tasks to a shard; false while its holder is
   * suspected, for at most `holdNewWorkMs`.
   */
  acceptsNewWork(shard: string): boolean;
  /**
   * Records probe round-trip times if `PROBE_TIMES_PERIOD_MS` have passed since the last record.
   */
  recordProbeTimesIfDue(): void;
  /** Returns the stored records of detected failures and failover decisions as JSON lines. */
  export(): string;
}

/** Factory of a controller's failure detection; null if the settings do not enable it. */
export type CreateDetection = ((options: DetectionServiceOptions) => DetectionService) | null;
