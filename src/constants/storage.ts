/** Constants, each with unit and reason. The client of the key-value store: time-outs, watches, limits and retries. */

/** Changes that the state service keeps for watches; a reading of all keys that took longer must be
 * begun anew. */
export const STORE_CHANGES_KEPT = 10_000;

/** ms; a state request is given up after this: answers take 10 ms, now and then a few hundred. */
export const STORE_TIMEOUT_MS = 2_000;

/** ms; a watch returns after this without a change, which confirms that the replica is current. */
export const WATCH_HOLD_MS = 1_000;

/** ms; least time between two watch requests, where the limits allow so many: changes close
 * together share one answer. */
export const WATCH_SPACING_MS = 60;

/** ms; first and longest pause after a failed request; the pause doubles in between. */
export const BACKOFF_FIRST_MS = 100;
export const BACKOFF_LAST_MS = 2_000;

/** ms; first and longest pause of what the state service called invalid: it stays so until limits or
 * records change, and others should not wait for it. */
export const REJECTED_PAUSE_FIRST_MS = 2_000;
export const REJECTED_PAUSE_LAST_MS = 60_000;

/** ms; a check that waited this long for its request goes before decisions: a third of the time that a
 * poll has. Few requests are needed, since many checks share one. */
export const CHECK_OVERDUE_MS = 500;

/** Share of a value's limit that is filled when records are cut to it: the state service may count
 * other spaces, escapes or digits than we do. */
export const VALUE_SHARE = 0.95;

/** Final states kept in memory; older ones are read from the state service again. */
export const MAX_CACHED_FINALS = 20_000;

/** Least part of its equal share of the state service's limits that a node keeps when refused. */
export const STORE_LIMIT_MIN_SHARE = 0.5;

/** Share of these limits that one node may use at the most, where the others leave it. */
export const STORE_LIMIT_MAX_SHARE = 0.8;

/** Share of a limit by which a node's part of it grows in a second in which work waits. */
export const STORE_LIMIT_GROWTH = 0.1;

/** Share of its equal part of the writes above which a node lets changes wait for others to join. */
export const WRITES_SCARCE_SHARE = 0.5;

/** Share of it above which they wait longest. */
export const WRITES_SHORT_SHARE = 0.85;

/** What is left of a node's part of a limit after a refusal. */
export const STORE_LIMIT_AFTER_REFUSAL = 0.7;

/** Share of the state service's requests that all members' watches may take together. */
export const WATCH_SHARE = 0.15;

/** Part of the usual spacing of watches that is kept where a peer says that there is news. */
export const HINTED_WATCH_SPACING_SHARE = 0.25;

/** ms; failures only count as being cut off after this long without a success. */
export const UNREACHABLE_AFTER_MS = 700;
