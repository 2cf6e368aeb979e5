/** Roles that this process stepped down from on request, and under which term. */

import { STEP_DOWN_UNCLAIMED_MS } from '../../constants/election.js';
import type { Clock } from '../../transport/clock.js';

interface SteppedDownTerm {
  readonly term: number;
  /** Steady time in ms. */
  readonly steppedDownAt: number;
}

/** Under a term that it stepped down from, this process never acts or answers again. */
export class SteppedDownRoles {
  private readonly terms = new Map<string, SteppedDownTerm>();

  constructor(private readonly clock: Clock) {}

  /** Steps down from a role under this term. */
  add(role: string, term: number): void {
    this.terms.set(role, { term, steppedDownAt: this.clock.now() });
  }

  /** Whether this process stepped down from the role under this term. */
  has(role: string, term: number): boolean {
    return this.terms.get(role)?.term === term;
  }

  /** Whether nobody claimed the role for so long that this process may claim it under a new term. */
  isUnclaimed(role: string, term: number): boolean {
    const steppedDown = this.terms.get(role);
    if (steppedDown?.term !== term) return false;
    return this.clock.now() - steppedDown.steppedDownAt >= STEP_DOWN_UNCLAIMED_MS;
  }
}
