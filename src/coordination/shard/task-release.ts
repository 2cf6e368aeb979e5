/** Returns tasks to the leader for which the shard has no capacity. */
import { QUEUED_RELEASE_MS, UNPLACED_RELEASE_MS } from '../../constants/shard.js';
import { rankOf } from '../../protocol/model.js';
import { jobSpec, type ShardContext } from './shard-context.js';

/** Returns tasks of arrays and services to the leader that found no machine here for a while. */
export function releaseWaitingTasks(context: ShardContext): void {
  const { clock, jobFailureBackoff, tasks } = context;
  const now = clock.now();
  for (const assignment of [...tasks.waitingAssignments]) {
    const spec = jobSpec(context, assignment.job);
    if (assignment.record.attempt !== undefined) continue;
    if (spec === null || jobFailureBackoff.isPaused(assignment.job)) continue;
    // The leader queues lower work here ahead of the capacity for it; urgent work must not wait.
    const isUrgent = rankOf(spec.priority) >= rankOf('high');
    const patienceMs = isUrgent ? UNPLACED_RELEASE_MS : QUEUED_RELEASE_MS;
    for (const task of [...assignment.waitingTasks]) {
      if (now - task.waitingSince >= patienceMs) tasks.returnToLeader(assignment, task);
    }
  }
}
