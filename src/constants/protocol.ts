/** Limits that the protocol sets, and limits that follow from the settings. */

/** Bytes; the protocol's limit for a request body. */
export const MAX_BODY_BYTES = 64 * 1024;

/** Tasks; the protocol's limit for one job. */
export const MAX_TASKS = 100_000;

/**
 * Fraction; the maximum drift between two steady clocks: twice the protocol's bound for one clock.
 */
export const MAX_CLOCK_DRIFT_FRACTION = 0.001;

/** Machines; the protocol's limit for one rental request. */
export const MAX_MACHINES_PER_RENTAL = 50;

/** Machines; the protocol's limit for one return request. */
export const MAX_MACHINES_PER_RETURN = 100;

/** Machines; the protocol's limit for one page of the list of rented machines. */
export const MACHINE_LIST_PAGE_SIZE = 500;

/** Guards that a transaction may have for each write that the setting `txn_ops` allows. */
export const GUARDS_PER_OP = 4;

/**
 * Bytes of keys and values in one transaction. The key-value store allows 64 KiB; the rest is for
 * field names and punctuation.
 */
export const MAX_TRANSACTION_BYTES = 56 * 1024;

/**
 * KiB; the smallest accepted limit for the size of values. With a lower one, a job or an assignment
 * of a few tasks could not be stored.
 */
export const MIN_VALUE_KB = 0.5;

/**
 * Bytes; enough for a failure detector's message with eight updates and the longest names. Larger
 * messages are dropped.
 */
export const MAX_DETECTOR_MESSAGE_BYTES = 8 * 1024;
