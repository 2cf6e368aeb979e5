/** Gives tasks back to the leader for which the part has no room. */
import { QUEUED_RELEASE_MS, UNPLACED_RELEASE_MS } from '../../constants/shard.js';
import { rankOf } from '../../protocol/model.js';
import { jobSpec, type ShardContext } from './shard-context.js';

/** Gives tasks of arrays and services back to the leader that found no room here for a while. */
export function releaseWaitingTasks(context: ShardContext): void {
  const { clock, jobFailureBackoff, tasks } = context;
  const now = clock.now();
  for (const assignment of [...tasks.waitingAssignments]) {
    const spec = jobSpec(context, assignment.job);
    if (assignment.record.attempt !== undefined) continue;
    if (spec === null || jobFailureBackoff.isPaused(assignment.job)) continue;
    // The leader queues lower work here ahead of the room for it; urgent work must not wait.
    const urgent = rankOf(spec.priority) >= rankOf('high');
    const patience = urgent ? UNPLACED_RELEASE_MS : QUEUED_RELEASE_MS;
    for (const task of [...assignment.waitingTasks]) {
      if (now - task.waitingSince >= patience) tasks.returnToLeader(assignment, task);
    }
  }
}
