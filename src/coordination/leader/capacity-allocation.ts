/** Occupies room on the machines of the leader's round, so that later jobs do not count on it. */
import type { JobSpec } from '../../protocol/model.js';
import {
  countFittingTasks,
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
  let remaining = count;
  for (const isInUse of [true, false]) {
    for (const machine of machines) {
      if (remaining === 0) return 0;
      if (machine.tasks > 0 !== isInUse || machine.cpus < spec.cpus) continue;
      if (!isEligible(spec, machine)) continue;
      const count = Math.min(remaining, countFittingTasks(machine, spec));
      allocateTasks(machine, spec, count);
      remaining -= count;
    }
  }
  return remaining;
}

/** Occupies room for tasks that other work has to free first. */
function allocateReclaimed(
  spec: JobSpec,
  count: number,
  machines: readonly MachineCapacity[],
): void {
  const mode = reclaimModeFor(spec);
  let remaining = count;
  for (const machine of machines) {
    if (remaining === 0) return;
    if (!isEligible(spec, machine)) continue;
    const count = Math.min(remaining, countFittingTasks(reclaimableCapacity(machine, mode), spec));
    allocateReclaimable(machine, spec, count);
    remaining -= count;
  }
}

/** Occupies room for tasks that are assigned to a place: free room, then what other work frees. */
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
  allocateReclaimed(spec, remaining, machinesInShardZone);
}

/** Occupies the free room of a zone for a gang that waits for more of it. */
export function allocateInZone(
  spec: JobSpec,
  zone: string,
  machines: readonly MachineCapacity[],
): void {
  let remaining = spec.tasks;
  for (const machine of machines) {
    if (remaining === 0) return;
    if (machine.zone !== zone || !isEligible(spec, machine)) continue;
    const count = Math.min(remaining, countFittingTasks(machine, spec));
    allocateTasks(machine, spec, count);
    remaining -= count;
  }
}
