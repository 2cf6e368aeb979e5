/** The reliability of this member's own observations (Lifeguard's local health multiplier). */

import { LATE_TICK_MS, MAX_LOCAL_HEALTH_SCORE } from './constants.js';

/**
 * A score from 0 (healthy) to `MAX_LOCAL_HEALTH_SCORE`. The higher it is, the longer this member's
 * probe time-outs.
 */
export class LocalHealth {
  private currentScore = 0;

  /** The current score; 0: healthy. */
  get score(): number {
    return this.currentScore;
  }

  /** Returns a time-out in ms, multiplied by the score plus one. */
  scaledTimeoutMs(timeoutMs: number): number {
    return timeoutMs * (this.currentScore + 1);
  }

  /** Lowers the score, because a probe was answered in time. */
  onProbeAnswered(): void {
    this.add(-1);
  }

  /**
   * Raises the score after a failed probe by the number of helpers that sent no answer at all, because
   * that suggests a fault of this member.
   */
  onProbeFailed(unansweredHelpers: number): void {
    this.add(unansweredHelpers);
  }

  /** Raises the score, because another member suspects this one. */
  onSuspected(): void {
    this.add(1);
  }

  /** Raises the score if a tick was late by `LATE_TICK_MS` or more, and returns whether it was. */
  onTick(latenessMs: number): boolean {
    if (latenessMs < LATE_TICK_MS) return false;
    this.add(Math.ceil(latenessMs / (LATE_TICK_MS * 4)));
    return true;
  }

  private add(points: number): void {
    this.currentScore = Math.min(MAX_LOCAL_HEALTH_SCORE, Math.max(0, this.currentScore + points));
  }
}
