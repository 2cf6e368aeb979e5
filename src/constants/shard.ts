/** Constants, each with unit and reason. A shard: heartbeats, commands to machines, and writes of its state. */

/** ms; placements of lower work wait this long for others: a fiftieth of a short task where writes
 * are scarce, hardly at all where they are not. */
export const PLACEMENT_BATCH_MS = { plenty: 60, scarce: 500, short: 1_200 };

/** ms; ends of tasks wait this long for others of their chunk. The last ends of a chunk wait only as
 * long as placements: users expect `done` within 3 s. */
export const COMPLETION_BATCH_MS = { plenty: 300, scarce: 2_500, short: 5_000 };

/** ms; changes of lower work older than this queue for the store's limits like all others; younger
 * ones give way to urgent work. */
export const MAX_WRITE_DELAY_MS = 3_000;

/** ms; a part looks this often for machines that are dead or gone. */
export const LOST_MACHINE_SWEEP_MS = 250;

/** ms; a part writes what became of its machines this often at the most. */
export const STATUS_INTERVAL_MS = { plenty: 500, scarce: 2_000, short: 3_000 };

/** Bytes that a chunk takes in a transaction beside its placed tasks: its record, keys and guards. */
export const ASSIGNMENT_OVERHEAD_BYTES = 600;

/** ms; a chunk whose parts don't fit into one transaction is looked at again after this: until then
 * some of its tasks have ended, and it is not looked at in each round. */
export const OVERSIZED_ASSIGNMENT_RETRY_MS = 1_000;

/** Commands of one report answer: keeps the line far below 64 KiB. */
export const MAX_COMMANDS_PER_ANSWER = 300;

/** s; first pause of a job whose tasks fail on machines, doubled with each failure in a row. */
export const FAILURE_BACKOFF_S = 2;
export const MAX_FAILURE_BACKOFF_S = 60;

/** Errors of different jobs on one machine, without a success, that make it faulty. */
export const FAULTY_MACHINE_FAILURES = 3;

/** ms; a task that found no room in its part for so long goes back to the leader. */
export const UNPLACED_RELEASE_MS = 4_000;

/** ms; lower work queued in a part ahead of its room goes back after this: three times the length
 * of a queue, so that only what the part can't run any more returns. */
export const QUEUED_RELEASE_MS = 24_000;

/** Report intervals without a report after which a machine takes no new tasks. */
export const MAX_MISSED_HEARTBEATS = 3;
