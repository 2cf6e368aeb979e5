/** Distributes tasks of an array or a service over the shard zones with capacity for them. */
import type { StoreReplica } from '../../storage/store-replica.js';
import type { MachineCapacity } from '../capacity/machine-capacity.js';
import { isUrgent } from '../capacity/priorities.js';
import { queueCapacity, shortQueues, type ShardZoneQueue } from './shard-queues.js';
import type { OpenJob } from './scheduling-order.js';
import type { ShardZone } from '../capacity/shard-zone.js';
import type { AssignmentFactory, NewAssignment } from './assignment-factory.js';
import { allocateInShardZone } from './capacity-allocation.js';
import { findCapacity } from './capacity-search.js';
import { ZoneLimits } from './zone-limits.js';

/** Machines and queues over which the tasks of a job are distributed. */
export interface DistributionTarget {
  readonly machines: readonly MachineCapacity[];
  /** Queues by the key of their shard zone. */
  readonly queues: ReadonlyMap<string, ShardZoneQueue>;
}

/** The result of distributing tasks of a job. */
export interface DistributionResult {
  readonly assignments: readonly NewAssignment[];
  /** Number of tasks that were assigned. */
  readonly assigned: number;
  /** Number of the assigned tasks that have to wait in their shard until other tasks end. */
  readonly queued: number;
}

/** Returns the numbers of a job's tasks that are in no assignment, in ascending order. */
function unassignedIds({ id: job, spec }: OpenJob, replica: StoreReplica): number[] {
  const isAssigned = new Uint8Array(spec.tasks);
  for (const assignment of replica.assignmentsOf(job)) {
    for (const id of assignment.ids) isAssigned[id] = 1;
  }
  const ids: number[] = [];
  for (let id = 0; id < spec.tasks; id++) if (isAssigned[id] === 0) ids.push(id);
  return ids;
}

/** Returns the queues to which tasks of a job may be added; only non-urgent arrays are queued. */
function queuesFor(job: OpenJob, queues: ReadonlyMap<string, ShardZoneQueue>): ShardZoneQueue[] {
  const { spec } = job;
  return spec.kind === 'array' && !isUrgent(spec) ? shortQueues(job, queues) : [];
}

/** Tasks of one job that are being assigned, and the assignments that were created for them. */
class TaskAllotment {
  readonly assignments: NewAssignment[] = [];

  constructor(
    /** Number of tasks that may still be assigned. */
    public remaining: number,
    private readonly ids: number[],
    private readonly zoneLimits: ZoneLimits,
    private readonly createAssignments: (shardZone: ShardZone, ids: number[]) => NewAssignment[],
  ) {}

  /**
   * Assigns up to `limit` tasks to a shard zone, within its zone's limit. Returns how many were
   * assigned.
   */
  assign(shardZone: ShardZone, limit: number): number {
    const count = Math.min(this.remaining, limit, this.zoneLimits.remaining(shardZone.zone));
    if (count <= 0) return 0;
    this.zoneLimits.use(shardZone.zone, count);
    this.remaining -= count;
    this.assignments.push(...this.createAssignments(shardZone, this.ids.splice(0, count)));
    return count;
  }
}

/**
 * Distributes tasks over shard zones, first to those with the most free capacity and then to those
 * with the shortest queues.
 */
export class TaskDistribution {
  constructor(
    private readonly replica: StoreReplica,
    private readonly assignmentFactory: AssignmentFactory,
  ) {}

  /**
   * Assigns up to `allowed` tasks, as far as there is free capacity or capacity that the job may
   * preempt. Of non-urgent arrays, also assigns tasks for which capacity becomes free within
   * `QUEUE_AHEAD_S`.
   */
  distribute(job: OpenJob, allowed: number, target: DistributionTarget): DistributionResult {
    const { spec } = job;
    const capacities = findCapacity(spec, allowed, target.machines);
    const queues = queuesFor(job, target.queues);
    const queueCapacities = queues.map((queue) => ({
      zone: queue.zone,
      count: queueCapacity(job, queue),
    }));
    const allotment = new TaskAllotment(
      allowed,
      unassignedIds(job, this.replica),
      new ZoneLimits(job, allowed, [...capacities, ...queueCapacities], this.replica),
      (shardZone, ids) => this.assignmentFactory.create(spec, shardZone, ids),
    );
    for (const capacity of capacities.sort((a, b) => b.count - a.count)) {
      const count = allotment.assign(capacity, capacity.count);
      if (count > 0) allocateInShardZone(spec, capacity, count, target.machines);
    }
    const remainingForQueues = allotment.remaining;
    for (const queue of queues) {
      const count = allotment.assign(queue, queueCapacity(job, queue));
      queue.waitingCpus += count * spec.cpus;
    }
    return {
      assignments: allotment.assignments,
      assigned: allowed - allotment.remaining,
      queued: remainingForQueues - allotment.remaining,
    };
  }
}
