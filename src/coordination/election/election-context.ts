/** Options and state that the modules of the role election share. */

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

/** Dependencies and settings of a `RoleElection`. */
export interface RoleElectionOptions {
  readonly self: Member;
  /** Identifies this process; an earlier process of the same member had another incarnation. */
  readonly incarnation: string;
  readonly members: readonly Member[];
  readonly timing: LeaseTiming;
  readonly keyValueStore: KeyValueStore;
  readonly limiter: RateLimiter;
  readonly replica: StoreReplica;
  readonly committer: Committer;
  readonly clock: Clock;
  readonly log: Log;
  /** Maximum number of changes in one transaction. */
  readonly transactionOps: number;
  readonly policy: FailoverPolicy;
}

/** A role for which the members are candidates. */
export interface ElectableRole {
  readonly role: string;
  /**
   * The member that holds the role whenever it is able to; null: there is none, as for the role of
   * the leader.
   */
  readonly preferredHolder: Member | null;
}

/** The options of the election, and the state that registration, claims and held roles share. */
export interface ElectionContext extends RoleElectionOptions {
  readonly electableRoles: readonly ElectableRole[];
  readonly candidateOrder: CandidateOrder;
  readonly steppedDown: SteppedDownRoles;
  /** Pauses of roles, and of the registration, whose transactions were rejected as invalid. */
  readonly rejectedChangeBackoff: RejectedChangeBackoff;
  /** Time of this process's start on the steady clock, in ms. */
  readonly startedAt: number;
}

/** The guards and changes of one compare-and-swap transaction. */
export interface GuardedChanges {
  readonly guards: Guard[];
  readonly changes: Change[];
}
