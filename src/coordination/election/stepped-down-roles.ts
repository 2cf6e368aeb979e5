/** Roles that this process gave up when it was asked to, by the term in which it held them. */

import { STEP_DOWN_UNCLAIMED_MS } from '../../constants/election.js';
import type { Clock } from '../../transport/clock.js';

interface SteppedDownTerm {
  readonly term: number;
  readonly steppedDownAt: number;
}

/** Under a term that it gave up, this process acts and answers no more, whatever it learns later. */
export class SteppedDownRoles {
  private readonly terms = new Map<string, SteppedDownTerm>();

  constructor(private readonly clock: Clock) {}

  /** Gives a role up under this term. */
  add(role: string, term: number): void {
    this.terms.set(role, { term, steppedDownAt: this.clock.now() });
  }

  /** Whether this process gave the role up under this term. */
  has(role: string, term: number): boolean {
    return this.terms.get(role)?.term === term;
  }

  /** Whether nobody has followed for so long that this process may go on, under a new term. */
  isUnclaimed(role: string, term: number): boolean {
    const steppedDown = this.terms.get(role);
    if (steppedDown?.term !== term) return false;
    return this.clock.now() - steppedDown.steppedDownAt >= STEP_DOWN_UNCLAIMED_MS;
  }
}
