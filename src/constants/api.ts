/**
 * Constants, each with unit and reason. Users' requests: how long they may wait, and how many may.
 */

/** ms; submissions that come within this time share a transaction; checks too, at the least. */
export const GROUP_COMMIT_DELAY_MS = 15;

/** ms; how long users wait for the answer to a poll, and to a submission or cancellation. */
export const USER_POLL_TIMEOUT_MS = 2_000;
export const USER_CHANGE_TIMEOUT_MS = 5_000;

/** ms; a poll may wait this long for its check before it is answered 503 (users wait 2 s). */
export const JOB_CHECK_TIMEOUT_MS = 1_700;

/**
 * ms; a poll waits this long for a watch request sent after it came: two or three of them where
 * there are changes all the time. Where there are none it asks the key-value store itself.
 */
export const FRESH_REPLICA_TIMEOUT_MS = 450;

/** ms; a submission or cancellation may wait this long for its commit (users wait 5 s). */
export const COMMIT_TIMEOUT_MS = 4_200;

/** s; what a user is told to wait before asking again. */
export const RETRY_AFTER_S = 1;

/** Bytes that a submission takes in a transaction beside its job's record: its keys, twice. */
export const SUBMISSION_OVERHEAD_BYTES = 400;

/** Submissions waiting for their commit in one controller; more get 429. */
export const MAX_QUEUED_SUBMISSIONS = 256;

/** Polls and other checks waiting in one controller; more get 503. */
export const MAX_WAITING_CHECKS = 512;

/**
 * Jobs read again at a time after their checks failed: few of the sockets to the key-value store.
 */
export const MAX_CONCURRENT_REREADS = 4;

/** Share of the store's request rate that all members' checks for users may take together. */
export const CHECK_RATE_SHARE = 0.1;
