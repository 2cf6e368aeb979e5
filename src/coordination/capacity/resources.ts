/** Arithmetic with amounts of CPUs, GPUs and memory. */

/** What a task requires, or what a machine has free. */
export interface Resources {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** Rounding error that is tolerated where sums of decimals are compared; also as a share of a task. */
export const ROUNDING_SLACK = 1e-9;

/** Whether a task fits into what is free. */
export function fits(free: Resources, required: Resources): boolean {
  return (
    free.cpus + ROUNDING_SLACK >= required.cpus &&
    free.gpus + ROUNDING_SLACK >= required.gpus &&
    free.memoryGb + ROUNDING_SLACK >= required.memoryGb
  );
}

/** Subtracts what a task requires, so many times; a negative number adds it. */
export function allocate(free: Resources, required: Resources, times = 1): void {
  free.cpus -= required.cpus * times;
  free.gpus -= required.gpus * times;
  free.memoryGb -= required.memoryGb * times;
}

/** What so many tasks require together. */
export const resourcesOf = (task: Resources, count: number): Resources => ({
  cpus: task.cpus * count,
  gpus: task.gpus * count,
  memoryGb: task.memoryGb * count,
});

/** How many tasks of a kind fit into what is free. */
export function countFittingTasks(free: Resources, task: Resources): number {
  let count = Infinity;
  if (task.cpus > 0) count = Math.min(count, Math.floor(free.cpus / task.cpus + ROUNDING_SLACK));
  if (task.gpus > 0) count = Math.min(count, Math.floor(free.gpus / task.gpus + ROUNDING_SLACK));
  if (task.memoryGb > 0) {
    count = Math.min(count, Math.floor(free.memoryGb / task.memoryGb + ROUNDING_SLACK));
  }
  return Math.max(0, count);
}
