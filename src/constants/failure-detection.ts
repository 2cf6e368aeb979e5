/** Constants, each with unit and reason. Failure detection between controllers and flap damping. */

/** ms; a node whose replica was current so lately counts as answered by the state service: its watches
 * return every second, and three may fail. */
export const STORE_REACHABLE_MS = 3_000;

/** ms; a holder is asked to stand down this often: an answer takes milliseconds. */
export const STEP_DOWN_RETRY_MS = 1_000;

/** ms; half-life of what lost registrations count against a node that wants its part back. */
export const FLAP_HALF_LIFE_MS = 60_000;

/** Losses above which a node leaves its part with the one that has it: the second within a minute. */
export const FLAP_SUPPRESS_PENALTY = 1.5;

/** Losses, decayed, below which it takes its part back: 85 s after two. */
export const FLAP_REUSE_PENALTY = 0.75;

/** Losses that count at the most, so that no node is damped for longer than two minutes. */
export const FLAP_PENALTY_MAX = 3;

/** ms; times of probes are recorded this often. */
export const PROBE_TIMES_PERIOD_MS = 20_000;
