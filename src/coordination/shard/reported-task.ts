/** Finds the placement to which a reported task belongs. */
import type { TaskStatus } from '../../protocol/model.js';
import type { Machine } from '../shard-state/machine.js';
import type { Tasks, TaskSlot } from '../shard-state/tasks.js';

/** The placement that a task reported by the machine is; null: it is none of ours. */
export function findReported(
  tasks: Tasks,
  machine: Machine,
  heartbeat: TaskStatus,
): TaskSlot | null {
  const found = tasks.find(heartbeat.task.job, heartbeat.task.index);
  if (!found) return null;
  const { slot } = found;
  const isSame =
    slot.state === 'live' && slot.machine === machine.name && slot.attempt === heartbeat.attempt;
  return isSame ? found : null;
}
