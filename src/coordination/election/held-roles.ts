/** The roles that this process holds, under which term, and from when it may rely on that. */

import { roleKey } from '../../storage/keys.js';
import type { RoleRecord } from '../../storage/records.js';
import type { ElectionContext } from './election-context.js';
import { fenceEndsAt } from './lease-timing.js';

/** A role that this process holds. */
export interface HeldRole {
  readonly role: string;
  readonly term: number;
  /** Revision of the role's key. */
  readonly revision: number;
  readonly record: RoleRecord;
}

/** When and how this process got a role. */
interface ClaimedTerm {
  readonly term: number;
  /** Revision of the role's key when the term was first seen. */
  readonly revision: number;
  /** Steady time at which this process first saw the term. */
  readonly seenAt: number;
  /** This process held the role under an earlier term, and may have answered workers until then. */
  readonly heldBefore: boolean;
}

/** Says which roles this process holds by what the replica shows. */
export class HeldRoles {
  private readonly claimedTerms = new Map<string, ClaimedTerm>();

  constructor(private readonly context: ElectionContext) {}

  /** A held role; null until the replica has everything that was written before the claim. */
  get(role: string): HeldRole | null {
    const { incarnation, replica, self, steppedDown } = this.context;
    const entry = replica.get<RoleRecord>(roleKey(role));
    if (!entry || entry.value.owner !== self.node) return null;
    if (entry.value.incarnation !== incarnation) return null;
    const { term } = entry.value;
    if (steppedDown.has(role, term)) return null;
    const claimedTerm = this.claimedTerm(role, term, entry.revision);
    if (replica.revision < claimedTerm.revision) return null;
    return { role, term, revision: entry.revision, record: entry.value };
  }

  /** Stops acting and answering in a held role; false: it is not held under this term. */
  stepDown(role: string, term: number): boolean {
    if (this.get(role)?.term !== term) return false;
    this.context.steppedDown.add(role, term);
    return true;
  }

  /** Steady time from which no machine that did not send us a heartbeat has tasks left. */
  fenceEndsAt({ record, role }: HeldRole): number {
    const { clock, timing } = this.context;
    const claimedTerm = this.claimedTerms.get(role);
    const seenAt = claimedTerm?.seenAt ?? clock.now();
    // Under an earlier term this process itself answered until it saw the new one.
    const startedAt = claimedTerm?.heldBefore ? seenAt : this.context.startedAt;
    return fenceEndsAt(record, { startedAt, seenAt }, clock.wall(), timing);
  }

  /**
   * What is known of the current term. The role's key may be rewritten within a term, so only the
   * revision at which the term was first seen counts.
   */
  private claimedTerm(role: string, term: number, revision: number): ClaimedTerm {
    const known = this.claimedTerms.get(role);
    if (known?.term === term) return known;
    const heldBefore = known !== undefined;
    const claimedTerm = { term, revision, seenAt: this.context.clock.now(), heldBefore };
    this.claimedTerms.set(role, claimedTerm);
    return claimedTerm;
  }
}
