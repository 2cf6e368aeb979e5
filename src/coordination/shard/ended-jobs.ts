/** Withdraws the placed tasks of jobs that have ended. */
import type { Assignment } from '../shard-state/assignment.js';
import { jobSpec, type ShardContext } from './shard-context.js';

/**
 * Withdraws an assignment's placed tasks if its job has ended. Tasks whose starts cannot have been
 * sent are requeued at once. The others are stopped, and are requeued when heartbeats prove their
 * ends.
 */
export function withdrawIfEnded(context: ShardContext, assignment: Assignment): void {
  const { machinesToCommand, assignmentsOfEndedJobs, tasks } = context;
  if (jobSpec(context, assignment.job) !== null) return;
  assignmentsOfEndedJobs.add(assignment);
  for (const task of [...assignment.tasks.values()]) {
    if (task.state !== 'placed') continue;
    // No start was sent for a placement that is not committed.
    if (!tasks.isCommitted(assignment, task)) tasks.requeue(assignment, task);
    else machinesToCommand.add(task.machine);
  }
}
