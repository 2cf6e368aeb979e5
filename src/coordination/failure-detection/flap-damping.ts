/**
 * Flap damping, which stops a controller that often loses its registration from reclaiming its own
 * shard from the controller that holds it.
 */

import {
  FLAP_HALF_LIFE_MS,
  FLAP_PENALTY_MAX,
  FLAP_REUSE_PENALTY,
  FLAP_SUPPRESS_PENALTY,
} from '../../constants/failure-detection.js';
import type { Clock } from '../../transport/clock.js';

/**
 * A penalty that each lost registration raises by 1 and that decays exponentially. Damping begins
 * at `FLAP_SUPPRESS_PENALTY` and ends below `FLAP_REUSE_PENALTY`.
 */
export class FlapDamping {
  private penalty = 0;
  private penaltySetAt = 0;
  private isSuppressed = false;

  constructor(private readonly clock: Clock) {}

  /** Raises the penalty for a lost registration. */
  addLoss(): void {
    this.penalty = Math.min(FLAP_PENALTY_MAX, this.decayedPenalty() + 1);
    this.penaltySetAt = this.clock.now();
    if (this.penalty >= FLAP_SUPPRESS_PENALTY) this.isSuppressed = true;
  }

  /**
   * Whether this controller does not reclaim its own shard from the controller that holds it,
   * because it has lost its registration too often.
   */
  get isDamped(): boolean {
    if (this.isSuppressed && this.decayedPenalty() < FLAP_REUSE_PENALTY) this.isSuppressed = false;
    return this.isSuppressed;
  }

  private decayedPenalty(): number {
    const halfLives = (this.clock.now() - this.penaltySetAt) / FLAP_HALF_LIFE_MS;
    return this.penalty * 0.5 ** halfLives;
  }
}
