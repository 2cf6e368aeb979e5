/** Finds the placed task to which a reported task status belongs. */
import type { TaskStatus } from '../../protocol/model.js';
import type { Machine } from '../shard-state/machine.js';
import type { Tasks, AssignedTask } from '../shard-state/tasks.js';

/**
 * The task that is placed on the machine under the reported attempt; null: the reported attempt is
 * not placed there.
 */
export function findReportedTask(
  tasks: Tasks,
  machine: Machine,
  status: TaskStatus,
): AssignedTask | null {
  const found = tasks.findTask(status.task.job, status.task.index);
  if (!found) return null;
  const { task } = found;
  const isPlaced =
    task.state === 'placed' && task.machine === machine.name && task.attempt === status.attempt;
  return isPlaced ? found : null;
}
