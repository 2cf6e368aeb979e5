/** Limits that the protocol sets, and limits that follow from the settings. */

/** The protocol's limit for a request body, in bytes. */
export const MAX_BODY_BYTES = 64 * 1024;

/** The protocol's limit for the number of tasks of a job. */
export const MAX_TASKS = 100_000;

/**
 * Maximum drift between two steady clocks, as a fraction: twice the protocol's bound for one clock.
 */
export const MAX_CLOCK_DRIFT_FRACTION = 0.001;

/** The protocol's limit for the number of machines in one rental request. */
export const MAX_MACHINES_PER_RENTAL = 50;

/** The protocol's limit for the number of machines in one return request. */
export const MAX_MACHINES_PER_RETURN = 100;

/** The protocol's limit for the number of machines in one page of the list of rented machines. */
export const MACHINE_LIST_PAGE_SIZE = 500;

/** Number of guards that a transaction may have for each write that the setting `txn_ops` allows. */
export const GUARDS_PER_OP = 4;

/**
 * Maximum size in bytes of the keys and values in one transaction. The key-value store allows
 * 64 KiB; the rest is for field names and punctuation.
 */
export const MAX_TRANSACTION_BYTES = 56 * 1024;

/**
 * Smallest accepted limit in KiB for the size of values. With a lower one, a job or an assignment
 * of a few tasks could not be stored.
 */
export const MIN_VALUE_KB = 0.5;

/**
 * Maximum size in bytes of a failure detector's message, which is enough for eight updates and the
 * longest names. Larger messages are dropped.
 */
export const MAX_DETECTOR_MESSAGE_BYTES = 8 * 1024;
