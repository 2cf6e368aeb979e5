/** Occupies room on the machines of the leader's round, so that later jobs do not count on it. */
import type { JobSpec } from '../../protocol/model.js';
import {
  fitCount,
  isEligible,
  occupy,
  occupyReclaimable,
  reclaimModeFor,
  reclaimableCapacity,
  type MachineCapacity,
} from '../capacity/machine-capacity.js';
import type { Place } from './assignment-factory.js';

/**
 * Occupies free room for tasks in a place, first beside other tasks and then on empty machines;
 * returns how many tasks found none.
 */
function occupyFree(spec: JobSpec, count: number, machines: readonly MachineCapacity[]): number {
  let left = count;
  for (const busy of [true, false]) {
    for (const machine of machines) {
      if (left === 0) return 0;
      if (machine.tasks > 0 !== busy || machine.cpus < spec.cpus) continue;
      if (!isEligible(spec, machine)) continue;
      const fitting = Math.min(left, fitCount(machine, spec));
      occupy(machine, spec, fitting);
      left -= fitting;
    }
  }
  return left;
}

/** Occupies room for tasks that other work has to free first. */
function occupyReclaimed(spec: JobSpec, count: number, machines: readonly MachineCapacity[]): void {
  const mode = reclaimModeFor(spec);
  let left = count;
  for (const machine of machines) {
    if (left === 0) return;
    if (!isEligible(spec, machine)) continue;
    const fitting = Math.min(left, fitCount(reclaimableCapacity(machine, mode), spec));
    occupyReclaimable(machine, spec, fitting);
    left -= fitting;
  }
}

/** Occupies room for tasks that are assigned to a place: free room, then what other work frees. */
export function occupyPlace(
  spec: JobSpec,
  place: Place,
  count: number,
  machines: readonly MachineCapacity[],
): void {
  const inPlace = machines.filter(({ part, zone }) => part === place.part && zone === place.zone);
  const left = occupyFree(spec, count, inPlace);
  occupyReclaimed(spec, left, inPlace);
}

/** Occupies the free room of a zone for a gang that waits for more of it. */
export function occupyZone(
  spec: JobSpec,
  zone: string,
  machines: readonly MachineCapacity[],
): void {
  let left = spec.tasks;
  for (const machine of machines) {
    if (left === 0) return;
    if (machine.zone !== zone || !isEligible(spec, machine)) continue;
    const fitting = Math.min(left, fitCount(machine, spec));
    occupy(machine, spec, fitting);
    left -= fitting;
  }
}
