/** Keeps, for each role from which this process stepped down, the term under which it did. */

import { STEP_DOWN_UNCLAIMED_MS } from '../../constants/election.js';
import type { Clock } from '../../transport/clock.js';

interface SteppedDownTerm {
  readonly term: number;
  /** Steady time of the step-down in ms. */
  readonly steppedDownAt: number;
}

/**
 * The last term of each role from which this process stepped down. This process no longer acts in
 * that term.
 */
export class SteppedDownRoles {
  private readonly terms = new Map<string, SteppedDownTerm>();

  constructor(private readonly clock: Clock) {}

  /** Records that this process stepped down from the role under this term. */
  add(role: string, term: number): void {
    this.terms.set(role, { term, steppedDownAt: this.clock.now() });
  }

  /** Returns whether this process stepped down from the role under this term. */
  has(role: string, term: number): boolean {
    return this.terms.get(role)?.term === term;
  }

  /**
   * Returns whether the step-down was at least `STEP_DOWN_UNCLAIMED_MS` ago. This process may then
   * claim the role under a new term, because no other controller has claimed it.
   */
  isUnclaimed(role: string, term: number): boolean {
    const steppedDown = this.terms.get(role);
    if (steppedDown?.term !== term) return false;
    return this.clock.now() - steppedDown.steppedDownAt >= STEP_DOWN_UNCLAIMED_MS;
  }
}
