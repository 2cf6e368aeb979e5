/**
 * Allocates capacity on the machines of a scheduling cycle, so that jobs that come later in the
 * cycle do not count it as free.
 */
import type { JobSpec } from '../../protocol/model.js';
import {
  isEligible,
  allocateTasks,
  allocateReclaimable,
  broadestReclaimMode,
  reclaimableCapacity,
  type MachineCapacity,
} from '../capacity/machine-capacity.js';
import { countFittingTasks } from '../capacity/resources.js';
import type { ShardZone } from '../capacity/shard-zone.js';

/**
 * Allocates free capacity for `count` tasks, machine by machine. Returns how many of these tasks
 * found no free capacity.
 */
function allocateFirstFit(
  spec: JobSpec,
  count: number,
  machines: readonly MachineCapacity[],
  mayUse: (machine: MachineCapacity) => boolean,
): number {
  let remaining = count;
  for (const machine of machines) {
    if (remaining === 0) break;
    if (!mayUse(machine) || !isEligible(spec, machine)) continue;
    const fitting = Math.min(remaining, countFittingTasks(machine, spec));
    allocateTasks(machine, spec, fitting);
    remaining -= fitting;
  }
  return remaining;
}

/**
 * Allocates free capacity, first on machines with placed tasks and then on idle machines. Returns
 * how many of the `count` tasks found no free capacity.
 */
function allocateFree(spec: JobSpec, count: number, machines: readonly MachineCapacity[]): number {
  let remaining = count;
  for (const isInUse of [true, false]) {
    remaining = allocateFirstFit(
      spec,
      remaining,
      machines,
      (machine) => machine.tasks > 0 === isInUse && machine.cpus >= spec.cpus,
    );
  }
  return remaining;
}

/**
 * Allocates free and reclaimable capacity. Other work has to release the reclaimable part first.
 */
function allocateFreeAndReclaimable(
  spec: JobSpec,
  count: number,
  machines: readonly MachineCapacity[],
): void {
  const mode = broadestReclaimMode(spec);
  let remaining = count;
  for (const machine of machines) {
    if (remaining === 0) return;
    if (!isEligible(spec, machine)) continue;
    const fitting = Math.min(
      remaining,
      countFittingTasks(reclaimableCapacity(machine, mode), spec),
    );
    allocateReclaimable(machine, spec, fitting);
    remaining -= fitting;
  }
}

/**
 * Allocates capacity for tasks assigned to a shard zone, first free and then reclaimable capacity.
 */
export function allocateInShardZone(
  spec: JobSpec,
  shardZone: ShardZone,
  count: number,
  machines: readonly MachineCapacity[],
): void {
  const machinesInShardZone = machines.filter(
    ({ shard, zone }) => shard === shardZone.shard && zone === shardZone.zone,
  );
  const remaining = allocateFree(spec, count, machinesInShardZone);
  allocateFreeAndReclaimable(spec, remaining, machinesInShardZone);
}

/**
 * Allocates free capacity of a zone for a gang that waits until the zone has enough for all of it.
 */
export function reserveFreeCapacityInZone(
  spec: JobSpec,
  zone: string,
  machines: readonly MachineCapacity[],
): void {
  allocateFirstFit(spec, spec.tasks, machines, (machine) => machine.zone === zone);
}
