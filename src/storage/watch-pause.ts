/** Waits between two watch requests. */

import { HINTED_WATCH_SPACING_SHARE } from '../constants/storage.js';
import type { Clock } from '../transport/clock.js';

/** Pauses between watch requests, so that changes that are close together share one response. */
export class WatchPause {
  private shortenCurrent: (() => void) | null = null;

  constructor(
    private readonly clock: Clock,
    private readonly spacingMs: number,
  ) {}

  /**
   * Waits for `spacingMs`. If a change was announced (`isHinted`) or `shorten` is called, the wait is
   * reduced to `HINTED_WATCH_SPACING_SHARE` of that.
   */
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

  /** Shortens the current pause, if there is one. */
  shorten(): void {
    this.shortenCurrent?.();
  }
}
