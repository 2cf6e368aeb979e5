/** A controller's interface to failure detection, whose code is loaded only where it is enabled. */

import type { DetectorCounts } from '@mothbank/failure-detector';
import type { PeerMessage } from '../../protocol/peer-messages.js';
import type { Log } from '../../storage/log.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Member } from '../election/rendezvous-hashing.js';
import type { RoleElection } from '../election/role-election.js';
import type { FailoverPolicy } from '../election/failover-policy.js';
import type { Environment } from '../../protocol/environment.js';

/** What failure detection is created from. */
export interface DetectionServiceOptions {
  readonly node: string;
  readonly incarnation: string;
  readonly members: readonly Member[];
  readonly environment: Environment;
  readonly replica: StoreReplica;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly log: Log;
  readonly roles: () => RoleElection;
  /** This process stepped down from a role: whatever acts on its behalf must stop now. */
  readonly onSteppedDown: () => void;
  /** Something changed that a failover may wait for. */
  readonly onChanged: () => void;
}

/** Failure detection of one controller. */
export interface DetectionService {
  readonly policy: FailoverPolicy;
  /** Counts since the start. */
  readonly counts: DetectorCounts;
  /** Probes that were sent and that failed. */
  readonly probeCounts: { readonly sent: number; readonly failed: number };
  /** 0: this controller trusts its own observations fully. */
  readonly localHealthScore: number;
  /** Bytes of detector messages that were sent. */
  readonly bytesSent: number;
  /** Starts probing. */
  start(): void;
  /** Stops all probing. */
  stop(): void;
  /** Handles a peer's message; `answer` sends a reply to that peer. */
  receive(message: PeerMessage, answer: (message: PeerMessage) => void): void;
  /** Whether the leader may assign new tasks to a shard. */
  acceptsNewWork(shard: string): boolean;
  /** Records probe round-trip times if the last record is old enough. */
  recordProbeTimesIfDue(): void;
  /** The history, one JSON object a line. */
  export(): string;
}

/** Creates failure detection for a controller; null where it is disabled. */
export type CreateDetection = ((options: DetectionServiceOptions) => DetectionService) | null;
