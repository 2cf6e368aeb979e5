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
 * Penalty from which on a controller does not reclaim its own shard from the controller that holds
 * it. A controller has this penalty once it loses its registration twice within a minute.
 */
export const FLAP_SUPPRESS_PENALTY = 1.5;

/**
 * Penalty below which a controller reclaims its own shard again. If it lost its
 * registration twice in quick succession, the penalty falls to this value in 85 s.
 */
export const FLAP_REUSE_PENALTY = 0.75;

/**
 * Maximum penalty. It decays to `FLAP_REUSE_PENALTY` in two minutes, so that a controller may
 * reclaim its own shard at the latest two minutes after it last lost its registration.
 */
export const FLAP_PENALTY_MAX = 3;

/** Interval in ms at which probe round-trip times are recorded. */
export const PROBE_TIMES_PERIOD_MS = 20_000;
