/** Arithmetic on amounts of CPUs, GPUs and memory. */

/** Resources that a task requires, or that are free on a machine. */
export interface Resources {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/**
 * Rounding error that is tolerated when sums of decimal fractions are compared, in CPUs, GPUs or
 * GB. When fitting tasks are counted, it is the tolerated fraction of a task.
 */
export const ROUNDING_SLACK = 1e-9;

/** Returns whether a task fits into the free resources. */
export function fits(free: Resources, required: Resources): boolean {
  return (
    free.cpus + ROUNDING_SLACK >= required.cpus &&
    free.gpus + ROUNDING_SLACK >= required.gpus &&
    free.memoryGb + ROUNDING_SLACK >= required.memoryGb
  );
}

/** Subtracts the resources of `times` tasks from `free`; a negative `times` adds them to it. */
export function allocate(free: Resources, required: Resources, times = 1): void {
  free.cpus -= required.cpus * times;
  free.gpus -= required.gpus * times;
  free.memoryGb -= required.memoryGb * times;
}

/** Returns the resources that `count` tasks require together. */
export const resourcesOf = (task: Resources, count: number): Resources => ({
  cpus: task.cpus * count,
  gpus: task.gpus * count,
  memoryGb: task.memoryGb * count,
});

/**
 * Returns how many tasks like `task` fit into the free resources; Infinity: `task` requires none.
 */
export function countFittingTasks(free: Resources, task: Resources): number {
  let count = Infinity;
  if (task.cpus > 0) count = Math.min(count, Math.floor(free.cpus / task.cpus + ROUNDING_SLACK));
  if (task.gpus > 0) count = Math.min(count, Math.floor(free.gpus / task.gpus + ROUNDING_SLACK));
  if (task.memoryGb > 0) {
    count = Math.min(count, Math.floor(free.memoryGb / task.memoryGb + ROUNDING_SLACK));
  }
  return Math.max(0, count);
}
