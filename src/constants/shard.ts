/**
 * Constants of a shard: batching of its writes, commands to machines, handling of failures, and the
 * return of waiting tasks to the leader.
 */

/**
 * Time in ms that a non-urgent placement waits to share a write with others, by the supply of
 * writes to the key-value store. The delay is a fiftieth of a short task's run time when writes are
 * scarce, and negligible when they are plentiful.
 */
export const PLACEMENT_BATCH_MS = { plenty: 60, scarce: 500, short: 1_200 };

/**
 * Time in ms that the end of a task waits to share a write with other ends of the same assignment,
 * by the supply of writes to the key-value store. The last ends of an assignment wait only
 * `PLACEMENT_BATCH_MS`, because users expect the state `done` within 3 s.
 */
export const COMPLETION_BATCH_MS = { plenty: 300, scarce: 2_500, short: 5_000 };

/**
 * Age in ms up to which a non-urgent change is written only if the store's rate limits have free
 * capacity, so that urgent changes come first. An older change queues for the rate limits like any
 * other request.
 */
export const MAX_WRITE_DELAY_MS = 3_000;

/**
 * Interval in ms at which a shard looks for machines that were returned to the cloud or whose lease
 * has expired.
 */
export const LOST_MACHINE_SWEEP_INTERVAL_MS = 250;

/**
 * Minimum interval in ms between two writes of the status of a shard's machines, by the supply of
 * writes to the key-value store.
 */
export const STATUS_INTERVAL_MS = { plenty: 500, scarce: 2_000, short: 3_000 };

/**
 * Number of bytes that an assignment takes in a transaction besides its placed tasks: its record,
 * keys and guards.
 */
export const ASSIGNMENT_OVERHEAD_BYTES = 600;

/**
 * Pause in ms of an assignment whose pieces don't fit into one transaction. Some of its tasks end
 * during the pause, and without the pause the assignment would be split again in each
 * reconciliation.
 */
export const OVERSIZED_ASSIGNMENT_RETRY_MS = 1_000;

/**
 * Maximum number of commands in one answer to a heartbeat, which keeps the answer far below 64 KiB.
 */
export const MAX_COMMANDS_PER_ANSWER = 300;

/**
 * First pause in s of a job whose tasks fail. The pause doubles with each further failure in a row.
 */
export const MIN_FAILURE_BACKOFF_S = 2;
/** Longest pause in s of a job whose tasks fail. */
export const MAX_FAILURE_BACKOFF_S = 60;

/**
 * Number of different jobs whose tasks failed on one machine, without a success in between, from
 * which the machine counts as faulty.
 */
export const FAULTY_MACHINE_FAILED_JOBS = 3;

/**
 * Time in ms that an urgent task, or a gang subset that is urgent or infeasible, waits for machines
 * in its shard before it is returned to the leader.
 */
export const UNPLACED_RELEASE_MS = 4_000;

/**
 * Time in ms that a non-urgent task waits in its shard before it is returned to the leader. The
 * leader queues such tasks in a shard before capacity is free. The time is three times the time
 * that such a queue covers (`QUEUE_AHEAD_S`), so that only tasks that the shard can no longer run
 * are returned.
 */
export const QUEUED_RELEASE_MS = 24_000;

/**
 * Number of heartbeat intervals without a heartbeat after which a machine counts as silent and gets
 * no new tasks.
 */
export const MAX_MISSED_HEARTBEATS = 3;
