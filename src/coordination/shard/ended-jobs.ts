/** Withdraws the tasks of jobs that are over. */
import type { Assignment } from '../shard-state/assignment.js';
import { jobSpec, type ShardContext } from './shard-context.js';

/**
 * If the assignment's job is over: what was never sent is withdrawn at once, the rest when heartbeats
 * prove its end.
 */
export function withdrawIfEnded(context: ShardContext, assignment: Assignment): void {
  const { machinesToCommand, assignmentsOfEndedJobs, tasks } = context;
  if (jobSpec(context, assignment.job) !== null) return;
  assignmentsOfEndedJobs.add(assignment);
  for (const task of [...assignment.tasks.values()]) {
    if (task.state !== 'placed') continue;
    // Not committed, so nobody can have sent it.
    if (!tasks.isCommitted(assignment, task)) tasks.requeue(assignment, task);
    else machinesToCommand.add(task.machine);
  }
}
