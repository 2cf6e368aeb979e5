/** Constants, each with unit and reason. The key-value store's client: time-outs, watches, limits and retries. */

/** Changes that the key-value store keeps for watches; a full reading that spans more of them must be
 * started again. */
export const STORE_CHANGES_KEPT = 10_000;

/** ms; time-out of a request to the store: responses take 10 ms, now and then a few hundred. */
export const STORE_TIMEOUT_MS = 2_000;

/** ms; a watch returns after this without a change, which confirms that the replica is current. */
export const WATCH_HOLD_MS = 1_000;

/** ms; least time between two watch requests, where the limits allow so many: changes close
 * together share one response. */
export const WATCH_SPACING_MS = 60;

/** ms; first and longest pause after a failed request; the pause doubles in between. */
export const BACKOFF_FIRST_MS = 100;
export const BACKOFF_LAST_MS = 2_000;

/** ms; first and longest pause of a change that the store rejected as invalid: it stays invalid until
 * limits or records change, and other changes should not wait for it. */
export const REJECTED_PAUSE_FIRST_MS = 2_000;
export const REJECTED_PAUSE_LAST_MS = 60_000;

/** ms; a user's check that waited this long for its request precedes decisions: a third of the time
 * that a poll has. This takes few requests, since many checks share one. */
export const CHECK_OVERDUE_MS = 500;

/** Share of a value's limit that is filled when records are split: the store may count spaces, escapes
 * or digits differently. */
export const VALUE_SHARE = 0.95;

/** Final records cached in memory; older ones are read from the store again. */
export const MAX_CACHED_FINALS = 20_000;

/** Least part of its equal share of the store's limits that a controller keeps after refusals. */
export const STORE_LIMIT_MIN_SHARE = 0.5;

/** Share of these limits that one controller may use at most, where the others leave it. */
export const STORE_LIMIT_MAX_SHARE = 0.8;

/** Share of a limit by which a controller's rate grows in a second in which requests wait. */
export const STORE_LIMIT_GROWTH = 0.1;

/** Share of its equal share of writes above which a controller delays changes to batch them. */
export const WRITES_SCARCE_SHARE = 0.5;

/** Share of it above which changes are delayed longest. */
export const WRITES_SHORT_SHARE = 0.85;

/** Factor of a controller's rate after a refusal. */
export const STORE_LIMIT_AFTER_REFUSAL = 0.7;

/** Share of the store's request limit that all members' watches may take together. */
export const WATCH_SHARE = 0.15;

/** Share of the usual spacing of watches that is kept after a peer announced a change. */
export const HINTED_WATCH_SPACING_SHARE = 0.25;

/** ms; the store counts as unreachable after this long without a success. */
export const UNREACHABLE_AFTER_MS = 700;
