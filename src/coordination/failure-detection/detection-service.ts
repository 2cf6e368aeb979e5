/** What a node knows of its failure detection; its code is loaded only where it is enabled. */
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
  /** This node gave a role up: what acts in it is to end now. */
  readonly onSteppedDown: () => void;
  /** Something changed that a takeover may wait for. */
  readonly onChanged: () => void;
}

/** Failure detection of one node. */
export interface DetectionService {
  readonly policy: FailoverPolicy;
  readonly counts: DetectorCounts;
  readonly probeCounts: { readonly sent: number; readonly failed: number };
  readonly localHealthScore: number;
  readonly bytesSent: number;
  /** Begins to probe. */
  start(): void;
  /** Ends all probing. */
  stop(): void;
  /** Handles a peer's message. */
  receive(message: PeerMessage, answer: (message: PeerMessage) => void): void;
  /** Whether the leader may assign new tasks to a part. */
  acceptsNewWork(shard: string): boolean;
  /** Records the times of probes if the last ones are old enough. */
  recordProbeTimesIfDue(): void;
  /** The history, one JSON object a line. */
  export(): string;
}

/** Creates failure detection for a node; null where it is off. */
export type CreateDetection = ((options: DetectionServiceOptions) => DetectionService) | null;
