/** How far this member can trust its own observations (Lifeguard's local health multiplier). */

import { LAG_MS, LOCAL_HEALTH_WORST } from './constants.js';

/** A score from 0 (healthy) upwards: a slow observer waits longer before it suspects others. */
export class LocalHealth {
  private current = 0;

  /** 0: healthy. */
  get score(): number {
    return this.current;
  }

  /** A time-out in ms, as long as this member's health asks for. */
  scaled(timeoutMs: number): number {
    return timeoutMs * (this.current + 1);
  }

  /** A probe was answered. */
  probeAnswered(): void {
    this.add(-1);
  }

  /** A probe failed; each helper that did not even report that is a sign that this member is at fault. */
  probeFailed(silentHelpers: number): void {
    this.add(silentHelpers);
  }

  /** Others suspected this member. */
  suspectedByOthers(): void {
    this.add(1);
  }

  /** A tick was late by so many ms; returns whether that is more than timers usually are. */
  lagged(latenessMs: number): boolean {
    if (latenessMs < LAG_MS) return false;
    this.add(Math.ceil(latenessMs / (LAG_MS * 4)));
    return true;
  }

  private add(points: number): void {
    this.current = Math.min(LOCAL_HEALTH_WORST, Math.max(0, this.current + points));
  }
}
