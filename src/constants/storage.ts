/** Constants of the key-value store's client: time-outs, watches, rate limits and retries. */

/**
 * Number of changes that the key-value store keeps for watches. A listing of all keys during which
 * more changes are made must be started again.
 */
export const STORE_CHANGES_KEPT = 10_000;

/** Time-out of a request to the store in ms. Responses take 10 ms, sometimes a few hundred. */
export const STORE_TIMEOUT_MS = 2_000;

/**
 * Time in ms after which a watch without a change returns, which confirms that the replica is
 * current.
 */
export const WATCH_HOLD_MS = 1_000;

/**
 * Minimum time in ms between two watch requests, as far as the rate limits allow so many. Changes
 * that are close together share one response.
 */
export const WATCH_SPACING_MS = 60;

/** First pause in ms after a failed request. The pause doubles with each further failure. */
export const BACKOFF_FIRST_MS = 100;
/** Longest pause in ms after a failed request. */
export const BACKOFF_MAX_MS = 2_000;

/**
 * First pause in ms of a change that the store rejected as invalid. The change stays invalid until
 * limits or records change, and other changes must not wait for it.
 */
export const REJECTED_PAUSE_FIRST_MS = 2_000;
/** Longest pause in ms of a change that the store rejected as invalid. */
export const REJECTED_PAUSE_MAX_MS = 60_000;

/**
 * Waiting time in ms after which a user's job check precedes requests of the leader and the shards:
 * a third of the time limit of a poll. Such checks need few requests, because many share one.
 */
export const CHECK_OVERDUE_MS = 500;

/**
 * Fraction of the size limit up to which a value is filled when records are split. The store may
 * count spaces, escapes or digits differently.
 */
export const VALUE_FILL_FRACTION = 0.95;

/** Number of final records cached in memory. Older ones are read from the store again. */
export const MAX_CACHED_FINAL_RECORDS = 20_000;

/**
 * Minimum rate that a controller keeps after refusals, as a fraction of its equal share of one of
 * the store's rate limits.
 */
export const STORE_LIMIT_MIN_FRACTION = 0.5;

/**
 * Maximum rate of one controller as a fraction of one of the store's rate limits, if the other
 * controllers use less.
 */
export const STORE_LIMIT_MAX_FRACTION = 0.8;

/**
 * Growth of a controller's rate in a second in which requests wait, as a fraction of the store's
 * rate limit.
 */
export const STORE_LIMIT_GROWTH_FRACTION = 0.1;

/**
 * A controller that uses more than this fraction of its equal share of the store's write limit
 * delays changes to batch them.
 */
export const WRITES_SCARCE_FRACTION = 0.5;

/**
 * A controller that uses more than this fraction of its equal share of the store's write limit
 * delays changes the longest.
 */
export const WRITES_SHORT_FRACTION = 0.85;

/** Factor by which a refusal of a request by the store lowers a controller's rate. */
export const STORE_LIMIT_REFUSAL_FACTOR = 0.7;

/** Fraction of the store's request limit that the watches of all members may use together. */
export const WATCH_LIMIT_FRACTION = 0.15;

/** Fraction of the usual spacing of watches that remains after a peer announced a change. */
export const ANNOUNCED_WATCH_SPACING_FRACTION = 0.25;

/**
 * Time in ms since the last successful request after which the store counts as unreachable, if the
 * last request failed.
 */
export const UNREACHABLE_AFTER_MS = 700;
