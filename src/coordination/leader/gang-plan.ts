/** Plans where a gang goes as a whole: which shards get how many of its tasks, in which zones. */

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

/** The tasks of a gang that one shard zone gets. */
export interface GangSubset extends ShardZone {
  readonly count: number;
}

/**
 * Where a gang goes as a whole, and when there is capacity for it. No shares: there is none; `zone`
 * is then the one that lacks the least (null: any), and `missingTasks` how many tasks lack capacity
 * there.
 */
export type GangPlan =
  | { subsets: GangSubset[]; availability: Availability }
  | { subsets: null; zone: string | null; missingTasks: number };

/** Where fetching the image of a gang takes little or no time. */
export interface ImageHints {
  /** Key of the shard zone in which a gang with this image ran last; null: none. */
  lastShardZone: string | null;
  /**
   * Whether a machine type fetches the image within the start-time objective of the gang's class.
   */
  isFetchInTime: (type: string) => boolean;
}

const NO_HINTS: ImageHints = { lastShardZone: null, isFetchInTime: () => true };

/**
 * Decides where a gang goes; without free capacity, by the cheapest mode of reclaiming that
 * suffices.
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
 * Machines that fetch the image in time come before others, since a gang starts with its last
 * fetch; others count only where these have no capacity.
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
  // Preemption takes less time than a slow fetch; waiting for tasks to end takes more.
  const isSoonEnough = fastPlan.availability === 'immediate' || mode !== 'awaitCompletion';
  return isSoonEnough || plan.availability === 'afterReclaim' ? fastPlan : plan;
}

/**
 * A single shard with enough capacity is best, since it commits all placements at once. Several
 * shards reserve theirs, and start when all have.
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

/** All tasks of a gang in one shard zone; null: its spread forbids it, or none has the capacity. */
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
  // A gang starts with its last fetch: machines that hold the image save the whole wait.
  const best = preferred && preferred[availability] >= spec.tasks ? preferred : largest;
  if (!best || best[availability] < spec.tasks) return null;
  return [{ shard: best.shard, zone: best.zone, count: spec.tasks }];
}

/** Shares over the shard zones of one group, the group with the most capacity first. */
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
 * Fills the shard zones with the most capacity first; a zone gets at most half of a spread gang.
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

/** What a gang that must stay in one zone lacks in the zone with the most capacity for it. */
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

/** How many tasks of a gang have no free capacity in these shard zones; at least one. */
function countMissingTasks(spec: JobSpec, shardZones: readonly GangCapacity[]): number {
  return Math.max(1, spec.tasks - totalCapacity(shardZones, 'immediate'));
}
