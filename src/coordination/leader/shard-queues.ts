/** Computes how much work may be assigned to a shard zone to wait there until capacity is free. */

import { QUEUE_REFILL_FACTOR, QUEUE_AHEAD_S } from '../../constants/leader.js';
import type { MachineCapacity } from '../capacity/machine-capacity.js';
import { shardZoneKey, type ShardZone } from '../capacity/shard-zone.js';
import type { OpenJob } from './scheduling-order.js';

/**
 * Queue of a shard zone: the work that waits for capacity there, and how fast capacity becomes
 * free.
 */
export interface ShardZoneQueue extends ShardZone {
  /** CPUs of assigned tasks that wait for capacity. */
  waitingCpus: number;
  /** CPUs of arrays and gangs that become free per second, according to estimated run times. */
  endingCpusPerS: number;
}

/**
 * Returns empty queues for all shard zones with machines. `endingCpusPerS` contains the CPUs that
 * become free per second, by the key of the shard zone.
 */
export function queuesByShardZone(
  machines: readonly MachineCapacity[],
  endingCpusPerS: ReadonlyMap<string, number>,
): Map<string, ShardZoneQueue> {
  const queues = new Map<string, ShardZoneQueue>();
  for (const { shard, zone } of machines) {
    const key = shardZoneKey(shard, zone);
    if (queues.has(key)) continue;
    queues.set(key, { shard, zone, waitingCpus: 0, endingCpusPerS: endingCpusPerS.get(key) ?? 0 });
  }
  return queues;
}

/**
 * Returns how many tasks of a job may be added to a queue (0 or less: none): as many as fit into
 * the capacity that becomes free within `QUEUE_AHEAD_S`, less the tasks that wait already. For a
 * job whose start is overdue, the waiting tasks are not deducted, so that it need not wait until
 * the queue is short. The shard places waiting tasks of equal priority in the order of their
 * assignment.
 */
export function queueCapacity(job: OpenJob, queue: ShardZoneQueue): number {
  const waitingCpus = job.isStartOverdue ? 0 : queue.waitingCpus;
  return Math.floor((queue.endingCpusPerS * QUEUE_AHEAD_S - waitingCpus) / job.spec.cpus);
}

function mayRefill(job: OpenJob, queue: ShardZoneQueue): boolean {
  const { spec } = job;
  if (spec.zone !== null && spec.zone !== queue.zone) return false;
  const capacity = queueCapacity(job, queue);
  if (capacity <= 0) return false;
  return job.isStartOverdue || queue.waitingCpus <= capacity * spec.cpus * QUEUE_REFILL_FACTOR;
}

/**
 * Returns the queues that are short enough to be refilled with tasks of a job, the shortest first.
 * Longer queues are not refilled, so that refills are rare but large and need fewer writes.
 */
export function shortQueues(
  job: OpenJob,
  queues: ReadonlyMap<string, ShardZoneQueue>,
): ShardZoneQueue[] {
  return [...queues.values()]
    .filter((queue) => mayRefill(job, queue))
    .sort((a, b) => a.waitingCpus - b.waitingCpus);
}
