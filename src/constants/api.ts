/** Constants of users' requests: time-outs, and limits of what may wait. */

/**
 * Time in ms within which submissions that arrive share a transaction. Job checks are sent after
 * this time at the earliest, so that they share a transaction too.
 */
export const GROUP_COMMIT_DELAY_MS = 15;

/** Times in ms that users wait for the answer to a poll, and to a submission or cancellation. */
export const USER_POLL_TIMEOUT_MS = 2_000;
export const USER_CHANGE_TIMEOUT_MS = 5_000;

/**
 * Time in ms that a poll, submission or cancellation waits for a check of its job. A poll then gets
 * 503, within the 2 s that users wait.
 */
export const JOB_CHECK_TIMEOUT_MS = 1_700;

/**
 * Time in ms that a poll waits for the response to a watch that is sent after the poll arrived. If
 * keys change all the time, two or three watches are answered within this time. If none is, the
 * poll is answered by a check of the job with the key-value store.
 */
export const FRESH_REPLICA_TIMEOUT_MS = 450;

/** Time in ms that a submission or cancellation may wait for its commit. Users wait 5 s. */
export const COMMIT_TIMEOUT_MS = 4_200;

/** Value in s of the header `Retry-After` in replies to requests that may succeed later. */
export const RETRY_AFTER_S = 1;

/**
 * Size in bytes of a submission in a transaction besides its job's record, for the keys of its
 * guards and of its change.
 */
export const SUBMISSION_OVERHEAD_BYTES = 400;

/** Maximum number of submissions that wait for their commit in one controller; more get 429. */
export const MAX_QUEUED_SUBMISSIONS = 256;

/** Maximum number of requests that wait for job checks in one controller; more get 503. */
export const MAX_WAITING_CHECKS = 512;

/**
 * Maximum number of jobs of one failed check that are read again at a time, so that most of the
 * sockets to the key-value store stay free for other requests.
 */
export const MAX_CONCURRENT_REREADS = 4;

/** Fraction of the store's request limit that the job checks of all controllers may take. */
export const CHECK_RATE_FRACTION = 0.1;
