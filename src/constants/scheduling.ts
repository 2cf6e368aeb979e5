/** Constants of task placement on a shard's machines: bandit, preemption and consolidation. */

/**
 * Task classes with an entry of their own in the bandit's contexts; all others share one entry. The
 * limit bounds the size of the stored matrices.
 */
export const MAX_TASK_CLASSES = 20;

/**
 * Fraction of a start target that an image fetch may take; the rest is for scheduling and for
 * sending the start command.
 */
export const START_TARGET_FETCH_FRACTION = 0.6;

/** ms; interval between two searches for machines with low CPU use whose services could move. */
export const CONSOLIDATION_INTERVAL_MS = 15_000;

/**
 * ms; run time up to which a task is not moved by consolidation, and not preempted if its job
 * started late, because a stop would waste its start.
 */
export const MIN_RUN_BEFORE_STOP_MS = 35_000;

/**
 * Tasks; added to the cost of preemption on a machine without the job's image, because the fetch
 * delays urgent work as much as this many preempted tasks delay other work.
 */
export const IMAGE_FETCH_COST_TASKS = 3;

/**
 * Fraction of a shard's used machines whose services may move in one run of consolidation; one
 * machine is always allowed, so that small fleets are consolidated too.
 */
export const CONSOLIDATION_MAX_MACHINE_FRACTION = 0.05;

/** Highest fraction of a machine's CPUs in use at which its services may still be moved away. */
export const CONSOLIDATION_MAX_CPU_FRACTION = 0.5;
