/** Constants of users' requests: time-outs, and limits of what may wait. */

/**
 * ms; submissions that arrive within this time share a transaction. Job checks are sent after this
 * time at the earliest, so that they share one too.
 */
export const GROUP_COMMIT_DELAY_MS = 15;

/** ms; how long users wait for the answer to a poll, and to a submission or cancellation. */
export const USER_POLL_TIMEOUT_MS = 2_000;
export const USER_CHANGE_TIMEOUT_MS = 5_000;

/**
 * ms; a poll, submission or cancellation waits this long for a check of its job. A poll then gets
 * 503, within the 2 s that users wait.
 */
export const JOB_CHECK_TIMEOUT_MS = 1_700;

/**
 * ms; a poll waits this long for the response to a watch that is sent after the poll arrived. Where
 * keys change all the time, two or three watches are answered within it. Where none is, the poll is
 * answered by a check of the job with the key-value store.
 */
export const FRESH_REPLICA_TIMEOUT_MS = 450;

/** ms; a submission or cancellation may wait this long for its commit (users wait 5 s). */
export const COMMIT_TIMEOUT_MS = 4_200;

/** s; value of the header `Retry-After` in replies to requests that may succeed later. */
export const RETRY_AFTER_S = 1;

/**
 * Bytes that a submission takes in a transaction besides its job's record, for its keys, which are
 * contained twice.
 */
export const SUBMISSION_OVERHEAD_BYTES = 400;

/** Submissions waiting for their commit in one controller; more get 429. */
export const MAX_QUEUED_SUBMISSIONS = 256;

/** Requests waiting for job checks in one controller; more get 503. */
export const MAX_WAITING_CHECKS = 512;

/**
 * Jobs of one failed check that are read again at a time, so that most of the sockets to the
 * key-value store stay free for other requests.
 */
export const MAX_CONCURRENT_REREADS = 4;

/** Fraction of the store's limit of requests that the job checks of all controllers may take. */
export const CHECK_RATE_FRACTION = 0.1;
