/** Occupies room on the machines of the leader's round, so that later jobs do not count on it. */
import type { JobSpec } from '../../protocol/model.js';
import {
  fitCount,
  isEligible,
  allocateTasks,
  allocateReclaimable,
  reclaimModeFor,
  reclaimableCapacity,
  type MachineCapacity,
} from '../capacity/machine-capacity.js';
import type { ShardZone } from './assignment-factory.js';

/**
 * Occupies free room for tasks in a place, first beside other tasks and then on empty machines;
 * returns how many tasks found none.
 */
function allocateFree(spec: JobSpec, count: number, machines: readonly MachineCapacity[]): number {
  let left = count;
  for (const busy of [true, false]) {
    for (const machine of machines) {
      if (left === 0) return 0;
      if (machine.tasks > 0 !== busy || machine.cpus < spec.cpus) continue;
      if (!isEligible(spec, machine)) continue;
      const fitting = Math.min(left, fitCount(machine, spec));
      allocateTasks(machine, spec, fitting);
      left -= fitting;
    }
  }
  return left;
}

/** Occupies room for tasks that other work has to free first. */
function allocateReclaimed(
  spec: JobSpec,
  count: number,
  machines: readonly MachineCapacity[],
): void {
  const mode = reclaimModeFor(spec);
  let left = count;
  for (const machine of machines) {
    if (left === 0) return;
    if (!isEligible(spec, machine)) continue;
    const fitting = Math.min(left, fitCount(reclaimableCapacity(machine, mode), spec));
    allocateReclaimable(machine, spec, fitting);
    left -= fitting;
  }
}

/** Occupies room for tasks that are assigned to a place: free room, then what other work frees. */
export function allocateInShardZone(
  spec: JobSpec,
  place: ShardZone,
  count: number,
  machines: readonly MachineCapacity[],
): void {
  const inPlace = machines.filter(
    ({ shard, zone }) => shard === place.shard && zone === place.zone,
  );
  const left = allocateFree(spec, count, inPlace);
  allocateReclaimed(spec, left, inPlace);
}

/** Occupies the free room of a zone for a gang that waits for more of it. */
export function allocateInZone(
  spec: JobSpec,
  zone: string,
  machines: readonly MachineCapacity[],
): void {
  let left = spec.tasks;
  for (const machine of machines) {
    if (left === 0) return;
    if (machine.zone !== zone || !isEligible(spec, machine)) continue;
    const fitting = Math.min(left, fitCount(machine, spec));
    allocateTasks(machine, spec, fitting);
    left -= fitting;
  }
}
