/**
 * Constants of the leader: assignment of tasks to shards, scheduling order, deadlines and quotas.
 */

/**
 * Length in ms of the past period whose arrivals of non-urgent arrays are used to forecast the CPUs
 * that the next ones need. Some dozens of jobs arrive in it.
 */
export const ARRIVAL_WINDOW_MS = 90_000;

/**
 * Number of bytes that one placed task may take in its assignment's record: task number, machine
 * name, and an attempt number of up to 14 digits. It limits the tasks per assignment. An assignment
 * gets as many tasks as fit in one value, because fewer, larger assignments need fewer writes.
 */
export const ASSIGNMENT_TASK_BYTES = 36;

/**
 * Number of bytes that an assignment's record takes besides its placed tasks: its other fields, and
 * the ranges of its task numbers.
 */
export const ASSIGNMENT_BASE_BYTES = 250;

/**
 * Time in s for which non-urgent arrays are assigned to a shard ahead of its free capacity, up to
 * the capacity that running tasks are expected to release within this time. It is longer than the
 * interval from the end of a task until the leader has assigned a new one. With a shorter time,
 * machines would idle during that interval and assignments would be small.
 */
export const QUEUE_AHEAD_S = 8;

/**
 * Maximum of the waiting CPUs at which a shard zone's queue is refilled, as a multiple of the CPUs
 * that may still be added to it. With 1, the queue is refilled when it is at most half full.
 */
export const QUEUE_REFILL_FACTOR = 1;

/**
 * Minimum interval in ms between two assignments of the same non-urgent job, by the supply of
 * writes to the key-value store. Longer intervals give larger assignments and fewer writes. No
 * machine idles meanwhile, because shards have `QUEUE_AHEAD_S` of work in their queues.
 */
export const ASSIGN_INTERVAL_MS = { plenty: 1_000, scarce: 1_500, short: 3_000 };

/**
 * Time in s since its acceptance after which a job without an assigned task precedes the other jobs
 * of its priority. The largest jobs, which smaller ones may precede, must start within 4 minutes,
 * and most of that time may pass while the team is at its quota or during an outage.
 */
export const START_OVERDUE_S = 100;

/** Fraction of the tasks of a job with an overdue start that precede the tasks of other jobs. */
export const OVERDUE_TASK_FRACTION = 0.05;

/**
 * Time in ms without a placed or newly assigned task after which a non-urgent job may use quota
 * that is reserved for urgent work. Users accept a far longer wait than this while machines are
 * idle.
 */
export const STARVATION_MS = 30_000;

/**
 * Fraction of the tasks of a job starved for `STARVATION_MS` that may use reserved quota in one
 * scheduling cycle.
 */
export const STARVED_TASK_FRACTION = 0.25;

/**
 * Fraction of the CPUs for non-urgent work that is assumed available when deadlines are calculated.
 * The rest is left for urgent work, for the time between two tasks on a machine, and for run time
 * estimates that are too low.
 */
export const DEADLINE_CAPACITY_FRACTION = 0.75;

/**
 * Number of urgent jobs for which a team's non-urgent work leaves quota unused. Each is assumed to
 * be as large as the team's largest open urgent job, where only one task of an array counts.
 */
export const URGENT_RESERVE_JOBS = 2;

/**
 * Maximum fraction of a team's quota that is reserved for urgent work. Without this limit, a large
 * urgent job that already runs would block all non-urgent work of a small team.
 */
export const URGENT_RESERVE_QUOTA_FRACTION = 0.25;

/**
 * Lateness of a job, as a multiple of its deadline, up to which it is scheduled after the jobs that
 * can meet their deadlines. A job that is later than that is scheduled in the order of deadlines
 * again, in which it is among the first because its deadline has passed long ago.
 */
export const LATE_JOB_PRIORITY_DEADLINES = 3;
