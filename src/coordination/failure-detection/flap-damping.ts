/** Flap damping: a controller that keeps losing its registration stops reclaiming its shard. */

import {
  FLAP_HALF_LIFE_MS,
  FLAP_PENALTY_MAX,
  FLAP_REUSE_PENALTY,
  FLAP_SUPPRESS_PENALTY,
} from '../../constants/failure-detection.js';
import type { Clock } from '../../transport/clock.js';

/** A penalty that grows with each loss and decays, with hysteresis between two bounds. */
export class FlapDamping {
  private penalty = 0;
  private penaltySetAt = 0;
  private isSuppressed = false;

  constructor(private readonly clock: Clock) {}

  /** Adds a lost registration to the penalty. */
  addLoss(): void {
    this.penalty = Math.min(FLAP_PENALTY_MAX, this.decayedPenalty() + 1);
    this.penaltySetAt = this.clock.now();
    if (this.penalty >= FLAP_SUPPRESS_PENALTY) this.isSuppressed = true;
  }

  /** Whether this controller should leave its shard with the current holder. */
  get isDamped(): boolean {
    if (this.isSuppressed && this.decayedPenalty() < FLAP_REUSE_PENALTY) this.isSuppressed = false;
    return this.isSuppressed;
  }

  private decayedPenalty(): number {
    const halfLives = (this.clock.now() - this.penaltySetAt) / FLAP_HALF_LIFE_MS;
    return this.penalty * 0.5 ** halfLives;
  }
}
