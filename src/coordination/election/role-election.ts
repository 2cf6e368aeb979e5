/** Elects the holder of each role: one leader for the cluster and one holder for each shard. */

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

/**
 * Name of the leader's role; the leader assigns tasks to shards and scales the cluster out and in.
 */
export const LEADER = 'leader';
/** Returns the name of the role of a shard's holder. */
export const shardRole = (shard: string): string => `part-${shard}`;

const electableRolesOf = (members: readonly Member[]): ElectableRole[] => [
  ...members.map((member) => ({ role: shardRole(member.node), preferredHolder: member })),
  { role: LEADER, preferredHolder: null },
];

/**
 * Takes part in the election of all roles for this process. A member registers under a lease,
 * claims free roles, and holds each of them until another process claims it under a later term.
 */
export class RoleElection {
  private readonly context: ElectionContext;
  private readonly registration: MemberRegistration;
  private readonly claims: RoleClaims;
  private readonly heldRoles: HeldRoles;
  private readonly reconcileFlight = new SingleFlight();
  /**
   * Time in ms after the replica was last confirmed as current, within which this process answers
   * workers and sends commands for its held roles.
   */
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

  /** Returns the member that holds a role, even if its process has ended; null if none does. */
  holderOf(role: string): string | null {
    return this.context.replica.get<RoleRecord>(roleKey(role))?.value.owner ?? null;
  }

  /** Returns a held role; null until the replica contains all changes made before the claim. */
  heldRole(role: string): HeldRole | null {
    return this.heldRoles.get(role);
  }

  /** Whether the replica is recent enough to answer workers and send commands for a held role. */
  get isReplicaCurrent(): boolean {
    const { clock, replica } = this.context;
    return clock.now() - replica.knownCurrentAt < this.graceMs;
  }

  /** Steps down from a held role. Returns false if the role is not held under this term. */
  stepDown(role: string, term: number): boolean {
    return this.heldRoles.stepDown(role, term);
  }

  /** Returns whether this process stepped down from a role under this term. */
  hasSteppedDown(role: string, term: number): boolean {
    return this.context.steppedDown.has(role, term);
  }

  /** Whether this process is registered as a member according to the replica. */
  get isRegistered(): boolean {
    return this.registration.isRegistered;
  }

  /**
   * Returns the steady time in ms after which a machine that has not sent this process a heartbeat
   * has no tasks left.
   */
  fenceEndsAt(heldRole: HeldRole): number {
    return this.heldRoles.fenceEndsAt(heldRole);
  }

  /** Renews the registration, then claims free roles. Does nothing while an earlier pass runs. */
  async reconcile(): Promise<void> {
    if (!this.context.replica.isLoaded) return;
    await this.reconcileFlight.run(() => this.reconcileOnce());
  }

  /** Claims a held role again, under a new term whose numbers are all unused. */
  async renewTerm(role: string): Promise<void> {
    if (this.heldRole(role) !== null) await this.claims.claim(role);
  }

  private async reconcileOnce(): Promise<void> {
    try {
      await this.registration.renewOrRegister();
      if (this.registration.hasLease) await this.claims.claimFreeRoles();
    } catch (error) {
      this.context.log.debug({ error: String(error) }, 'role reconcile failed');
    }
  }
}
