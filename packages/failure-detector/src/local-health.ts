/** How far this member can trust its own observations (Lifeguard's local health multiplier). */

import { LATE_TICK_MS, MAX_LOCAL_HEALTH_SCORE } from './constants.js';

/** A score from 0 (healthy) upwards: a slow observer waits longer before it suspects others. */
export class LocalHealth {
  private currentScore = 0;

  /** 0: healthy. */
  get score(): number {
    return this.currentScore;
  }

  /** A time-out in ms, as long as this member's health asks for. */
  scaledTimeoutMs(timeoutMs: number): number {
    return timeoutMs * (this.currentScore + 1);
  }

  /** A probe was answered. */
  onProbeAnswered(): void {
    this.add(-1);
  }

  /** A probe failed; each helper that did not even report that is a sign that this member is at fault. */
  onProbeFailed(silentHelpers: number): void {
    this.add(silentHelpers);
  }

  /** Others suspected this member. */
  onSuspected(): void {
    this.add(1);
  }

  /** A tick was late by so many ms; returns whether that is more than timers usually are. */
  onTick(latenessMs: number): boolean {
    if (latenessMs < LATE_TICK_MS) return false;
    this.add(Math.ceil(latenessMs / (LATE_TICK_MS * 4)));
    return true;
  }

  private add(points: number): void {
    this.currentScore = Math.min(MAX_LOCAL_HEALTH_SCORE, Math.max(0, this.currentScore + points));
  }
}
