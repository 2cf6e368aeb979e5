/** Arithmetic with the room on a machine. */

/** What a machine has left, or a task needs. */
export interface Room {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** What the rounding of decimals may amount to. */
const ROUNDING_SLACK = 1e-9;

/** Whether there is room for a need; sums of decimals may be off by a little. */
export function fits(room: Room, need: Room): boolean {
  return (
    room.cpus + ROUNDING_SLACK >= need.cpus &&
    room.gpus + ROUNDING_SLACK >= need.gpus &&
    room.memoryGb + ROUNDING_SLACK >= need.memoryGb
  );
}

/** Takes a need, so many times, out of a room; a negative number gives it back. */
export function take(room: Room, need: Room, times = 1): void {
  room.cpus -= need.cpus * times;
  room.gpus -= need.gpus * times;
  room.memoryGb -= need.memoryGb * times;
}
