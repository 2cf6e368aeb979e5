/** The clock through which the program reads time and waits, so that tests can simulate time. */

/** Steady time, time of day and timers; tests pass a simulated clock. */
export interface Clock {
  /** Steady (monotonic) time in ms from an arbitrary start; the protocol bounds its drift. */
  now(): number;
  /** Time of day in ms since 1970; the setting `skew_ms` bounds its error. */
  wall(): number;
  /** Calls `callback` once after a delay in ms; the returned function cancels the timer. */
  after(delayMs: number, callback: () => void): () => void;
}

/** The clock of the operating system. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
  after: (delayMs, callback) => {
    const timer = setTimeout(callback, delayMs);
    return () => clearTimeout(timer);
  },
};

/** Resolves after `ms` milliseconds of the given clock. */
export function sleep(clock: Clock, ms: number): Promise<void> {
  return new Promise((resolve) => clock.after(ms, resolve));
}
