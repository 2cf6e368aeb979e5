/** How many tasks of a gang the shard zones have capacity for: now, and after reclaiming some. */
import type { JobSpec } from '../../protocol/model.js';
import { isEligible, type MachineCapacity } from '../capacity/machine-capacity.js';
import { countFittingTasks, type Resources } from '../capacity/resources.js';
import { getOrCreateEntry, type ShardZone } from '../capacity/shard-zone.js';

/**
 * When there is capacity for all of a gang. `immediate`: it is free. `afterReclaim`: it will be,
 * once other work was preempted or has ended.
 */
export type Availability = 'immediate' | 'afterReclaim';

/** How many tasks of a gang fit in a shard zone. */
export interface GangCapacity extends ShardZone {
  immediate: number;
  /** Includes those that fit at once. */
  afterReclaim: number;
}

/**
 * How many tasks of a gang fit in each shard zone, by its key. Counted machine by machine: totals
 * would include remainders in which no task fits. `reclaimed` gives what is free on a machine once
 * other work there has left.
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
