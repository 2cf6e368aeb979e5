/** Constants of task placement on a shard's machines: bandit, preemption and consolidation. */

/**
 * Maximum number of task classes with an entry of their own in the bandit's contexts. All others
 * share one entry, because the stored matrices grow with the number of entries.
 */
export const MAX_TASK_CLASSES = 20;

/**
 * Significant digits with which the contribution of a single task is kept in a bandit's stored sums,
 * whose cells have further digits for the number of tasks.
 */
export const STORED_DIGITS_PER_TASK = 5;

/**
 * Lowest eigenvalue of a bandit's matrix A after it was rounded to `STORED_DIGITS_PER_TASK`; it is
 * at least 1 before.
 */
export const MIN_DESIGN_EIGENVALUE = 0.9;

/**
 * Largest valid cell of a bandit's matrix A or vector b. Beside larger ones the identity in A would
 * be rounded away.
 */
export const MAX_ARM_CELL = 1e12;

/**
 * Fraction of a start target that an image fetch may take. The rest is for scheduling and for
 * sending the start command.
 */
export const START_TARGET_FETCH_FRACTION = 0.6;

/** Interval in ms between two searches for machines with low CPU use whose services could move. */
export const CONSOLIDATION_INTERVAL_MS = 15_000;

/**
 * Run time in ms up to which consolidation does not move a task, and up to which a task is not
 * preempted if its job started late (none of its tasks was done `START_OVERDUE_S` after its
 * acceptance). A stop would waste the task's start.
 */
export const MIN_RUN_BEFORE_STOP_MS = 35_000;

/**
 * Number of tasks that is added to the cost of preemption on a machine without the job's image,
 * because the fetch delays urgent work as much as this many preempted tasks delay other work.
 */
export const IMAGE_FETCH_COST_TASKS = 3;

/**
 * Fraction of a shard's used machines whose services may move in one run of consolidation. One
 * machine is always allowed, so that small fleets are consolidated too.
 */
export const CONSOLIDATION_MAX_MACHINE_FRACTION = 0.05;

/** Highest fraction of a machine's CPUs in use at which its services may still be moved away. */
export const CONSOLIDATION_MAX_CPU_FRACTION = 0.5;
