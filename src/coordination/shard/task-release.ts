/** Returns to the leader those tasks for which the shard has no capacity. */
import { QUEUED_RELEASE_MS, UNPLACED_RELEASE_MS } from '../../constants/shard.js';
import { rankOf } from '../../protocol/model.js';
import { jobSpec, type ShardContext } from './shard-context.js';

/**
 * Returns to the leader the array and service tasks that have waited for a machine for
 * `UNPLACED_RELEASE_MS` if they are urgent, or for `QUEUED_RELEASE_MS` if not. Tasks of paused jobs
 * stay.
 */
export function releaseWaitingTasks(context: ShardContext): void {
  const { clock, jobFailureBackoff, tasks } = context;
  const now = clock.now();
  for (const assignment of [...tasks.waitingAssignments]) {
    const spec = jobSpec(context, assignment.job);
    if (assignment.record.attempt !== undefined) continue;
    if (spec === null || jobFailureBackoff.isPaused(assignment.job)) continue;
    // Non-urgent tasks may wait longer, because the leader queues them here before capacity is
    // free.
    const isUrgent = rankOf(spec.priority) >= rankOf('high');
    const maxWaitMs = isUrgent ? UNPLACED_RELEASE_MS : QUEUED_RELEASE_MS;
    for (const task of [...assignment.waitingTasks]) {
      if (now - task.waitingSince >= maxWaitMs) tasks.returnToLeader(assignment, task);
    }
  }
}
