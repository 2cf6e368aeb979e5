import {
  CANCEL_MARGIN_S,
  CANCEL_MARGIN_SHARE,
  CLOCK_DRIFT,
  HOME_SETTLE_MS,
  LEASE_MARGIN_MS,
  MEMBER_RENEW_MS,
  MEMBER_TTL_MS,
  MOVED_LONG_MS,
} from '../constants.js';
import type { Committer } from '../storage/committer.js';
import type { RateLimiter } from '../storage/rate-limiter.js';
import { nodeKey, roleKey } from '../storage/keys.js';
import type { Log } from '../storage/log.js';
import type { NodeRecord, RoleRecord } from '../storage/records.js';
import { InvalidChangeBackoff } from '../storage/invalid-change-backoff.js';
import type { StoreReplica } from '../storage/store-replica.js';
import type { Change, Guard, StateApi } from '../protocol/state-api.js';
import type { Clock } from '../transport/clock.js';
import { choose, type Member } from './rendezvous.js';

export interface Timing {
  leaseS: number;
  cancelS: number;
  skewMs: number;
}

/**
 * How long an owner may answer workers after its replica was last known to be current. A worker that
 * it answered last keeps its tasks for one more lease, and both together must end before a
 * cancellation that the owner never heard of is due.
 */
export function graceMs(timing: Timing): number {
  const gap = Math.max(0, timing.cancelS - timing.leaseS * (1 + CLOCK_DRIFT));
  // Where the deployment leaves little between the two, the margin must not eat up the grace: an
  // owner whose grace is shorter than its watch takes would never answer a worker.
  return (gap - Math.min(CANCEL_MARGIN_S, gap * CANCEL_MARGIN_SHARE)) * 1000;
}

/** The longest that a worker's tasks outlive its last answered report. */
export function leaseMs(timing: Timing): number {
  return timing.leaseS * 1000 * (1 + CLOCK_DRIFT) + LEASE_MARGIN_MS;
}

/**
 * The steady time from which no machine that never spoke to a part's new owner has tasks left.
 * `seenAt`: when this process first saw that the role is its own. What the claim itself says of the
 * time is no proof, since a claim may be carried out long after it was made, in an outage or late.
 */
export function fenceAt(
  record: RoleRecord,
  self: { startedAt: number; seenAt: number },
  wall: number,
  timing: Timing,
): number {
  // The process before this one ended before this one began, so its answers did too.
  const afterSelf = self.startedAt + leaseMs(timing);
  if (record.movedAt === 0 || wall - record.movedAt > MOVED_LONG_MS) return afterSelf;
  // Another node answered at the latest a full grace after its last watch that did not show the
  // claim, which was sent before the claim was carried out, which was before we saw it.
  return Math.max(afterSelf, self.seenAt + graceMs(timing) + leaseMs(timing));
}

export interface Owned {
  role: string;
  term: number;
  revision: number;
  record: RoleRecord;
}

/** What a pause of the registration is kept under; no role has this name. */
const REGISTRATION = 'registration';

export const LEADER = 'leader';
export const partRole = (part: string): string => `part-${part}`;

/** One ownership for all roles: who holds what, on whose lease, and taking over what is free. */
export class Roles {
  private lease: number | null = null;
  private readonly freeSince = new Map<string, number>();
  /** Our roles: term, the revision at which we got it, and when we first saw that. */
  private readonly claims = new Map<string, { term: number; revision: number; seenAt: number }>();
  private busy = false;
  private renewedAt = -Infinity;
  private readonly invalidBackoff: InvalidChangeBackoff;
  readonly startedAt: number;
  readonly grace: number;

  constructor(
    private readonly self: Member,
    private readonly incarnation: string,
    private readonly members: readonly Member[],
    private readonly timing: Timing,
    private readonly api: StateApi,
    private readonly limiter: RateLimiter,
    private readonly replica: StoreReplica,
    private readonly committer: Committer,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly txnOps: number,
  ) {
    this.invalidBackoff = new InvalidChangeBackoff(clock);
    this.startedAt = clock.now();
    this.grace = graceMs(timing);
  }

  private all(): { role: string; home: Member | null }[] {
    return [
      ...this.members.map((member) => ({ role: partRole(member.node), home: member })),
      { role: LEADER, home: null },
    ];
  }

  private isLive(node: string, incarnation: string): boolean {
    return this.replica.get<NodeRecord>(nodeKey(node))?.value.incarnation === incarnation;
  }

  liveNodes(): Member[] {
    return this.members.filter((member) => this.replica.get(nodeKey(member.node)) !== null);
  }

  /** The node that holds a role, whether or not it still lives. */
  ownerOf(role: string): string | null {
    return this.replica.get<RoleRecord>(roleKey(role))?.value.owner ?? null;
  }

  /** A role of ours, once the replica holds everything that was written before we took it. */
  owned(role: string): Owned | null {
    const held = this.replica.get<RoleRecord>(roleKey(role));
    if (!held || held.value.owner !== this.self.node) return null;
    if (held.value.incarnation !== this.incarnation) return null;
    const { term } = held.value;
    let claim = this.claims.get(role);
    // Its key may be written anew within the term: what counts is when we got it.
    if (claim?.term !== term) {
      claim = { term, revision: held.revision, seenAt: this.clock.now() };
      this.claims.set(role, claim);
    }
    if (this.replica.revision < claim.revision) return null;
    return { role, term, revision: held.revision, record: held.value };
  }

  /** Whether the replica is recent enough to act on a role before the outside. */
  get current(): boolean {
    return this.clock.now() - this.replica.freshAt < this.grace;
  }

  fence(owned: Owned): number {
    const { startedAt } = this;
    const seenAt = this.claims.get(owned.role)?.seenAt ?? this.clock.now();
    return fenceAt(owned.record, { startedAt, seenAt }, this.clock.wall(), this.timing);
  }

  /** One round: keep the lease, then take what should be ours. */
  async round(): Promise<void> {
    if (this.busy || !this.replica.loaded) return;
    this.busy = true;
    try {
      await this.keepLease();
      if (this.lease !== null) await this.takeFree();
    } catch (error) {
      this.log.debug({ error: String(error) }, 'roles: state service did not answer');
    } finally {
      this.busy = false;
    }
  }

  private async keepLease(): Promise<void> {
    const now = this.clock.now();
    const registered = this.isLive(this.self.node, this.incarnation);
    if (this.lease !== null && registered) {
      if (now - this.renewedAt < MEMBER_RENEW_MS) return;
      await this.limiter.pass('role', 0);
      if (await this.api.extend(this.lease)) {
        this.renewedAt = now;
        return;
      }
      this.log.warn({}, 'member lease ended, asking for a new one');
      this.lease = null;
    }
    if (this.invalidBackoff.has(REGISTRATION)) return;
    await this.limiter.pass('role', 0);
    const lease = await this.api.grant(MEMBER_TTL_MS);
    const value: NodeRecord = { incarnation: this.incarnation };
    const changes: Change[] = [{ key: nodeKey(this.self.node), value, lease }];
    // A registration of the process before this one may still be on its way to the store: it must
    // not undo this one, nor this one a newer.
    const guards: Guard[] = [
      { key: nodeKey(this.self.node), revision: this.replica.revisionOf(nodeKey(this.self.node)) },
    ];
    // Roles of the process before this one are taken along with the registration.
    const atHome = ({ home }: { home: Member | null }): number =>
      Number(home?.node === this.self.node);
    const roles = this.all().sort((a, b) => atHome(b) - atHome(a));
    for (const { role, home } of roles) {
      // What does not fit into the transaction is free for us as for all others right after it.
      if (changes.length >= this.txnOps) break;
      const held = this.replica.get<RoleRecord>(roleKey(role));
      const ours = held?.value.owner === this.self.node;
      if (ours ? held.value.incarnation === this.incarnation : home?.node !== this.self.node) {
        continue;
      }
      guards.push({ key: roleKey(role), revision: held?.revision ?? 0 });
      changes.push({ key: roleKey(role), value: this.claimRecord(held?.value ?? null) });
    }
    const result = await this.committer.commit('role', guards, changes, () => true);
    if (result.kind === 'invalid') this.invalidBackoff.add(REGISTRATION);
    if (result.kind !== 'done') return;
    this.invalidBackoff.clear(REGISTRATION);
    this.lease = lease;
    this.renewedAt = now;
    this.log.info({ roles: guards.map((guard) => guard.key) }, 'registered as a member');
  }

  private claimRecord(before: RoleRecord | null): RoleRecord {
    const moved = before !== null && before.owner !== this.self.node;
    return {
      owner: this.self.node,
      incarnation: this.incarnation,
      term: (before?.term ?? 0) + 1,
      movedAt: moved ? this.clock.wall() : (before?.movedAt ?? 0),
    };
  }

  private async takeFree(): Promise<void> {
    const now = this.clock.now();
    for (const { role, home } of this.all()) {
      const held = this.replica.get<RoleRecord>(roleKey(role));
      const owner = held?.value ?? null;
      if (owner?.owner === this.self.node && owner.incarnation === this.incarnation) {
        this.freeSince.delete(role);
        continue;
      }
      if (this.invalidBackoff.has(role)) continue;
      const alive = owner !== null && this.isLive(owner.owner, owner.incarnation);
      const atHome = home?.node === this.self.node;
      if (alive && !(atHome && now - this.startedAt > HOME_SETTLE_MS)) {
        this.freeSince.delete(role);
        continue;
      }
      const since = this.freeSince.get(role) ?? now;
      this.freeSince.set(role, since);
      const turn = atHome ? 0 : this.turn(role, home);
      // The first choice takes it at once; the others only if the first does not.
      if (now - since < turn * MEMBER_RENEW_MS) continue;
      const key = roleKey(role);
      const guards: Guard[] = [{ key, revision: held?.revision ?? 0 }];
      // A holder that registers again at this moment keeps its role.
      if (owner !== null && !alive) {
        guards.push({
          key: nodeKey(owner.owner),
          revision: this.replica.revisionOf(nodeKey(owner.owner)),
        });
      }
      const record = this.claimRecord(owner);
      const result = await this.committer.commit(
        'role',
        guards,
        [{ key, value: record }],
        () => true,
      );
      if (result.kind === 'invalid') this.invalidBackoff.add(role);
      else this.invalidBackoff.clear(role);
      this.log.info(
        { role, from: owner?.owner ?? null, term: record.term, result: result.kind },
        'taking a role',
      );
    }
  }

  /** Our place in the order in which live nodes take a role: its zone first. */
  private turn(role: string, home: Member | null): number {
    const live = this.liveNodes();
    const near = live.filter((member) => member.zone === home?.zone);
    const far = live.filter((member) => member.zone !== home?.zone);
    const order: string[] = [];
    for (const group of [near, far]) {
      const names = group.map((member) => member.node);
      while (names.length > 0) {
        const next = choose(role, names);
        if (next === null) break;
        order.push(next);
        names.splice(names.indexOf(next), 1);
      }
    }
    const at = order.indexOf(this.self.node);
    return at < 0 ? order.length : at;
  }
}
