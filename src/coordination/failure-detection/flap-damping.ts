/** Damps a node that loses its registration again and again. */

import {
  FLAP_HALF_LIFE_MS,
  FLAP_PENALTY_MAX,
  FLAP_REUSE_PENALTY,
  FLAP_SUPPRESS_PENALTY,
} from '../../constants/failure-detection.js';
import type { Clock } from '../../transport/clock.js';

/** A penalty that grows with each loss and decays; suppressed above one bound until below another. */
export class FlapDamping {
  private penalty = 0;
  private penaltySetAt = 0;
  private isSuppressed = false;

  constructor(private readonly clock: Clock) {}

  /** The registration was lost once more. */
  addLoss(): void {
    this.penalty = Math.min(FLAP_PENALTY_MAX, this.decayedPenalty() + 1);
    this.penaltySetAt = this.clock.now();
    if (this.penalty >= FLAP_SUPPRESS_PENALTY) this.isSuppressed = true;
  }

  /** Whether this node should leave its part with the one that has it. */
  get isDamped(): boolean {
    if (this.isSuppressed && this.decayedPenalty() < FLAP_REUSE_PENALTY) this.isSuppressed = false;
    return this.isSuppressed;
  }

  private decayedPenalty(): number {
    const halfLives = (this.clock.now() - this.penaltySetAt) / FLAP_HALF_LIFE_MS;
    return this.penalty * 0.5 ** halfLives;
  }
}
