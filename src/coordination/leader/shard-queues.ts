/** Queues of shard zones: work that is assigned to a shard ahead of its free capacity. */

import { QUEUE_REFILL_FACTOR, QUEUE_AHEAD_S } from '../../constants/leader.js';
import type { MachineCapacity } from '../capacity/machine-capacity.js';
import { shardZoneKey, type ShardZone } from '../capacity/shard-zone.js';
import type { OpenJob } from './scheduling-order.js';

/** Work that waits in a shard zone beyond its free capacity, and how fast tasks end there. */
export interface ShardZoneQueue extends ShardZone {
  waitingCpus: number;
  /** CPUs of arrays and gangs that become free per second, by the estimated run times. */
  endingCpusPerS: number;
}

/**
 * Empty queues of all shard zones with machines; `endingCpus`: CPUs that become free per second, by
 * shard zone.
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
 * Tasks of a job that may join a queue: as many as end there within `QUEUE_AHEAD_S`. A job whose
 * start is overdue need not wait behind the queue, since the shard takes the earliest first.
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
 * Queues short enough to be refilled with a job, the shortest first. They are refilled seldom but
 * with many tasks, which needs fewer writes.
 */
export function shortQueues(
  job: OpenJob,
  queues: ReadonlyMap<string, ShardZoneQueue>,
): ShardZoneQueue[] {
  return [...queues.values()]
    .filter((queue) => mayRefill(job, queue))
    .sort((a, b) => a.waitingCpus - b.waitingCpus);
}
