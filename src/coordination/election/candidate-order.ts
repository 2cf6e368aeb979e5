/** Decides whether this member claims a role now, by its rank among the candidates. */

import {
  LEADER_SETTLE_MS,
  MEMBER_LEASE_RENEW_MS,
  PREFERRED_HOLDER_SETTLE_MS,
} from '../../constants/election.js';
import type { RejectedChangeBackoff } from '../../storage/rejected-change-backoff.js';
import { nodeKey, roleKey } from '../../storage/keys.js';
import type { NodeRecord, RoleRecord } from '../../storage/records.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Clock } from '../../transport/clock.js';
import { orderForLeader, orderForShard, type Member } from './rendezvous-hashing.js';
import type { SteppedDownRoles } from './stepped-down-roles.js';
import type { FailoverPolicy } from './failover-policy.js';

/** Dependencies of a `CandidateOrder`. */
export interface CandidateOrderOptions {
  readonly self: Member;
  readonly incarnation: string;
  readonly members: readonly Member[];
  readonly replica: StoreReplica;
  readonly clock: Clock;
  readonly policy: FailoverPolicy;
  readonly steppedDown: SteppedDownRoles;
  /** Pauses of roles whose claims the key-value store rejected as invalid. */
  readonly rejectedChangeBackoff: RejectedChangeBackoff;
  /** Time of this process's start on the steady clock, in ms. */
  readonly startedAt: number;
}

/**
 * Ranks the members that may claim a role. The first candidate claims a free role at once. Each
 * further one waits one lease renewal interval longer than the candidate before it.
 */
export class CandidateOrder {
  /** Steady time in ms at which this process first saw that a role is free, by role. */
  private readonly freeSince = new Map<string, number>();

  constructor(private readonly options: CandidateOrderOptions) {}

  /**
   * Returns whether the process that holds a role is registered as a member; false if the role was
   * never held (null).
   */
  isHolderRegistered(holder: RoleRecord | null): boolean {
    if (holder === null) return false;
    const registered = this.options.replica.get<NodeRecord>(nodeKey(holder.owner));
    return registered?.value.incarnation === holder.incarnation;
  }

  /**
   * Returns whether to claim a role now. No registered process may hold the role, unless this
   * member is its preferred holder and may reclaim it. The candidates that rank before this member
   * must have had time to claim it, and the failover policy must allow it. A role that this process
   * holds itself is claimed again only after a step-down, if no other controller has claimed it.
   * Records since when the role has been free.
   */
  shouldClaim(role: string, preferredHolder: Member | null): boolean {
    const { incarnation, rejectedChangeBackoff, replica, self, steppedDown } = this.options;
    const holder = replica.get<RoleRecord>(roleKey(role))?.value ?? null;
    if (holder?.owner === self.node && holder.incarnation === incarnation) {
      this.freeSince.delete(role);
      return steppedDown.isUnclaimed(role, holder.term);
    }
    if (rejectedChangeBackoff.isPaused(role)) return false;
    const isPreferredHolder = preferredHolder?.node === self.node;
    if (
      this.isHolderRegistered(holder) &&
      !(isPreferredHolder && this.mayReclaimAsPreferredHolder())
    ) {
      this.freeSince.delete(role);
      return false;
    }
    if (!this.hasWaitedForRank(role, preferredHolder)) return false;
    return holder === null || this.isHolderRegistered(holder) || this.mayFailOverFrom(role, holder);
  }

  /**
   * Returns whether a role may be claimed from a holder whose lease has expired: the process that
   * holds the role is known to have ended, or the failover policy allows it.
   */
  mayFailOverFrom(role: string, holder: RoleRecord): boolean {
    const { policy, replica, self } = this.options;
    const { incarnation, owner: node, term } = holder;
    const expiredSince = this.trackFreeSince(role);
    // The process that holds the role has ended if it was an earlier process of this member, or if
    // its member has since registered with a new process.
    const hasEnded = node === self.node || replica.get(nodeKey(node)) !== null;
    return hasEnded || policy.mayFailOver({ role, node, incarnation, term, expiredSince });
  }

  /**
   * Returns whether this member may reclaim the shard whose preferred holder it is: it started more
   * than `PREFERRED_HOLDER_SETTLE_MS` ago, and the policy does not damp it for losing its
   * registration too often.
   */
  private mayReclaimAsPreferredHolder(): boolean {
    const { clock, policy, startedAt } = this.options;
    return clock.now() - startedAt > PREFERRED_HOLDER_SETTLE_MS && !policy.isDamped();
  }

  /**
   * Returns the steady time in ms at which this process first saw that a role is free. The first
   * call records this time.
   */
  private trackFreeSince(role: string): number {
    const freeSince = this.freeSince.get(role) ?? this.options.clock.now();
    this.freeSince.set(role, freeSince);
    return freeSince;
  }

  /** Returns whether all candidates that rank before this member have had time to claim a role. */
  private hasWaitedForRank(role: string, preferredHolder: Member | null): boolean {
    const { clock, self } = this.options;
    // `freeSince` must be read before the clock. In the other order `freeForMs` would be negative
    // on the first call, and the first candidate would have to wait.
    const freeSince = this.trackFreeSince(role);
    const freeForMs = clock.now() - freeSince;
    const isPreferredHolder = preferredHolder?.node === self.node;
    const rank = isPreferredHolder ? 0 : this.rankOfSelf(role, preferredHolder);
    return freeForMs >= rank * MEMBER_LEASE_RENEW_MS;
  }

  /** Returns this member's rank among the candidates for a role, counted from 0. */
  private rankOfSelf(role: string, preferredHolder: Member | null): number {
    const { clock, members, self, startedAt } = this.options;
    const isStarting = clock.now() - startedAt < LEADER_SETTLE_MS;
    // If all members start together, the first one to run leaves the leader role to members that
    // rank higher, although they are not registered yet.
    const candidates = preferredHolder === null && isStarting ? members : this.registeredMembers();
    const candidateOrder = preferredHolder
      ? orderForShard(role, preferredHolder, candidates)
      : orderForLeader(role, candidates, members);
    const rank = candidateOrder.indexOf(self.node);
    return rank < 0 ? candidateOrder.length : rank;
  }

  /** Returns the members that are registered now. */
  private registeredMembers(): Member[] {
    const { members, replica } = this.options;
    return members.filter((member) => replica.get(nodeKey(member.node)) !== null);
  }
}
