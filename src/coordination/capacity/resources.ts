/** Arithmetic with the room on a machine. */

/** What a machine has left, or a task needs. */
export interface Resources {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** What the rounding of decimals may amount to. */
const ROUNDING_SLACK = 1e-9;

/** Whether there is room for a need; sums of decimals may be off by a little. */
export function fits(free: Resources, need: Resources): boolean {
  return (
    free.cpus + ROUNDING_SLACK >= need.cpus &&
    free.gpus + ROUNDING_SLACK >= need.gpus &&
    free.memoryGb + ROUNDING_SLACK >= need.memoryGb
  );
}

/** Takes a need, so many times, out of a room; a negative number gives it back. */
export function allocate(free: Resources, need: Resources, times = 1): void {
  free.cpus -= need.cpus * times;
  free.gpus -= need.gpus * times;
  free.memoryGb -= need.memoryGb * times;
}
