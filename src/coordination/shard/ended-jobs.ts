/** Withdraws the tasks of jobs that are over. */
import type { Chunk } from '../shard-state/tasks.js';
import { jobSpec, type PartContext } from './shard-context.js';

/**
 * If the chunk's job is over: what was never sent is withdrawn at once, the rest when reports prove
 * its end.
 */
export function withdrawIfEnded(context: PartContext, chunk: Chunk): void {
  const { dirtyMachines, endedChunks, tasks } = context;
  if (jobSpec(context, chunk.job) !== null) return;
  endedChunks.add(chunk);
  for (const slot of [...chunk.slots.values()]) {
    if (slot.state !== 'live') continue;
    // Not even committed: nobody can have sent it.
    if (!tasks.committed(chunk, slot)) tasks.requeue(chunk, slot);
    else dirtyMachines.add(slot.machine);
  }
}
