/** The clock: the only way in which the program reads time or waits. */

/** Time as the program sees it; tests put simulated time in its place. */
export interface Clock {
  /** Steady (monotonic) time in ms from an arbitrary start; drifts by the protocol's bound. */
  now(): number;
  /** Wall-clock time in ms, right only within the settings' bound. */
  wall(): number;
  /** Calls back once after a delay in ms; the result cancels it. */
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

/** Resolves after a delay in ms of this clock. */
export function sleep(clock: Clock, ms: number): Promise<void> {
  return new Promise((resolve) => clock.after(ms, resolve));
}
