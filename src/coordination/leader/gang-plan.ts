/** Plans how many tasks of a gang each shard zone gets. All tasks are planned, or none is. */

import type { JobSpec } from '../../protocol/model.js';
import {
  reclaimableCapacity,
  reclaimModesByCost,
  type MachineCapacity,
  type ReclaimMode,
} from '../capacity/machine-capacity.js';
import type { ShardZone } from '../capacity/shard-zone.js';
import {
  gangCapacityByShardZone,
  type Availability,
  type GangCapacity,
} from './gang-shard-zones.js';

/** Gang subset: the number of tasks of a gang that one shard zone gets. */
export interface GangSubset extends ShardZone {
  readonly count: number;
}

/**
 * Plan for a gang. With `subsets`, there is capacity for all tasks, and `availability` states
 * whether it is free now or only after reclaiming. Without `subsets`, there is not enough capacity.
 * Then `zone` is the zone that should get more capacity (null: any zone), and `missingTasks` is the
 * number of tasks without free capacity there. For a gang that must stay in one zone, `zone` is the
 * zone with the most capacity, otherwise the one that the job requires.
 */
export type GangPlan =
  | { subsets: GangSubset[]; availability: Availability }
  | { subsets: null; zone: string | null; missingTasks: number };

/** Hints on where fetching the image of a gang takes little or no time. */
export interface ImageHints {
  /** Key of the shard zone to which a gang with this image was last assigned; null: unknown. */
  lastShardZone: string | null;
  /**
   * Returns whether a machine type fetches the image soon enough for the start-time objective of
   * the gang's class.
   */
  isFetchInTime: (type: string) => boolean;
}

const NO_HINTS: ImageHints = { lastShardZone: null, isFetchInTime: () => true };

/**
 * Returns a plan for a gang. It uses free capacity if that suffices for all tasks, otherwise the
 * cheapest mode of reclaiming that does.
 */
export function planGang(
  spec: JobSpec,
  machines: readonly MachineCapacity[],
  hints: ImageHints = NO_HINTS,
): GangPlan {
  const modes = reclaimModesByCost(spec);
  for (const mode of modes.slice(0, -1)) {
    const plan = planPreferringFastFetch(spec, machines, hints, mode);
    if (plan.subsets) return plan;
  }
  return planPreferringFastFetch(spec, machines, hints, modes.at(-1) ?? 'awaitCompletion');
}

/**
 * Returns a plan that uses only machines that fetch the image in time, if they have the capacity.
 * All tasks of a gang wait until the last machine has fetched the image. A plan on all machines is
 * returned if the machines that fetch in time lack the capacity, or if they have it only after
 * running tasks end and a plan on all machines needs no such wait.
 */
function planPreferringFastFetch(
  spec: JobSpec,
  machines: readonly MachineCapacity[],
  hints: ImageHints,
  mode: ReclaimMode,
): GangPlan {
  const fastFetching = machines.filter(({ type }) => hints.isFetchInTime(type));
  const plan = planOnMachines(spec, machines, hints.lastShardZone, mode);
  if (fastFetching.length === machines.length || !plan.subsets) return plan;
  const fastPlan = planOnMachines(spec, fastFetching, hints.lastShardZone, mode);
  if (!fastPlan.subsets) return plan;
  // Preemption takes less time than a slow fetch, but waiting for running tasks to end takes more.
  const isSoonEnough = fastPlan.availability === 'immediate' || mode !== 'awaitCompletion';
  return isSoonEnough || plan.availability === 'afterReclaim' ? fastPlan : plan;
}

/**
 * Returns a plan on these machines, with free capacity if possible and otherwise after reclaiming.
 * A single shard zone with enough capacity is preferred, because its shard commits all placements
 * at once. Several shards have to reserve their subsets first and start when all have done so.
 */
function planOnMachines(
  spec: JobSpec,
  machines: readonly MachineCapacity[],
  lastShardZone: string | null,
  mode: ReclaimMode,
): GangPlan {
  const shardZones = gangCapacityByShardZone(spec, machines, (machine) =>
    reclaimableCapacity(machine, mode),
  );
  const allShardZones = [...shardZones.values()];
  const zones = groupByZone(allShardZones);
  const groups = spec.oneZone ? [...zones.values()] : [allShardZones];
  const preferred = lastShardZone === null ? undefined : shardZones.get(lastShardZone);
  for (const availability of ['immediate', 'afterReclaim'] as const) {
    const subsets =
      singleShardSubset(spec, allShardZones, preferred, availability) ??
      distributeOverGroups(spec, groups, availability);
    if (subsets) return { subsets, availability };
  }
  return spec.oneZone
    ? shortfallInBestZone(spec, zones)
    : { subsets: null, zone: spec.zone, missingTasks: countMissingTasks(spec, allShardZones) };
}

function groupByZone(shardZones: readonly GangCapacity[]): Map<string, GangCapacity[]> {
  const zones = new Map<string, GangCapacity[]>();
  for (const shardZone of shardZones) {
    const group = zones.get(shardZone.zone);
    if (group) group.push(shardZone);
    else zones.set(shardZone.zone, [shardZone]);
  }
  return zones;
}

function totalCapacity(shardZones: readonly GangCapacity[], availability: Availability): number {
  return shardZones.reduce((total, shardZone) => total + shardZone[availability], 0);
}

/**
 * Returns one subset with all tasks of a gang; null: no shard zone has the capacity, or the gang
 * must be spread over zones.
 */
function singleShardSubset(
  spec: JobSpec,
  shardZones: readonly GangCapacity[],
  preferred: GangCapacity | undefined,
  availability: Availability,
): GangSubset[] | null {
  if (spec.spread && spec.tasks !== 1) return null;
  const largest = shardZones.reduce<GangCapacity | null>(
    (found, shardZone) =>
      found === null || shardZone[availability] > found[availability] ? shardZone : found,
    null,
  );
  // A gang starts after the last of its machines has fetched the image. The machines of `preferred`
  // probably have it already, so that no task waits.
  const best = preferred && preferred[availability] >= spec.tasks ? preferred : largest;
  if (!best || best[availability] < spec.tasks) return null;
  return [{ shard: best.shard, zone: best.zone, count: spec.tasks }];
}

/**
 * Distributes a gang over the shard zones of one group, trying the group with the most capacity
 * first; null: it fits in no group.
 */
function distributeOverGroups(
  spec: JobSpec,
  groups: readonly GangCapacity[][],
  availability: Availability,
): GangSubset[] | null {
  const byCapacity = [...groups].sort(
    (a, b) => totalCapacity(b, availability) - totalCapacity(a, availability),
  );
  for (const group of byCapacity) {
    const subsets = fillShardZones(spec, group, availability);
    if (subsets) return subsets;
  }
  return null;
}

/**
 * Fills the shard zones with the most capacity first. For a spread gang, a zone gets at most half
 * of the tasks. Returns null if not all tasks fit.
 */
function fillShardZones(
  spec: JobSpec,
  shardZones: readonly GangCapacity[],
  availability: Availability,
): GangSubset[] | null {
  const maxPerZone = spec.spread ? Math.ceil(spec.tasks / 2) : Infinity;
  const countByZone = new Map<string, number>();
  const subsets: GangSubset[] = [];
  let remaining = spec.tasks;
  for (const shardZone of [...shardZones].sort((a, b) => b[availability] - a[availability])) {
    const assignedInZone = countByZone.get(shardZone.zone) ?? 0;
    const count = Math.min(remaining, shardZone[availability], maxPerZone - assignedInZone);
    if (count <= 0) continue;
    countByZone.set(shardZone.zone, assignedInZone + count);
    subsets.push({ shard: shardZone.shard, zone: shardZone.zone, count });
    remaining -= count;
    if (remaining === 0) return subsets;
  }
  return null;
}

/**
 * Returns a plan without subsets for a gang that must stay in one zone: the zone with the most
 * capacity, free or reclaimable, and the number of tasks without free capacity there.
 */
function shortfallInBestZone(
  spec: JobSpec,
  zones: ReadonlyMap<string, readonly GangCapacity[]>,
): GangPlan {
  const byCapacity = [...zones].sort(
    ([, a], [, b]) => totalCapacity(b, 'afterReclaim') - totalCapacity(a, 'afterReclaim'),
  );
  const [zone, shardZones] = byCapacity[0] ?? [spec.zone, []];
  return { subsets: null, zone, missingTasks: countMissingTasks(spec, shardZones) };
}

/** Returns how many tasks of a gang have no free capacity in these shard zones, at least 1. */
function countMissingTasks(spec: JobSpec, shardZones: readonly GangCapacity[]): number {
  return Math.max(1, spec.tasks - totalCapacity(shardZones, 'immediate'));
}
