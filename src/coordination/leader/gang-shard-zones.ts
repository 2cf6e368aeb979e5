/** Counts how many tasks of a gang fit in each shard zone, now and after reclaiming capacity. */
import type { JobSpec } from '../../protocol/model.js';
import { isEligible, type MachineCapacity } from '../capacity/machine-capacity.js';
import { countFittingTasks, type Resources } from '../capacity/resources.js';
import { getOrCreateEntry, type ShardZone } from '../capacity/shard-zone.js';

/**
 * Time at which capacity is available. `immediate`: it is free now. `afterReclaim`: it is free once
 * other work was preempted or has ended.
 */
export type Availability = 'immediate' | 'afterReclaim';

/** Numbers of tasks of a gang that fit in a shard zone. */
export interface GangCapacity extends ShardZone {
  immediate: number;
  /** Number of tasks that fit after reclaiming, including those that fit now. */
  afterReclaim: number;
}

/**
 * Returns how many tasks of a gang fit in each shard zone, by the key of the shard zone. They are
 * counted machine by machine, because totals would include remainders that are too small for a
 * task. `reclaimed` returns what is free on a machine after reclaiming.
 */
export function gangCapacityByShardZone(
  spec: JobSpec,
  machines: readonly MachineCapacity[],
  reclaimed: (machine: MachineCapacity) => Resources,
): Map<string, GangCapacity> {
  const capacities = new Map<string, GangCapacity>();
  for (const machine of machines) {
    if (!isEligible(spec, machine)) continue;
    const capacity = getOrCreateEntry(capacities, machine, ({ shard, zone }) => {
      return { shard, zone, immediate: 0, afterReclaim: 0 };
    });
    capacity.immediate += countFittingTasks(machine, spec);
    capacity.afterReclaim += countFittingTasks(reclaimed(machine), spec);
  }
  return capacities;
}
