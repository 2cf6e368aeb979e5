/** What the parts of leader election and shard ownership share. */

import type { Change, Guard, KeyValueStore } from '../../protocol/key-value-store.js';
import type { Committer } from '../../storage/committer.js';
import type { Log } from '../../storage/log.js';
import type { RateLimiter } from '../../storage/rate-limiter.js';
import type { RejectedChangeBackoff } from '../../storage/rejected-change-backoff.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Clock } from '../../transport/clock.js';
import type { CandidateOrder } from './candidate-order.js';
import type { FailoverPolicy } from './failover-policy.js';
import type { LeaseTiming } from './lease-timing.js';
import type { Member } from './rendezvous-hashing.js';
import type { SteppedDownRoles } from './stepped-down-roles.js';

/** What a role election is created from. */
export interface RoleElectionOptions {
  readonly self: Member;
  /** Tells this process from earlier ones of the same member. */
  readonly incarnation: string;
  readonly members: readonly Member[];
  readonly timing: LeaseTiming;
  readonly keyValueStore: KeyValueStore;
  readonly limiter: RateLimiter;
  readonly replica: StoreReplica;
  readonly committer: Committer;
  readonly clock: Clock;
  readonly log: Log;
  /** Changes that one transaction may hold. */
  readonly transactionOps: number;
  readonly policy: FailoverPolicy;
}

/** A role that members compete for. */
export interface ElectableRole {
  readonly role: string;
  /** The member that holds the role whenever it can; null: all members are candidates alike. */
  readonly preferredOwner: Member | null;
}

/** The options, and the state that registration, claims and held roles have in common. */
export interface ElectionContext extends RoleElectionOptions {
  readonly electableRoles: readonly ElectableRole[];
  readonly candidateOrder: CandidateOrder;
  readonly steppedDown: SteppedDownRoles;
  /** Roles, and the registration, whose transactions the key-value store called invalid. */
  readonly rejectedChangeBackoff: RejectedChangeBackoff;
  /** Steady time of this process's start. */
  readonly startedAt: number;
}

/** The guards and changes of one compare-and-swap. */
export interface GuardedChanges {
  readonly guards: Guard[];
  readonly changes: Change[];
}
