/** Registers this process as a member by a key under a lease in the key-value store. */

import { MEMBER_LEASE_RENEW_MS, MEMBER_LEASE_TTL_MS } from '../../constants/election.js';
import type { Change, Guard } from '../../protocol/key-value-store.js';
import { nodeKey, roleKey } from '../../storage/keys.js';
import type { NodeRecord, RoleRecord } from '../../storage/records.js';
import type { ElectableRole, ElectionContext, GuardedChanges } from './election-context.js';
import { claimRecord } from './role-claims.js';

/**
 * Key of the registration in `rejectedChangeBackoff`, next to the names of roles. No role has this
 * name.
 */
const REGISTRATION = 'registration';

/** Registers this process and renews the lease that the registration depends on. */
export class MemberRegistration {
  /** Id of the lease; null if there is none. */
  private lease: number | null = null;
  private renewedAt = -Infinity;
  /**
   * True from a registration until its loss is counted, so that further attempts to register do not
   * count the same loss again.
   */
  private hasRegistered = false;

  constructor(private readonly context: ElectionContext) {}

  /** Whether this process has a lease that it has not found to be expired. */
  get hasLease(): boolean {
    return this.lease !== null;
  }

  /** Whether this process is registered according to the replica. */
  get isRegistered(): boolean {
    const { incarnation, replica, self } = this.context;
    return replica.get<NodeRecord>(nodeKey(self.node))?.value.incarnation === incarnation;
  }

  /** Renews the lease when due, and registers again if the lease or the registration is gone. */
  async renewOrRegister(): Promise<void> {
    const now = this.context.clock.now();
    const { isRegistered, lease } = this;
    if (lease !== null && isRegistered && (await this.renewLease(lease, now))) return;
    if (this.context.rejectedChangeBackoff.isPaused(REGISTRATION)) return;
    await this.register(now);
  }

  /** Renews the lease when due. Returns false if it has expired. */
  private async renewLease(lease: number, now: number): Promise<boolean> {
    if (now - this.renewedAt < MEMBER_LEASE_RENEW_MS) return true;
    await this.context.limiter.acquire('role', 0);
    if (await this.context.keyValueStore.extend(lease)) {
      this.renewedAt = now;
      return true;
    }
    this.context.log.warn({}, 'member lease expired');
    this.lease = null;
    return false;
  }

  private async register(now: number): Promise<void> {
    const { committer, keyValueStore, limiter, log, policy, rejectedChangeBackoff } = this.context;
    if (this.hasRegistered) policy.onRegistrationLost();
    this.hasRegistered = false;
    await limiter.acquire('role', 0);
    const lease = await keyValueStore.grant(MEMBER_LEASE_TTL_MS);
    const { guards, changes } = this.buildTransaction(lease);
    const result = await committer.commit('role', guards, changes, () => true);
    if (result.kind === 'rejected') rejectedChangeBackoff.recordRejection(REGISTRATION);
    if (result.kind !== 'done') return;
    rejectedChangeBackoff.clear(REGISTRATION);
    this.lease = lease;
    this.renewedAt = now;
    this.hasRegistered = true;
    log.info({ keys: guards.map((guard) => guard.key) }, 'member registered');
  }

  /**
   * Builds the transaction that registers this process and claims the roles for which
   * `isClaimedWithRegistration` returns true.
   */
  private buildTransaction(lease: number): GuardedChanges {
    const { incarnation, replica, self, transactionOps } = this.context;
    const key = nodeKey(self.node);
    const value: NodeRecord = { incarnation };
    const changes: Change[] = [{ key, value, lease }];
    // Without this guard a delayed registration of an earlier process could replace this one, or a
    // delayed copy of this one could replace that of a later process.
    const guards: Guard[] = [{ key, revision: replica.revisionOf(key) }];
    for (const electableRole of this.preferredRolesFirst()) {
      // Roles that do not fit into the transaction are claimed by the usual order of candidates.
      if (changes.length >= transactionOps) break;
      const claimedKey = roleKey(electableRole.role);
      const entry = replica.get<RoleRecord>(claimedKey);
      const holder = entry?.value ?? null;
      if (!this.isClaimedWithRegistration(electableRole, holder)) continue;
      guards.push({ key: claimedKey, revision: entry?.revision ?? 0 });
      changes.push({ key: claimedKey, value: claimRecord(this.context, holder) });
    }
    return { guards, changes };
  }

  private preferredRolesFirst(): ElectableRole[] {
    const { electableRoles } = this.context;
    const isPreferred = (role: ElectableRole): boolean => this.isPreferredHolder(role);
    return [
      ...electableRoles.filter(isPreferred),
      ...electableRoles.filter((role) => !isPreferred(role)),
    ];
  }

  private isPreferredHolder({ preferredHolder }: ElectableRole): boolean {
    return preferredHolder?.node === this.context.self.node;
  }

  /**
   * Returns whether a role is claimed together with the registration: an earlier process of this
   * member holds it, or this member is its preferred holder and may claim it now.
   */
  private isClaimedWithRegistration(
    electableRole: ElectableRole,
    holder: RoleRecord | null,
  ): boolean {
    const { candidateOrder, incarnation, policy, self } = this.context;
    // An earlier process of this member has ended, so its roles are free.
    if (holder?.owner === self.node) return holder.incarnation !== incarnation;
    if (!this.isPreferredHolder(electableRole)) return false;
    if (holder === null) return true;
    if (candidateOrder.isHolderRegistered(holder)) return !policy.isDamped();
    return candidateOrder.mayFailOverFrom(electableRole.role, holder);
  }
}
