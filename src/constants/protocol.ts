/** Constants, each with unit and reason. Bounds given by the protocol and the settings. */

/** Bytes; the protocol's limit for a request body. */
export const MAX_BODY_BYTES = 64 * 1024;

/** Tasks; the protocol's limit for one job. */
export const MAX_TASKS = 100_000;

/** Ratio; the protocol's bound for the drift between two steady clocks, doubled for two of them. */
export const CLOCK_DRIFT = 0.001;

/** Machines; the protocol's limit for one rental request. */
export const RENT_MAX = 50;

/** Machines; the protocol's limit for one return request. */
export const RETURN_MAX = 100;

/** Machines; the protocol's limit for one page of the machine list. */
export const LIST_PAGE = 500;

/** Guards per operation that the key-value store allows in one transaction. */
export const GUARDS_PER_OP = 4;

/** Bytes; a transaction may hold 64 KiB; the remainder is for names and punctuation. */
export const TRANSACTION_BYTES = 56 * 1024;

/** KiB; with smaller values an assignment of a few tasks, or a job, could not be stored. */
export const MIN_VALUE_KB = 0.5;

/** Bytes; a failure detector's message with eight updates and the longest names; larger are dropped. */
export const MAX_DETECTOR_MESSAGE_BYTES = 8 * 1024;
