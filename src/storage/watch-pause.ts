/** The pause between two watch requests. */

import { HINTED_WATCH_SPACING_SHARE } from '../constants/storage.js';
import type { Clock } from '../transport/clock.js';

/** Spaces watch requests, so that changes close together share one response. */
export class WatchPause {
  private shortenCurrent: (() => void) | null = null;

  constructor(
    private readonly clock: Clock,
    private readonly spacingMs: number,
  ) {}

  /** Waits for the spacing, or its least share where a change `isHinted` or the pause is shortened. */
  wait(isHinted: boolean): Promise<void> {
    return new Promise((resolve) => {
      const minPauseMs = this.spacingMs * HINTED_WATCH_SPACING_SHARE;
      const startedAt = this.clock.now();
      const end = (): void => {
        this.shortenCurrent = null;
        resolve();
      };
      let cancel = this.clock.after(isHinted ? minPauseMs : this.spacingMs, end);
      this.shortenCurrent = () => {
        cancel();
        const elapsedMs = this.clock.now() - startedAt;
        cancel = this.clock.after(Math.max(0, minPauseMs - elapsedMs), end);
      };
    });
  }

  /** Shortens the current pause, if there is one, to its least share. */
  shorten(): void {
    this.shortenCurrent?.();
  }
}
