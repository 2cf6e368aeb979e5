/** Roles: which node leads and which node owns each part. */

import { MEMBER_RENEW_MS, MEMBER_TTL_MS } from '../../constants/election.js';
import type { Committer } from '../../storage/committer.js';
import type { RateLimiter } from '../../storage/rate-limiter.js';
import { nodeKey, roleKey } from '../../storage/keys.js';
import type { Log } from '../../storage/log.js';
import type { NodeRecord, RoleRecord } from '../../storage/records.js';
import { RejectedChangeBackoff } from '../../storage/rejected-change-backoff.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Change, Guard, KeyValueStore } from '../../protocol/key-value-store.js';
import type { Clock } from '../../transport/clock.js';
import { fenceEndsAt, graceMs, type LeaseTiming } from './lease-timing.js';
import type { Member } from './rendezvous-hashing.js';
import { CandidateOrder } from './candidate-order.js';
import { SteppedDownRoles } from './stepped-down-roles.js';
import type { FailoverPolicy } from './failover-policy.js';

/** What the roles of one node rest on. */
export interface RoleElectionOptions {
  self: Member;
  /** Tells this process from the ones before it. */
  incarnation: string;
  members: readonly Member[];
  timing: LeaseTiming;
  keyValueStore: KeyValueStore;
  limiter: RateLimiter;
  replica: StoreReplica;
  committer: Committer;
  clock: Clock;
  log: Log;
  /** Changes that one transaction may hold. */
  transactionOps: number;
  policy: FailoverPolicy;
}

/** A role that this node holds. `revision`: of the role's key. */
export interface HeldRole {
  role: string;
  term: number;
  revision: number;
  record: RoleRecord;
}

/** When and how this process got a role. */
interface ClaimedTerm {
  term: number;
  revision: number;
  /** Steady time at which this process first saw the term. */
  seenAt: number;
  /** This process held the role under an earlier term, and may have answered workers until then. */
  heldBefore: boolean;
}

/** What a pause of the registration is kept under; no role has this name. */
const REGISTRATION = 'registration';

/** The role of the leader, which hands out tasks and rents machines. */
export const LEADER = 'leader';
/** The role of owning a part. */
export const shardRole = (shard: string): string => `part-${shard}`;

/** One ownership for all roles: who holds what, on whose lease, and taking over what is free. */
export class RoleElection {
  private lease: number | null = null;
  /** Our roles: term, the revision at which we got it, and when we first saw that. */
  private readonly claims = new Map<string, ClaimedTerm>();
  private busy = false;
  private renewedAt = -Infinity;
  /** This process is registered, unless that has ended; a loss is noted once. */
  private hasRegistration = false;
  private readonly rejectedChangeBackoff: RejectedChangeBackoff;
  private readonly steppedDown: SteppedDownRoles;
  private readonly turns: CandidateOrder;
  private readonly self: Member;
  private readonly replica: StoreReplica;
  private readonly clock: Clock;
  /** Steady time of this process's start. */
  readonly startedAt: number;
  /** Milliseconds for which a current replica may be acted on. */
  readonly graceMs: number;

  constructor(private readonly options: RoleElectionOptions) {
    const { self, replica, clock } = options;
    this.self = self;
    this.replica = replica;
    this.clock = clock;
    this.rejectedChangeBackoff = new RejectedChangeBackoff(clock);
    this.steppedDown = new SteppedDownRoles(clock);
    this.startedAt = clock.now();
    const { rejectedChangeBackoff, startedAt, steppedDown } = this;
    this.turns = new CandidateOrder({
      ...options,
      rejectedChangeBackoff,
      startedAt,
      steppedDown,
    });
    this.graceMs = graceMs(options.timing);
  }

  private allRoles(): { role: string; preferredOwner: Member | null }[] {
    return [
      ...this.options.members.map((member) => ({
        role: shardRole(member.node),
        preferredOwner: member,
      })),
      { role: LEADER, preferredOwner: null },
    ];
  }

  /** The node that holds a role, whether or not it still lives. */
  holderOf(role: string): string | null {
    return this.replica.get<RoleRecord>(roleKey(role))?.value.owner ?? null;
  }

  /** A role of ours, once the replica holds everything that was written before we took it. */
  heldRole(role: string): HeldRole | null {
    const held = this.replica.get<RoleRecord>(roleKey(role));
    if (!held || held.value.owner !== this.self.node) return null;
    if (held.value.incarnation !== this.options.incarnation) return null;
    const { term } = held.value;
    if (this.steppedDown.has(role, term)) return null;
    let claim = this.claims.get(role);
    // Its key may be written anew within the term: what counts is when we got it.
    if (claim?.term !== term) {
      const heldBefore = claim !== undefined;
      claim = { term, revision: held.revision, seenAt: this.clock.now(), heldBefore };
      this.claims.set(role, claim);
    }
    if (this.replica.revision < claim.revision) return null;
    return { role, term, revision: held.revision, record: held.value };
  }

  /** Whether the replica is recent enough to act on a role before the outside. */
  get isReplicaCurrent(): boolean {
    return this.clock.now() - this.replica.knownCurrentAt < this.graceMs;
  }

  /** Acts and answers no more in a role of ours; false: we don't hold it under this term. */
  stepDown(role: string, term: number): boolean {
    if (this.heldRole(role)?.term !== term) return false;
    this.steppedDown.add(role, term);
    return true;
  }

  /** Whether this process gave a role up under this term. */
  hasSteppedDown(role: string, term: number): boolean {
    return this.steppedDown.has(role, term);
  }

  /** Whether this process is registered, by what the replica holds. */
  get isRegistered(): boolean {
    const { value } = this.replica.get<NodeRecord>(nodeKey(this.self.node)) ?? {};
    return value?.incarnation === this.options.incarnation;
  }

  /** The steady time from which no machine that did not speak to us has tasks left. */
  fenceEndsAt(owned: HeldRole): number {
    const claim = this.claims.get(owned.role);
    const seenAt = claim?.seenAt ?? this.clock.now();
    // Under an earlier term this process itself answered until it saw the new one.
    const startedAt = claim?.heldBefore ? seenAt : this.startedAt;
    return fenceEndsAt(owned.record, { startedAt, seenAt }, this.clock.wall(), this.options.timing);
  }

  /** One round: keep the lease, then take what should be ours. */
  async reconcile(): Promise<void> {
    if (this.busy || !this.replica.isLoaded) return;
    this.busy = true;
    try {
      await this.keepMemberLease();
      if (this.lease !== null) await this.claimFreeRoles();
    } catch (error) {
      this.options.log.debug({ error: String(error) }, 'roles: state service did not answer');
    } finally {
      this.busy = false;
    }
  }

  private async keepMemberLease(): Promise<void> {
    const now = this.clock.now();
    const registered = this.isRegistered;
    if (this.lease !== null && registered && (await this.renewLease(this.lease, now))) return;
    if (this.rejectedChangeBackoff.has(REGISTRATION)) return;
    await this.register(now);
  }

  /** Keeps the lease when that is due; false: it has ended. */
  private async renewLease(lease: number, now: number): Promise<boolean> {
    if (now - this.renewedAt < MEMBER_RENEW_MS) return true;
    await this.options.limiter.acquire('role', 0);
    if (await this.options.keyValueStore.extend(lease)) {
      this.renewedAt = now;
      return true;
    }
    this.options.log.warn({}, 'member lease ended, asking for a new one');
    this.lease = null;
    return false;
  }

  private async register(now: number): Promise<void> {
    if (this.hasRegistration) this.options.policy.registrationLost();
    this.hasRegistration = false;
    await this.options.limiter.acquire('role', 0);
    const lease = await this.options.keyValueStore.grant(MEMBER_TTL_MS);
    const { guards, changes } = this.registration(lease);
    const result = await this.options.committer.commit('role', guards, changes, () => true);
    if (result.kind === 'rejected') this.rejectedChangeBackoff.add(REGISTRATION);
    if (result.kind !== 'done') return;
    this.rejectedChangeBackoff.clear(REGISTRATION);
    this.lease = lease;
    this.renewedAt = now;
    this.hasRegistration = true;
    this.options.log.info({ roles: guards.map((guard) => guard.key) }, 'registered as a member');
  }

  /** Our registration, and with it the roles of the process before this one. */
  private registration(lease: number): { guards: Guard[]; changes: Change[] } {
    const key = nodeKey(this.self.node);
    const value: NodeRecord = { incarnation: this.options.incarnation };
    const changes: Change[] = [{ key, value, lease }];
    // A registration of the process before this one may still be on its way to the store: it must
    // not undo this one, nor this one a newer.
    const guards: Guard[] = [{ key, revision: this.replica.revisionOf(key) }];
    const isPreferredOwner = ({ preferredOwner }: { preferredOwner: Member | null }): number =>
      Number(preferredOwner?.node === this.self.node);
    const roles = this.allRoles().sort((a, b) => isPreferredOwner(b) - isPreferredOwner(a));
    for (const { role, preferredOwner } of roles) {
      // What does not fit into the transaction is free for us as for all others right after it.
      if (changes.length >= this.options.transactionOps) break;
      const held = this.replica.get<RoleRecord>(roleKey(role));
      if (!this.comesWithRegistration(role, preferredOwner, held?.value ?? null)) continue;
      guards.push({ key: roleKey(role), revision: held?.revision ?? 0 });
      changes.push({ key: roleKey(role), value: this.claimRecord(held?.value ?? null) });
    }
    return { guards, changes };
  }

  /** Whether a role is claimed together with the registration. */
  private comesWithRegistration(
    role: string,
    preferredOwner: Member | null,
    holder: RoleRecord | null,
  ): boolean {
    if (holder?.owner === this.self.node) return holder.incarnation !== this.options.incarnation;
    if (preferredOwner?.node !== this.self.node) return false;
    if (holder === null) return true;
    if (this.turns.holderLives(holder)) return !this.options.policy.isDamped();
    return this.turns.mayFailOverFrom(role, holder);
  }

  private claimRecord(before: RoleRecord | null): RoleRecord {
    const moved = before !== null && before.owner !== this.self.node;
    return {
      owner: this.self.node,
      incarnation: this.options.incarnation,
      term: (before?.term ?? 0) + 1,
      movedAt: moved ? this.clock.wall() : (before?.movedAt ?? 0),
    };
  }

  private async claimFreeRoles(): Promise<void> {
    for (const { role, preferredOwner } of this.allRoles()) {
      if (this.turns.isOurTurn(role, preferredOwner)) await this.claim(role);
    }
  }

  /** Goes on with a role of ours under a new term, whose numbers are all unused. */
  async renewTerm(role: string): Promise<void> {
    if (this.heldRole(role) !== null) await this.claim(role);
  }

  private async claim(role: string): Promise<void> {
    const key = roleKey(role);
    const held = this.replica.get<RoleRecord>(key);
    const holder = held?.value ?? null;
    const guards: Guard[] = [{ key, revision: held?.revision ?? 0 }];
    // A holder that registers again at this moment keeps its role.
    if (holder !== null && !this.turns.holderLives(holder)) {
      const holderKey = nodeKey(holder.owner);
      guards.push({ key: holderKey, revision: this.replica.revisionOf(holderKey) });
    }
    const record = this.claimRecord(holder);
    const changes: Change[] = [{ key, value: record }];
    const result = await this.options.committer.commit('role', guards, changes, () => true);
    if (result.kind === 'rejected') this.rejectedChangeBackoff.add(role);
    else this.rejectedChangeBackoff.clear(role);
    this.options.log.info(
      { role, from: holder?.owner ?? null, term: record.term, result: result.kind },
      'taking a role',
    );
  }
}
