/** Which candidate claims a free role, and when. */

import {
  LEADER_SETTLE_MS,
  MEMBER_LEASE_RENEW_MS,
  PREFERRED_OWNER_SETTLE_MS,
} from '../../constants/election.js';
import type { RejectedChangeBackoff } from '../../storage/rejected-change-backoff.js';
import { nodeKey, roleKey } from '../../storage/keys.js';
import type { NodeRecord, RoleRecord } from '../../storage/records.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Clock } from '../../transport/clock.js';
import { orderForLeader, orderForShard, type Member } from './rendezvous-hashing.js';
import type { SteppedDownRoles } from './stepped-down-roles.js';
import type { FailoverPolicy } from './failover-policy.js';

/** What the order of candidates rests on. */
export interface CandidateOrderOptions {
  readonly self: Member;
  readonly incarnation: string;
  readonly members: readonly Member[];
  readonly replica: StoreReplica;
  readonly clock: Clock;
  readonly policy: FailoverPolicy;
  readonly steppedDown: SteppedDownRoles;
  /** Roles whose claims the key-value store called invalid. */
  readonly rejectedChangeBackoff: RejectedChangeBackoff;
  /** Steady time of this process's start. */
  readonly startedAt: number;
}

/**
 * Ranks the members that may claim a role: the first claims it at once, each further one only after
 * those before it had a lease renewal interval of time to do so.
 */
export class CandidateOrder {
  /** Steady time by role since which this process has seen that it is free. */
  private readonly freeSince = new Map<string, number>();

  constructor(private readonly options: CandidateOrderOptions) {}

  /** Whether the process that holds a role is registered. */
  isHolderRegistered(holder: RoleRecord | null): boolean {
    if (holder === null) return false;
    const registered = this.options.replica.get<NodeRecord>(nodeKey(holder.owner));
    return registered?.value.incarnation === holder.incarnation;
  }

  /** Whether a role should be claimed now. Keeps track of since when it has been free. */
  shouldClaim(role: string, preferredOwner: Member | null): boolean {
    const { incarnation, rejectedChangeBackoff, replica, self, steppedDown } = this.options;
    const holder = replica.get<RoleRecord>(roleKey(role))?.value ?? null;
    if (holder?.owner === self.node && holder.incarnation === incarnation) {
      this.freeSince.delete(role);
      return steppedDown.isUnclaimed(role, holder.term);
    }
    if (rejectedChangeBackoff.has(role)) return false;
    const isPreferredOwner = preferredOwner?.node === self.node;
    if (
      this.isHolderRegistered(holder) &&
      !(isPreferredOwner && this.mayReclaimAsPreferredOwner())
    ) {
      this.freeSince.delete(role);
      return false;
    }
    if (!this.hasWaitedForItsRank(role, preferredOwner)) return false;
    return holder === null || this.isHolderRegistered(holder) || this.mayFailOverFrom(role, holder);
  }

  /** Whether a role may be claimed from a holder whose lease has expired. */
  mayFailOverFrom(role: string, holder: RoleRecord): boolean {
    const { policy, replica, self } = this.options;
    const { incarnation, owner: node, term } = holder;
    const expiredSince = this.trackFreeSince(role);
    // An earlier process of this member has ended, and so has one whose member registered anew.
    const hasEnded = node === self.node || replica.get(nodeKey(node)) !== null;
    return hasEnded || policy.mayFailOver({ role, node, incarnation, term, expiredSince });
  }

  /** A preferred owner reclaims its shard from a live holder once it is up for a moment. */
  private mayReclaimAsPreferredOwner(): boolean {
    const { clock, policy, startedAt } = this.options;
    return clock.now() - startedAt > PREFERRED_OWNER_SETTLE_MS && !policy.isDamped();
  }

  /** Steady time in ms since which this process has seen that a role is free: now at the latest. */
  private trackFreeSince(role: string): number {
    const freeSince = this.freeSince.get(role) ?? this.options.clock.now();
    this.freeSince.set(role, freeSince);
    return freeSince;
  }

  /** Whether the candidates before this one have had their time to claim a role. */
  private hasWaitedForItsRank(role: string, preferredOwner: Member | null): boolean {
    const { clock, self } = this.options;
    // Read before the clock: read after it, the time would be negative at the first look.
    const freeSince = this.trackFreeSince(role);
    const freeForMs = clock.now() - freeSince;
    const isPreferredOwner = preferredOwner?.node === self.node;
    const rank = isPreferredOwner ? 0 : this.rankOfSelf(role, preferredOwner);
    return freeForMs >= rank * MEMBER_LEASE_RENEW_MS;
  }

  /** This member's position among the candidates for a role, from 0. */
  private rankOfSelf(role: string, preferredOwner: Member | null): number {
    const { clock, members, self, startedAt } = this.options;
    const isStarting = clock.now() - startedAt < LEADER_SETTLE_MS;
    // Where all start at once, the first to be up leaves the leader role to better candidates.
    const candidates = preferredOwner === null && isStarting ? members : this.registeredMembers();
    const candidateOrder = preferredOwner
      ? orderForShard(role, preferredOwner, candidates)
      : orderForLeader(role, candidates, members);
    const rank = candidateOrder.indexOf(self.node);
    return rank < 0 ? candidateOrder.length : rank;
  }

  /** Members that are registered now. */
  private registeredMembers(): Member[] {
    const { members, replica } = this.options;
    return members.filter((member) => replica.get(nodeKey(member.node)) !== null);
  }
}
