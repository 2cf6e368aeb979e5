/** Constants, each with unit and reason. Failure detection between controllers and flap damping. */

/** ms; the key-value store counts as reachable if the replica was current this recently: its watches
 * return every second, and three may fail. */
export const STORE_REACHABLE_MS = 3_000;

/** ms; interval of requests to one holder to step down: an answer takes milliseconds. */
export const STEP_DOWN_RETRY_MS = 1_000;

/** ms; half-life of the penalty for lost registrations, for a controller that wants its shard back. */
export const FLAP_HALF_LIFE_MS = 60_000;

/** Penalty from which a controller leaves its shard with the current holder: the second loss within
 * a minute. */
export const FLAP_SUPPRESS_PENALTY = 1.5;

/** Penalty, decayed, below which it reclaims its shard: 85 s after two losses. */
export const FLAP_REUSE_PENALTY = 0.75;

/** The greatest penalty, so that no controller is damped for longer than two minutes. */
export const FLAP_PENALTY_MAX = 3;

/** ms; interval at which probe round-trip times are recorded. */
export const PROBE_TIMES_PERIOD_MS = 20_000;
