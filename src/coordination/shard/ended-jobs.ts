/** Withdraws the tasks of jobs that are over. */
import type { Chunk } from '../shard-state/tasks.js';
import { jobSpec, type ShardContext } from './shard-context.js';

/**
 * If the chunk's job is over: what was never sent is withdrawn at once, the rest when reports prove
 * its end.
 */
export function withdrawIfEnded(context: ShardContext, assignment: Chunk): void {
  const { dirtyMachines, endedAssignments, tasks } = context;
  if (jobSpec(context, assignment.job) !== null) return;
  endedAssignments.add(assignment);
  for (const slot of [...assignment.slots.values()]) {
    if (slot.state !== 'live') continue;
    // Not even committed: nobody can have sent it.
    if (!tasks.committed(assignment, slot)) tasks.requeue(assignment, slot);
    else dirtyMachines.add(slot.machine);
  }
}
