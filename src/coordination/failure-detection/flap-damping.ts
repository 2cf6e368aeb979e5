/** Damps a node that loses its registration again and again. */

import {
  FLAP_HALF_LIFE_MS,
  FLAP_MOST,
  FLAP_REUSE,
  FLAP_SUPPRESS,
} from '../../constants/failure-detection.js';
import type { Clock } from '../../transport/clock.js';

/** A penalty that grows with each loss and decays; suppressed above one bound until below another. */
export class FlapDamping {
  private penalty = 0;
  private countedAt = 0;
  private suppressed = false;

  constructor(private readonly clock: Clock) {}

  /** The registration was lost once more. */
  lost(): void {
    this.penalty = Math.min(FLAP_MOST, this.decayed() + 1);
    this.countedAt = this.clock.now();
    if (this.penalty >= FLAP_SUPPRESS) this.suppressed = true;
  }

  /** Whether this node should leave its part with the one that has it. */
  get isDamped(): boolean {
    if (this.suppressed && this.decayed() < FLAP_REUSE) this.suppressed = false;
    return this.suppressed;
  }

  private decayed(): number {
    const halfLives = (this.clock.now() - this.countedAt) / FLAP_HALF_LIFE_MS;
    return this.penalty * 0.5 ** halfLives;
  }
}
