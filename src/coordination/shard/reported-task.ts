/** Finds the placement to which a reported task belongs. */
import type { TaskStatus } from '../../protocol/model.js';
import type { Machine } from '../shard-state/machine.js';
import type { Tasks, AssignedTask } from '../shard-state/tasks.js';

/** The placement of a task that the machine reported; null: no such placement is known. */
export function findReported(
  tasks: Tasks,
  machine: Machine,
  status: TaskStatus,
): AssignedTask | null {
  const found = tasks.findTask(status.task.job, status.task.index);
  if (!found) return null;
  const { task } = found;
  const isSame =
    task.state === 'placed' && task.machine === machine.name && task.attempt === status.attempt;
  return isSame ? found : null;
}
