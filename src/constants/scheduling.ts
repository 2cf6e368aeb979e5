/** Constants, each with unit and reason. Placement on the machines of a shard: bandit, preemption and consolidation. */

/** Task classes the bandit tells apart; the rest share one. The design's starting value. */
export const MAX_TASK_CLASSES = 20;

/** Share of a start aim that the fetch of an image may take; the rest is for deciding and sending. */
export const START_TARGET_FETCH_SHARE = 0.6;

/** ms; pace at which a part looks for a little-used machine whose services could move. */
export const CONSOLIDATION_PERIOD_MS = 15_000;

/** ms; a replica younger than this stays: stopping it would undo its start. */
export const SETTLED_AFTER_MS = 35_000;

/** Tasks of lower work that may be stopped more where that spares urgent work the image's fetch. */
export const IMAGE_FETCH_COST = 3;

/** Share of a part's machines whose services may move in one go: one of a small fleet. */
export const CONSOLIDATION_MAX_MACHINE_SHARE = 0.05;

/** Share of its CPUs in use up to which a machine's services may be moved away. */
export const CONSOLIDATION_MAX_CPU_USE = 0.5;
