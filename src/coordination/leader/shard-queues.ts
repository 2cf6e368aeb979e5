/** Queues of the parts: work that is assigned to a part ahead of its free room. */

import { QUEUE_REFILL_RATIO, QUEUE_AHEAD_S } from '../../constants/leader.js';
import type { MachineCapacity } from '../capacity/machine-capacity.js';
import { shardZoneKey, type ShardZone } from '../capacity/shard-zone.js';
import type { OpenJob } from './scheduling-order.js';

/** What waits in a part beyond its free room, and what its machines finish meanwhile. */
export interface Queue extends ShardZone {
  waitingCpus: number;
  /** CPUs under lower work that end in a second, by the owners' estimates. */
  endingCpus: number;
}

/** Empty queues of all places that have machines; `endingCpus`: CPUs that end there in a second. */
export function queuesByShardZone(
  machines: readonly MachineCapacity[],
  endingCpus: ReadonlyMap<string, number>,
): Map<string, Queue> {
  const queues = new Map<string, Queue>();
  for (const { shard, zone } of machines) {
    const key = shardZoneKey(shard, zone);
    if (queues.has(key)) continue;
    queues.set(key, { shard, zone, waitingCpus: 0, endingCpus: endingCpus.get(key) ?? 0 });
  }
  return queues;
}

/**
 * Tasks of a job that a part should get beyond its room: as many as end there in the next
 * seconds. A job that is overdue does not wait for the queue: the part takes the earliest first.
 */
export function queueCapacity(job: OpenJob, queue: Queue): number {
  const waitingCpus = job.isStartOverdue ? 0 : queue.waitingCpus;
  return Math.floor((queue.endingCpus * QUEUE_AHEAD_S - waitingCpus) / job.spec.cpus);
}

function mayRefill(job: OpenJob, queue: Queue): boolean {
  const { spec } = job;
  if (spec.zone !== null && spec.zone !== queue.zone) return false;
  const capacity = queueCapacity(job, queue);
  if (capacity <= 0) return false;
  return job.isStartOverdue || queue.waitingCpus <= capacity * spec.cpus * QUEUE_REFILL_RATIO;
}

/** Queues short enough to be refilled with a job, the shortest first: seldom, but with many tasks. */
export function shortQueues(job: OpenJob, queues: ReadonlyMap<string, Queue>): Queue[] {
  return [...queues.values()]
    .filter((queue) => mayRefill(job, queue))
    .sort((a, b) => a.waitingCpus - b.waitingCpus);
}
