/**
 * Computes which machines are reserved for future gangs, and which capacity the fleet lacks for
 * them.
 */

import { GANG_RECLAIMABLE_FRACTION } from '../../constants/gangs.js';
import type { JobSpec } from '../../protocol/model.js';
import {
  isEligible,
  allocateReclaimable,
  reclaimableCapacity,
  broadestReclaimMode,
  type MachineCapacity,
} from './machine-capacity.js';
import { countFittingTasks } from './resources.js';
import { shardZoneKey } from './shard-zone.js';

/** Number of tasks of a gang that lack capacity in the zone `spec.zone` (null: any zone). */
export interface MissingCapacity {
  spec: JobSpec;
  count: number;
}

/** Numbers of tasks of a gang that fit on a machine: now, and after its arrays have ended. */
interface MachineFit {
  name: string;
  free: number;
  afterArraysEnd: number;
}

/**
 * Returns the capacity that would be missing if gangs like these arrived now. The gangs are placed
 * one after the other, the largest first, each in the zone with the most capacity for it. Only
 * `GANG_RECLAIMABLE_FRACTION` of the reclaimable capacity counts, because it becomes free
 * gradually.
 */
export function missingGangCapacity(
  gangs: readonly JobSpec[],
  machines: readonly MachineCapacity[],
): MissingCapacity[] {
  const machinesLeft = machines
    .filter((machine) => !machine.spot)
    .map((machine) => ({ ...machine }));
  const missing: MissingCapacity[] = [];
  for (const spec of [...gangs].sort((a, b) => b.tasks * b.cpus - a.tasks * a.cpus)) {
    const zone = zoneWithMostCapacity(spec, machinesLeft);
    const count = allocateInZone(spec, zone, machinesLeft);
    if (count > 0) missing.push({ spec: { ...spec, zone }, count });
  }
  return missing;
}

/**
 * Returns the zone with the most capacity for a gang, counting `GANG_RECLAIMABLE_FRACTION` of the
 * reclaimable capacity. If no machine is eligible, returns the zone that the job requires; null:
 * any zone.
 */
function zoneWithMostCapacity(spec: JobSpec, machines: readonly MachineCapacity[]): string | null {
  const zones = new Map<string, number>();
  for (const machine of machines) {
    if (!isEligible(spec, machine)) continue;
    const free = countFittingTasks(machine, spec);
    const reclaimable =
      countFittingTasks(reclaimableCapacity(machine, broadestReclaimMode(spec)), spec) - free;
    zones.set(
      machine.zone,
      (zones.get(machine.zone) ?? 0) + free + reclaimable * GANG_RECLAIMABLE_FRACTION,
    );
  }
  const [best] = [...zones].sort((a, b) => b[1] - a[1]);
  return best?.[0] ?? spec.zone;
}

/**
 * Allocates capacity for a gang in a zone, first free and then reclaimable capacity. Returns how
 * many of its tasks lack capacity.
 */
function allocateInZone(spec: JobSpec, zone: string | null, machines: MachineCapacity[]): number {
  let remaining = spec.tasks;
  for (const mayReclaim of [false, true]) {
    for (const machine of machines) {
      if (remaining <= 0 || machine.zone !== zone || !isEligible(spec, machine)) continue;
      const free = mayReclaim ? reclaimableCapacity(machine, broadestReclaimMode(spec)) : machine;
      const fitting = countFittingTasks(free, spec);
      const count = Math.min(
        remaining,
        mayReclaim ? Math.floor(fitting * GANG_RECLAIMABLE_FRACTION) : fitting,
      );
      allocateReclaimable(machine, spec, count);
      remaining -= count;
    }
  }
  return remaining;
}

/**
 * Returns the key of the shard zone that reserves capacity for a gang like this one, which is the
 * shard zone with the most eligible on-demand machines; null: no machine is eligible. The leader
 * and the shards both call this function. While the leader and a shard have read different records,
 * their results may differ, which only delays some arrays.
 */
export function reservingShardZone(
  spec: JobSpec,
  machines: Iterable<{ shard: string; type: string; zone: string; spot: boolean }>,
): string | null {
  const counts = new Map<string, number>();
  for (const machine of machines) {
    if (machine.spot || !isEligible(spec, machine)) continue;
    const shardZone = shardZoneKey(machine.shard, machine.zone);
    counts.set(shardZone, (counts.get(shardZone) ?? 0) + 1);
  }
  let best: string | null = null;
  let largestCount = 0;
  for (const [shardZone, count] of counts) {
    if (count < largestCount || (count === largestCount && best !== null && shardZone > best))
      continue;
    best = shardZone;
    largestCount = count;
  }
  return best;
}

/**
 * Returns the names of the machines that are reserved for a gang like this one: on-demand machines
 * of the gang's reserving shard zone, as many as hold all of its tasks once the arrays on these
 * machines have ended. Machines on which the most tasks fit now are reserved first. Arrays may not
 * use these machines.
 */
export function reservedMachines(spec: JobSpec, machines: readonly MachineCapacity[]): Set<string> {
  const shardZone = reservingShardZone(spec, machines);
  const machineFits = machines
    .filter(
      (machine) =>
        !machine.spot &&
        shardZoneKey(machine.shard, machine.zone) === shardZone &&
        isEligible(spec, machine),
    )
    .map((machine) => machineFit(spec, machine))
    .sort(
      (a, b) =>
        b.free - a.free || b.afterArraysEnd - a.afterArraysEnd || (a.name < b.name ? -1 : 1),
    );
  const reserved = new Set<string>();
  let count = 0;
  for (const { name, afterArraysEnd } of machineFits) {
    if (count >= spec.tasks) break;
    if (afterArraysEnd === 0) continue;
    reserved.add(name);
    count += afterArraysEnd;
  }
  return reserved;
}

function machineFit(spec: JobSpec, machine: MachineCapacity): MachineFit {
  return {
    name: machine.name,
    free: countFittingTasks(machine, spec),
    afterArraysEnd: countFittingTasks(reclaimableCapacity(machine, 'awaitCompletion'), spec),
  };
}
