/** Derives from the replica which roles this process holds, and under which term. */

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

/** The term under which this process holds a role, and how it was obtained. */
interface ClaimedTerm {
  readonly term: number;
  /** Revision of the role's key when the term was first seen. */
  readonly revision: number;
  /** Steady time in ms at which this process first saw the term. */
  readonly seenAt: number;
  /**
   * True if this process held the role under an earlier term and may have answered workers then.
   */
  readonly heldBefore: boolean;
}

/** Roles that this process holds according to the replica. */
export class HeldRoles {
  private readonly claimedTerms = new Map<string, ClaimedTerm>();

  constructor(private readonly context: ElectionContext) {}

  /** Returns a held role; null until the replica contains all changes made before the claim. */
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

  /** Steps down from a held role. Returns false if the role is not held under this term. */
  stepDown(role: string, term: number): boolean {
    if (this.get(role)?.term !== term) return false;
    this.context.steppedDown.add(role, term);
    return true;
  }

  /**
   * Returns the steady time in ms after which a machine that has not sent this process a heartbeat
   * has no tasks left.
   */
  fenceEndsAt({ record, role }: HeldRole): number {
    const { clock, timing } = this.context;
    const claimedTerm = this.claimedTerms.get(role);
    const seenAt = claimedTerm?.seenAt ?? clock.now();
    // A process that held the role under an earlier term answered workers until it saw the new
    // term.
    const startedAt = claimedTerm?.heldBefore ? seenAt : this.context.startedAt;
    return fenceEndsAt(record, { startedAt, seenAt }, clock.wall(), timing);
  }

  /**
   * Returns the current term with the revision at which it was first seen. Later revisions of the
   * role's key in the same term come from rewrites of the key, not from a new claim.
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
