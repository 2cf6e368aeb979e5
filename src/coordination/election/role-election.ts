/** Leader election and shard ownership: who holds which role, and under which term. */

import { roleKey } from '../../storage/keys.js';
import type { RoleRecord } from '../../storage/records.js';
import { RejectedChangeBackoff } from '../../storage/rejected-change-backoff.js';
import { SingleFlight } from '../../transport/concurrency.js';
import { CandidateOrder } from './candidate-order.js';
import type { ElectableRole, ElectionContext, RoleElectionOptions } from './election-context.js';
import { HeldRoles, type HeldRole } from './held-roles.js';
import { graceMs } from './lease-timing.js';
import { MemberRegistration } from './member-registration.js';
import type { Member } from './rendezvous-hashing.js';
import { RoleClaims } from './role-claims.js';
import { SteppedDownRoles } from './stepped-down-roles.js';

export type { HeldRole } from './held-roles.js';

/** The role of the leader, which assigns tasks to shards and scales out and in. */
export const LEADER = 'leader';
/** The role of a shard's owner. */
export const shardRole = (shard: string): string => `part-${shard}`;

const electableRolesOf = (members: readonly Member[]): ElectableRole[] => [
  ...members.map((member) => ({ role: shardRole(member.node), preferredOwner: member })),
  { role: LEADER, preferredOwner: null },
];

/**
 * One election for all roles of the cluster. A member registers under a lease, claims the roles that
 * are free, and holds each until another process claims it under a later term.
 */
export class RoleElection {
  private readonly context: ElectionContext;
  private readonly registration: MemberRegistration;
  private readonly claims: RoleClaims;
  private readonly heldRoles: HeldRoles;
  private readonly reconciles = new SingleFlight();
  /** ms for which a current replica may be acted on. */
  private readonly graceMs: number;

  constructor(options: RoleElectionOptions) {
    const { clock, members, timing } = options;
    const shared = {
      ...options,
      rejectedChangeBackoff: new RejectedChangeBackoff(clock),
      steppedDown: new SteppedDownRoles(clock),
      startedAt: clock.now(),
    };
    const candidateOrder = new CandidateOrder(shared);
    this.context = { ...shared, candidateOrder, electableRoles: electableRolesOf(members) };
    this.registration = new MemberRegistration(this.context);
    this.claims = new RoleClaims(this.context);
    this.heldRoles = new HeldRoles(this.context);
    this.graceMs = graceMs(timing);
  }

  /** The member that holds a role, whether or not its process still lives. */
  holderOf(role: string): string | null {
    return this.context.replica.get<RoleRecord>(roleKey(role))?.value.owner ?? null;
  }

  /** A held role; null until the replica has everything that was written before the claim. */
  heldRole(role: string): HeldRole | null {
    return this.heldRoles.get(role);
  }

  /** Whether the replica is recent enough to act on a role outside this process. */
  get isReplicaCurrent(): boolean {
    const { clock, replica } = this.context;
    return clock.now() - replica.knownCurrentAt < this.graceMs;
  }

  /** Stops acting and answering in a held role; false: it is not held under this term. */
  stepDown(role: string, term: number): boolean {
    return this.heldRoles.stepDown(role, term);
  }

  /** Whether this process stepped down from a role under this term. */
  hasSteppedDown(role: string, term: number): boolean {
    return this.context.steppedDown.has(role, term);
  }

  /** Whether this process is registered as a member, by what the replica holds. */
  get isRegistered(): boolean {
    return this.registration.isRegistered;
  }

  /** Steady time from which no machine that did not send us a heartbeat has tasks left. */
  fenceEndsAt(heldRole: HeldRole): number {
    return this.heldRoles.fenceEndsAt(heldRole);
  }

  /** Keeps the registration, then claims the free roles; skipped while an earlier pass runs. */
  async reconcile(): Promise<void> {
    if (!this.context.replica.isLoaded) return;
    await this.reconciles.run(() => this.reconcileOnce());
  }

  /** Continues with a held role under a new term, whose numbers are all unused. */
  async renewTerm(role: string): Promise<void> {
    if (this.heldRole(role) !== null) await this.claims.claim(role);
  }

  private async reconcileOnce(): Promise<void> {
    try {
      await this.registration.keep();
      if (this.registration.hasLease) await this.claims.claimFreeRoles();
    } catch (error) {
      this.context.log.debug({ error: String(error) }, 'role reconcile failed');
    }
  }
}
