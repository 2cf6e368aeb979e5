/** Waits between two watch requests to the key-value store, less if a change was announced. */

import { ANNOUNCED_WATCH_SPACING_FRACTION } from '../constants/storage.js';
import type { Clock } from '../transport/clock.js';

/**
 * Pauses between two watch requests, so that several changes that are made during the pause come in
 * one response.
 */
export class WatchPause {
  private shortenCurrent: (() => void) | null = null;

  constructor(
    private readonly clock: Clock,
    private readonly spacingMs: number,
  ) {}

  /**
   * Waits for `spacingMs`. If `isChangeAnnounced` is true or `shorten` is called, the wait is
   * reduced to `ANNOUNCED_WATCH_SPACING_FRACTION` of `spacingMs`.
   */
  wait(isChangeAnnounced: boolean): Promise<void> {
    return new Promise((resolve) => {
      const minPauseMs = this.spacingMs * ANNOUNCED_WATCH_SPACING_FRACTION;
      const startedAt = this.clock.now();
      const end = (): void => {
        this.shortenCurrent = null;
        resolve();
      };
      let cancel = this.clock.after(isChangeAnnounced ? minPauseMs : this.spacingMs, end);
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
