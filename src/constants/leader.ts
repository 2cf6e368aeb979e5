/**
 * Constants, each with unit and reason. Assignment of tasks to shards, scheduling order, quotas.
 */

/**
 * ms; span of arrivals of non-urgent work from which more of it is forecast: some dozens of jobs.
 */
export const ARRIVAL_WINDOW_MS = 90_000;

/**
 * Bytes that a placed task may take in the record of its assignment (number, machine, an attempt of
 * up to 14 digits); bounds the tasks of an assignment. Fewer, larger assignments need fewer writes.
 */
export const ASSIGNMENT_TASK_BYTES = 36;

/**
 * Bytes of an assignment record besides its placed tasks: its fields, and the ranges of its tasks.
 */
export const ASSIGNMENT_BASE_BYTES = 250;

/**
 * s; non-urgent work is queued in a shard for the capacity that becomes free within this time:
 * longer than it takes from a task's end over the leader to a new assignment, so that no machine
 * idles and assignments are not small.
 */
export const QUEUE_AHEAD_S = 8;

/** A queue is refilled when what waits is at most this many times what is missing. */
export const QUEUE_REFILL_FACTOR = 1;

/**
 * ms; minimum interval between assignments of a non-urgent job, by the supply of writes. Shards
 * queue `QUEUE_AHEAD_S` ahead, so that larger assignments idle no machines where writes are short.
 */
export const ASSIGN_INTERVAL_MS = { plenty: 1_000, scarce: 1_500, short: 3_000 };

/**
 * s; a job without any started task for this long comes first: the largest, which yield to others,
 * must start within 4 minutes, of which a team at its quota or an outage may take most.
 */
export const START_OVERDUE_S = 100;

/** Share of an overdue job's tasks that come first for that reason. */
export const OVERDUE_TASK_FRACTION = 0.05;

/**
 * ms; a non-urgent job without any running task for this long may use the quota that is reserved
 * for urgent work: far less than users let a job wait beside idle machines.
 */
export const STARVATION_MS = 30_000;

/** Share of its tasks that may use that reserve at a time. */
export const STARVED_TASK_FRACTION = 0.25;

/**
 * Share of the capacity for non-urgent work with which deadlines are calculated: the rest goes to
 * urgent work, to gaps between tasks and to estimates that are too low.
 */
export const DEADLINE_CAPACITY_FRACTION = 0.75;

/** Urgent jobs of the usual size for which non-urgent work of the same team leaves quota. */
export const URGENT_RESERVE_JOBS = 2;

/**
 * Share of a team's quota that this reserve may take at most: a large urgent job that runs already
 * would else block all non-urgent work of a small team.
 */
export const URGENT_RESERVE_QUOTA_FRACTION = 0.25;

/**
 * A late job that yields to others comes first again once it is late by this many times its
 * deadline.
 */
export const LATE_JOB_PRIORITY_DEADLINES = 3;
