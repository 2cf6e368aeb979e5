/** Finds the shard zones whose machines have capacity for tasks of a job. */
import type { JobSpec } from '../../protocol/model.js';
import {
  isEligible,
  reclaimModesByCost,
  reclaimableCapacity,
  type MachineCapacity,
} from '../capacity/machine-capacity.js';
import { isUrgent } from '../capacity/priorities.js';
import { countFittingTasks } from '../capacity/resources.js';
import { getOrCreateEntry, type ShardZone } from '../capacity/shard-zone.js';

/** A shard zone, and the number of tasks of a job for which it has capacity. */
export interface ShardZoneCapacity extends ShardZone {
  readonly count: number;
}

/**
 * Numbers of fitting tasks, summed by shard zone, in the order in which the shard zones were added.
 */
class CapacitySums {
  private readonly sums = new Map<string, ShardZone & { count: number }>();

  get isEmpty(): boolean {
    return this.sums.size === 0;
  }

  get capacities(): ShardZoneCapacity[] {
    return [...this.sums.values()];
  }

  add(machine: ShardZone, count: number): void {
    if (count <= 0) return;
    const sum = getOrCreateEntry(this.sums, machine, ({ shard, zone }) => ({
      shard,
      zone,
      count: 0,
    }));
    sum.count += count;
  }
}

/**
 * Adds free capacity of machines in use. Adds that of idle machines only if the machines in use
 * have capacity for fewer than `wanted` tasks, so that machines that are not needed stay idle and
 * are returned to the cloud.
 */
function addFreeCapacity(
  sums: CapacitySums,
  spec: JobSpec,
  wanted: number,
  machines: readonly MachineCapacity[],
): void {
  let fittingOnUsedMachines = 0;
  for (const isInUse of [true, false]) {
    if (!isInUse && fittingOnUsedMachines >= wanted) break;
    for (const machine of machines) {
      if (machine.cpus < spec.cpus || machine.tasks > 0 !== isInUse) continue;
      if (!isEligible(spec, machine)) continue;
      const count = countFittingTasks(machine, spec);
      sums.add(machine, count);
      if (isInUse) fittingOnUsedMachines += count;
    }
  }
}

/**
 * Adds capacity that can be reclaimed by preempting non-urgent work, in the cheapest mode that
 * gives any. Adds nothing if free capacity was added before.
 */
function addReclaimableCapacity(
  sums: CapacitySums,
  spec: JobSpec,
  machines: readonly MachineCapacity[],
): void {
  for (const mode of reclaimModesByCost(spec)) {
    if (!sums.isEmpty) break;
    for (const machine of machines) {
      if (machine.preemptibleCpus <= 0 || !isEligible(spec, machine)) continue;
      sums.add(machine, countFittingTasks(reclaimableCapacity(machine, mode), spec));
    }
  }
}

/**
 * Returns shard zones with capacity for tasks of a job, of which `wanted` are to be assigned.
 * Urgent work gets shard zones with reclaimable capacity if no capacity is free.
 */
export function findCapacity(
  spec: JobSpec,
  wanted: number,
  machines: readonly MachineCapacity[],
): ShardZoneCapacity[] {
  const sums = new CapacitySums();
  addFreeCapacity(sums, spec, wanted, machines);
  if (isUrgent(spec)) addReclaimableCapacity(sums, spec, machines);
  return sums.capacities;
}
