/** Whose turn it is to take a free role. */

import { HOME_SETTLE_MS, LEADER_SETTLE_MS, MEMBER_RENEW_MS } from '../../constants.js';
import type { InvalidChangeBackoff } from '../../storage/rejected-change-backoff.js';
import { nodeKey, roleKey } from '../../storage/keys.js';
import type { NodeRecord, RoleRecord } from '../../storage/records.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Clock } from '../../transport/clock.js';
import { orderForLeader, orderForPart, type Member } from './rendezvous-hashing.js';
import type { StoodDownRoles } from './stepped-down-roles.js';
import type { TakeoverPolicy } from './failover-policy.js';

/** What turns are decided with. */
export interface RoleTurnsOptions {
  readonly self: Member;
  readonly incarnation: string;
  readonly members: readonly Member[];
  readonly replica: StoreReplica;
  readonly clock: Clock;
  readonly policy: TakeoverPolicy;
  readonly stoodDown: StoodDownRoles;
  /** Roles whose claims the state service called invalid. */
  readonly invalidBackoff: InvalidChangeBackoff;
  /** Steady time of this process's start. */
  readonly startedAt: number;
}

/** The order in which nodes take roles, and since when each has been free. */
export class RoleTurns {
  private readonly freeSince = new Map<string, number>();

  constructor(private readonly options: RoleTurnsOptions) {}

  /** Whether the process that holds a role is registered. */
  holderLives(holder: RoleRecord | null): boolean {
    if (holder === null) return false;
    const registered = this.options.replica.get<NodeRecord>(nodeKey(holder.owner));
    return registered?.value.incarnation === holder.incarnation;
  }

  /** Whether a role should be claimed now. Notes since when it has been free. */
  isOurTurn(role: string, home: Member | null): boolean {
    const { incarnation, invalidBackoff, replica, self, stoodDown } = this.options;
    const holder = replica.get<RoleRecord>(roleKey(role))?.value ?? null;
    if (holder?.owner === self.node && holder.incarnation === incarnation) {
      this.freeSince.delete(role);
      return stoodDown.isUnclaimed(role, holder.term);
    }
    if (invalidBackoff.has(role)) return false;
    const atHome = home?.node === self.node;
    if (this.holderLives(holder) && !(atHome && this.mayReturnHome())) {
      this.freeSince.delete(role);
      return false;
    }
    const since = this.noteFree(role);
    const freeForMs = this.options.clock.now() - since;
    const turn = atHome ? 0 : this.turn(role, home);
    // The first choice takes it at once; the others only if the first does not.
    if (freeForMs < turn * MEMBER_RENEW_MS) return false;
    return holder === null || this.holderLives(holder) || this.mayTakeFrom(role, holder);
  }

  /** Whether a role may be taken from a holder whose registration has ended. */
  mayTakeFrom(role: string, holder: RoleRecord): boolean {
    const { policy, replica, self } = this.options;
    const { incarnation, owner: node, term } = holder;
    const since = this.noteFree(role);
    // A process of this node before this one has ended, and so has one that a later one followed.
    const isFollowed = node === self.node || replica.get(nodeKey(node)) !== null;
    return isFollowed || policy.mayTake({ role, node, incarnation, term, since });
  }

  /** A node takes its part back from one that lives once it has settled. */
  private mayReturnHome(): boolean {
    const { clock, policy, startedAt } = this.options;
    return clock.now() - startedAt > HOME_SETTLE_MS && !policy.isDamped();
  }

  /** Steady time in ms since which a role has been free, by what this node saw. */
  private noteFree(role: string): number {
    const since = this.freeSince.get(role) ?? this.options.clock.now();
    this.freeSince.set(role, since);
    return since;
  }

  /** Our place in the order in which nodes take a role. */
  private turn(role: string, home: Member | null): number {
    const { clock, members, self, startedAt } = this.options;
    const isStarting = clock.now() - startedAt < LEADER_SETTLE_MS;
    // Where all start at once, the first to be up leaves the lead to a better choice for a moment.
    const candidates = home === null && isStarting ? members : this.liveNodes();
    const order = home
      ? orderForPart(role, home, candidates)
      : orderForLeader(role, candidates, members);
    const at = order.indexOf(self.node);
    return at < 0 ? order.length : at;
  }

  /** Members that are registered now. */
  private liveNodes(): Member[] {
    const { members, replica } = this.options;
    return members.filter((member) => replica.get(nodeKey(member.node)) !== null);
  }
}
