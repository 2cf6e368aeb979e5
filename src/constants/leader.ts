/** Constants, each with unit and reason. The leader: assignment of tasks to shards, scheduling order and quotas. */

/** ms; lower work that came within this time tells how much will: some dozens of jobs. */
export const RECENT_ARRIVALS_MS = 90_000;

/** Bytes that one placed task may take in its chunk's record (number, machine, an attempt of up to 14
 * digits); bounds the tasks of a chunk. Fewer, larger chunks need fewer writes. */
export const ASSIGNMENT_TASK_BYTES = 36;

/** Bytes that a chunk's record takes beside its placed tasks: its fields, and the ranges of its tasks. */
export const ASSIGNMENT_BASE_BYTES = 250;

/** s; lower work waits in a part for the room that ends within this time: longer than the way from
 * a task's end over the leader to a new chunk, so that no machine idles and chunks are not small. */
export const QUEUE_AHEAD_S = 8;

/** A queue is filled again when what waits is at most so many times what is missing. */
export const QUEUE_REFILL_RATIO = 1;

/** ms; a job of lower work gets more tasks assigned this often at the most, except urgent ones. Parts
 * queue `QUEUE_S` ahead, so that where writes are short larger chunks cost no idle machines. */
export const ASSIGN_INTERVAL_MS = { plenty: 1_000, scarce: 1_500, short: 3_000 };

/** s; a job of which nothing has begun for so long comes first: the largest, which step back for
 * others, must begin within 4 minutes, of which a team at its limit or an outage may take most. */
export const START_OVERDUE_S = 100;

/** Share of a job's tasks that come first for that reason; the rest keeps its turn. */
export const OVERDUE_TASK_SHARE = 0.05;

/** ms; a job of lower work of which nothing ran for so long may use what its team's limit keeps for
 * urgent work: far less than users let a job wait in front of free machines. */
export const STARVATION_MS = 30_000;

/** Share of its tasks that may do so at a time. */
export const STARVED_TASK_SHARE = 0.25;

/** Share of the room for lower work that counts when jobs are chosen to be late: the rest goes to
 * urgent work, to ways between tasks and to estimates that are too low. */
export const DEADLINE_CAPACITY_SHARE = 0.75;

/** Urgent jobs of the usual size for which lower work of the same team leaves room in its limit. */
export const URGENT_RESERVE_JOBS = 2;

/** Share of a team's limit that this may take at the most: a large urgent job would else shut out all
 * lower work of a small team, though it already runs. */
export const URGENT_RESERVE_QUOTA_SHARE = 0.25;

/** Deadlines past its own after which a job that stepped back for others comes first again. */
export const LATE_JOB_AGING_DEADLINES = 3;
