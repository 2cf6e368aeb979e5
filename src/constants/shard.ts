/** Constants, each with unit and reason. A shard: heartbeats, commands to machines, and writes of its state. */

/** ms; placements of lower work wait this long for others by the supply of writes: a fiftieth of a
 * short task where they are scarce, hardly at all where they are plenty. */
export const PLACEMENT_BATCH_MS = { plenty: 60, scarce: 500, short: 1_200 };

/** ms; ends of tasks wait this long for others of their assignment. The last ends of an assignment
 * wait only as long as placements: users expect `done` within 3 s. */
export const COMPLETION_BATCH_MS = { plenty: 300, scarce: 2_500, short: 5_000 };

/** ms; changes of lower work older than this queue for the store's limits like all others; younger
 * ones give way to urgent work. */
export const MAX_WRITE_DELAY_MS = 3_000;

/** ms; a shard looks this often for machines that are dead or gone. */
export const LOST_MACHINE_SWEEP_MS = 250;

/** ms; a shard writes its machines' status this often at the most, by the supply of writes. */
export const STATUS_INTERVAL_MS = { plenty: 500, scarce: 2_000, short: 3_000 };

/** Bytes that an assignment takes in a transaction beside its placed tasks: its record, keys and
 * guards. */
export const ASSIGNMENT_OVERHEAD_BYTES = 600;

/** ms; an assignment whose pieces don't fit into one transaction is tried again after this: until
 * then some of its tasks have ended, and it is not split in each reconciliation. */
export const OVERSIZED_ASSIGNMENT_RETRY_MS = 1_000;

/** Commands of one answer to a heartbeat: keeps the line far below 64 KiB. */
export const MAX_COMMANDS_PER_ANSWER = 300;

/** s; first pause of a job whose tasks fail on machines, doubled with each failure in a row. */
export const FAILURE_BACKOFF_S = 2;
export const MAX_FAILURE_BACKOFF_S = 60;

/** Failures of different jobs on one machine, without a success, that make it faulty. */
export const FAULTY_MACHINE_FAILURES = 3;

/** ms; a task that found no machine in its shard for so long returns to the leader. */
export const UNPLACED_RELEASE_MS = 4_000;

/** ms; lower work queued in a shard ahead of its capacity returns after this: three times the length
 * of a queue, so that only what the shard can't run any more returns. */
export const QUEUED_RELEASE_MS = 24_000;

/** Heartbeat intervals without a heartbeat after which a machine takes no new tasks. */
export const MAX_MISSED_HEARTBEATS = 3;
