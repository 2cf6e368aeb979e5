/** Constants of failure detection between controllers and of flap damping. */

/**
 * Time in ms since the replica was last confirmed as current, within which the key-value store
 * counts as reachable. Watches return every second, and three in a row may fail.
 */
export const STORE_REACHABLE_MS = 3_000;

/** Minimum interval of step-down requests for one role in ms. An answer takes milliseconds. */
export const STEP_DOWN_RETRY_MS = 1_000;

/** Half-life in ms of the penalty that a controller gets for each loss of its registration. */
export const FLAP_HALF_LIFE_MS = 60_000;

/**
 * Penalty from which a controller leaves its shard with the current holder. The second loss of its
 * registration within a minute reaches it.
 */
export const FLAP_SUPPRESS_PENALTY = 1.5;

/** Decayed penalty below which a controller reclaims its shard again: 85 s after two losses. */
export const FLAP_REUSE_PENALTY = 0.75;

/** Maximum penalty, which limits the damping to two minutes after the last loss. */
export const FLAP_PENALTY_MAX = 3;

/** Interval in ms at which probe round-trip times are recorded. */
export const PROBE_TIMES_PERIOD_MS = 20_000;
