/** Constants, each with unit and reason. Placement on the machines of a shard: bandit, preemption and consolidation. */

/** Task classes that the bandit tells apart; the rest share one. The design's starting value. */
export const MAX_TASK_CLASSES = 20;

/** Share of a start target that the fetch of an image may take; the rest is for deciding and sending. */
export const START_TARGET_FETCH_SHARE = 0.6;

/** ms; pace at which a shard looks for little-used machines whose services could move. */
export const CONSOLIDATION_PERIOD_MS = 15_000;

/** ms; a task that has run for less stays where it is: stopping it would undo its start. */
export const SETTLED_AFTER_MS = 35_000;

/** Tasks; the fetch of an image costs urgent work as much as so many preempted tasks cost others. */
export const IMAGE_FETCH_COST = 3;

/** Share of a shard's used machines whose services may move at once; of a small fleet one machine. */
export const CONSOLIDATION_MAX_MACHINE_SHARE = 0.05;

/** Share of its CPUs in use up to which a machine's services may be moved away. */
export const CONSOLIDATION_MAX_CPU_USE = 0.5;
