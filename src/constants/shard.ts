/** Constants of a shard: heartbeats, commands to machines, and writes of the shard's state. */

/**
 * ms; time that a non-urgent placement waits to share a write with others, by the supply of writes.
 * The delay is a fiftieth of a short task's run time when writes are scarce, and negligible when
 * they are plentiful.
 */
export const PLACEMENT_BATCH_MS = { plenty: 60, scarce: 500, short: 1_200 };

/**
 * ms; time that the end of a task waits to share a write with other ends of the same assignment, by
 * the supply of writes. The last ends of an assignment wait only `PLACEMENT_BATCH_MS`, because
 * users expect the state `done` within 3 s.
 */
export const COMPLETION_BATCH_MS = { plenty: 300, scarce: 2_500, short: 5_000 };

/**
 * ms; a non-urgent change of at most this age is written only if the store's rate limits have free
 * capacity, so that urgent changes come first. An older change queues for the rate limits like any
 * other request.
 */
export const MAX_WRITE_DELAY_MS = 3_000;

/**
 * ms; interval at which a shard looks for machines that were returned to the cloud or whose lease
 * has expired.
 */
export const LOST_MACHINE_SWEEP_INTERVAL_MS = 250;

/**
 * ms; minimum interval between two writes of the status of a shard's machines, by the supply of
 * writes.
 */
export const STATUS_INTERVAL_MS = { plenty: 500, scarce: 2_000, short: 3_000 };

/**
 * Bytes that an assignment takes in a transaction besides its placed tasks: its record, keys and
 * guards.
 */
export const ASSIGNMENT_OVERHEAD_BYTES = 600;

/**
 * ms; pause of an assignment whose pieces don't fit into one transaction. Some of its tasks end
 * during the pause, and without it the assignment would be split again in each reconciliation.
 */
export const OVERSIZED_ASSIGNMENT_RETRY_MS = 1_000;

/** Maximum number of commands in one answer to a heartbeat; keeps the answer far below 64 KiB. */
export const MAX_COMMANDS_PER_ANSWER = 300;

/**
 * s; shortest and longest pause of a job whose tasks fail. Each failure in a row doubles the pause.
 */
export const MIN_FAILURE_BACKOFF_S = 2;
export const MAX_FAILURE_BACKOFF_S = 60;

/**
 * Number of different jobs whose tasks failed on one machine, without a success in between, from
 * which the machine counts as faulty.
 */
export const FAULTY_MACHINE_FAILED_JOBS = 3;

/**
 * ms; an urgent task, or a gang subset that is urgent or infeasible, is returned to the leader
 * after it has waited this long for machines in its shard.
 */
export const UNPLACED_RELEASE_MS = 4_000;

/**
 * ms; a non-urgent task is returned to the leader after it has waited this long in its shard. The
 * leader queues such tasks in a shard before capacity is free. The time is three times the time
 * that such a queue covers (`QUEUE_AHEAD_S`), so that only tasks that the shard can no longer run
 * are returned.
 */
export const QUEUED_RELEASE_MS = 24_000;

/**
 * Heartbeat intervals without a heartbeat after which a machine counts as silent and gets no new
 * tasks.
 */
export const MAX_MISSED_HEARTBEATS = 3;
