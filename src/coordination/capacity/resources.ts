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
export function fits(free: Resources, required: Resources): boolean {
  return (
    free.cpus + ROUNDING_SLACK >= required.cpus &&
    free.gpus + ROUNDING_SLACK >= required.gpus &&
    free.memoryGb + ROUNDING_SLACK >= required.memoryGb
  );
}

/** Takes a need, so many times, out of a room; a negative number gives it back. */
export function allocate(free: Resources, required: Resources, times = 1): void {
  free.cpus -= required.cpus * times;
  free.gpus -= required.gpus * times;
  free.memoryGb -= required.memoryGb * times;
}
