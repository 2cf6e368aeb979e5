/** Whose turn it is to take a free role. */

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

/** What turns are decided with. */
export interface CandidateOrderOptions {
  readonly self: Member;
  readonly incarnation: string;
  readonly members: readonly Member[];
  readonly replica: StoreReplica;
  readonly clock: Clock;
  readonly policy: FailoverPolicy;
  readonly steppedDown: SteppedDownRoles;
  /** Roles whose claims the state service called invalid. */
  readonly rejectedChangeBackoff: RejectedChangeBackoff;
  /** Steady time of this process's start. */
  readonly startedAt: number;
}

/** The order in which nodes take roles, and since when each has been free. */
export class CandidateOrder {
  private readonly freeSince = new Map<string, number>();

  constructor(private readonly options: CandidateOrderOptions) {}

  /** Whether the process that holds a role is registered. */
  isHolderRegistered(holder: RoleRecord | null): boolean {
    if (holder === null) return false;
    const registered = this.options.replica.get<NodeRecord>(nodeKey(holder.owner));
    return registered?.value.incarnation === holder.incarnation;
  }

  /** Whether a role should be claimed now. Notes since when it has been free. */
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
    const freeSince = this.trackFreeSince(role);
    const freeForMs = this.options.clock.now() - freeSince;
    const rank = isPreferredOwner ? 0 : this.rankOfSelf(role, preferredOwner);
    // The first choice takes it at once; the others only if the first does not.
    if (freeForMs < rank * MEMBER_LEASE_RENEW_MS) return false;
    return holder === null || this.isHolderRegistered(holder) || this.mayFailOverFrom(role, holder);
  }

  /** Whether a role may be taken from a holder whose registration has ended. */
  mayFailOverFrom(role: string, holder: RoleRecord): boolean {
    const { policy, replica, self } = this.options;
    const { incarnation, owner: node, term } = holder;
    const freeSince = this.trackFreeSince(role);
    // A process of this node before this one has ended, and so has one that a later one followed.
    const isFollowed = node === self.node || replica.get(nodeKey(node)) !== null;
    return (
      isFollowed || policy.mayFailOver({ role, node, incarnation, term, expiredSince: freeSince })
    );
  }

  /** A node takes its part back from one that lives once it has settled. */
  private mayReclaimAsPreferredOwner(): boolean {
    const { clock, policy, startedAt } = this.options;
    return clock.now() - startedAt > PREFERRED_OWNER_SETTLE_MS && !policy.isDamped();
  }

  /** Steady time in ms since which a role has been free, by what this node saw. */
  private trackFreeSince(role: string): number {
    const freeSince = this.freeSince.get(role) ?? this.options.clock.now();
    this.freeSince.set(role, freeSince);
    return freeSince;
  }

  /** Our place in the order in which nodes take a role. */
  private rankOfSelf(role: string, preferredOwner: Member | null): number {
    const { clock, members, self, startedAt } = this.options;
    const isStarting = clock.now() - startedAt < LEADER_SETTLE_MS;
    // Where all start at once, the first to be up leaves the lead to a better choice for a moment.
    const candidates = preferredOwner === null && isStarting ? members : this.registeredMembers();
    const order = preferredOwner
      ? orderForShard(role, preferredOwner, candidates)
      : orderForLeader(role, candidates, members);
    const index = order.indexOf(self.node);
    return index < 0 ? order.length : index;
  }

  /** Members that are registered now. */
  private registeredMembers(): Member[] {
    const { members, replica } = this.options;
    return members.filter((member) => replica.get(nodeKey(member.node)) !== null);
  }
}
