/** Finds the places whose machines have room for tasks of a job. */
import type { JobSpec } from '../../protocol/model.js';
import {
  isEligible,
  reclaimModesFor,
  reclaimableCapacity,
  type MachineCapacity,
} from '../capacity/machine-capacity.js';
import { isUrgent } from '../capacity/priorities.js';
import { countFittingTasks } from '../capacity/resources.js';
import { entryOfShardZone, type ShardZone } from '../capacity/shard-zone.js';

/** How many tasks of a job a place has room for. */
export interface ShardZoneCapacity extends ShardZone {
  readonly count: number;
}

/** Sums of room by place, in the order in which the places were found. */
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
    const sum = entryOfShardZone(this.sums, machine, ({ shard, zone }) => ({
      shard,
      zone,
      count: 0,
    }));
    sum.count += count;
  }
}

/**
 * Adds free room. Room beside other tasks comes first, and empty machines count only where it does
 * not suffice: machines that nothing needs then become idle and are returned.
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

/** Adds room that a part makes by stopping lower work, in the least costly way that makes some. */
function addReclaimableCapacity(
  sums: CapacitySums,
  spec: JobSpec,
  machines: readonly MachineCapacity[],
): void {
  for (const mode of reclaimModesFor(spec)) {
    if (!sums.isEmpty) break;
    for (const machine of machines) {
      if (machine.preemptibleCpus <= 0 || !isEligible(spec, machine)) continue;
      sums.add(machine, countFittingTasks(reclaimableCapacity(machine, mode), spec));
    }
  }
}

/** The places with room for up to `wanted` tasks: free room, and for urgent work what it may stop. */
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
