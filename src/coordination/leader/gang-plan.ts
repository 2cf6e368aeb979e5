/** Plans where a gang goes as a whole: which parts take how many of its tasks, and in which zones. */

import type { JobSpec } from '../../protocol/model.js';
import {
  reclaimableCapacity,
  reclaimModesFor,
  type MachineCapacity,
  type ReclaimMode,
} from '../capacity/machine-capacity.js';
import type { ShardZone } from '../capacity/shard-zone.js';
import {
  gangCapacityByShardZone,
  type Availability,
  type GangCapacity,
} from './gang-shard-zones.js';

/** Tasks of a gang for one part. */
export interface GangShare extends ShardZone {
  readonly count: number;
}

/**
 * Where a gang goes as a whole, and when there is room for it. No shares: there is no room; `zone` is
 * then where it lacks the least (null: anywhere), and `missing` how many of its tasks have no room
 * there.
 */
export type GangPlan =
  | { shares: GangShare[]; availability: Availability }
  | { shares: null; zone: string | null; missingTasks: number };

/** What the leader recorded about a gang's image. */
export interface ImageHints {
  /** The place that had a gang with this image last; null: none. */
  lastShardZone: string | null;
  /** Machine types that fetch the image soon enough for the start aim of the gang's class. */
  isFetchInTime: (type: string) => boolean;
}

const NO_HINTS: ImageHints = { lastShardZone: null, isFetchInTime: () => true };

/** Decides where a gang goes: where it costs the least to make room, if there is none. */
export function planGang(
  spec: JobSpec,
  machines: readonly MachineCapacity[],
  hints: ImageHints = NO_HINTS,
): GangPlan {
  const modes = reclaimModesFor(spec);
  for (const mode of modes.slice(0, -1)) {
    const plan = planPreferringFastFetch(spec, machines, hints, mode);
    if (plan.shares) return plan;
  }
  return planPreferringFastFetch(spec, machines, hints, modes.at(-1) ?? 'awaitCompletion');
}

/**
 * Machines that fetch a gang's image in time come before others, since it starts with its last
 * fetch; only where they have no room do the others count.
 */
function planPreferringFastFetch(
  spec: JobSpec,
  machines: readonly MachineCapacity[],
  hints: ImageHints,
  mode: ReclaimMode,
): GangPlan {
  const fastFetching = machines.filter(({ type }) => hints.isFetchInTime(type));
  const plan = planOnMachines(spec, machines, hints.lastShardZone, mode);
  if (fastFetching.length === machines.length || !plan.shares) return plan;
  const fastPlan = planOnMachines(spec, fastFetching, hints.lastShardZone, mode);
  if (!fastPlan.shares) return plan;
  // Stopping other work takes less time than a slow fetch, waiting for its end takes more.
  const isSoonEnough = fastPlan.availability === 'immediate' || mode !== 'awaitCompletion';
  return isSoonEnough || plan.availability === 'afterReclaim' ? fastPlan : plan;
}

/**
 * One part that has the room is best: it commits all placements at once. Several parts reserve
 * theirs, and start when all have. By real fit on each machine, not by totals.
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
    const shares =
      singleShardShare(spec, allShardZones, preferred, availability) ??
      distributeOverGroups(spec, groups, availability);
    if (shares) return { shares, availability };
  }
  return spec.oneZone
    ? shortfallInBestZone(spec, zones)
    : { shares: null, zone: spec.zone, missingTasks: countMissingTasks(spec, allShardZones) };
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

/** All tasks of a gang in one place, as its only share; null: it may not, or no place has the room. */
function singleShardShare(
  spec: JobSpec,
  shardZones: readonly GangCapacity[],
  preferred: GangCapacity | undefined,
  availability: Availability,
): GangShare[] | null {
  if (spec.spread && spec.tasks !== 1) return null;
  const largest = shardZones.reduce<GangCapacity | null>(
    (found, shardZone) =>
      found === null || shardZone[availability] > found[availability] ? shardZone : found,
    null,
  );
  // A gang starts with its last fetch: machines that hold the image spare it the whole wait.
  const best = preferred && preferred[availability] >= spec.tasks ? preferred : largest;
  if (!best || best[availability] < spec.tasks) return null;
  return [{ shard: best.shard, zone: best.zone, count: spec.tasks }];
}

/** Shares for several places of one group, of the group with the most room first. */
function distributeOverGroups(
  spec: JobSpec,
  groups: readonly GangCapacity[][],
  availability: Availability,
): GangShare[] | null {
  const byCapacity = [...groups].sort(
    (a, b) => totalCapacity(b, availability) - totalCapacity(a, availability),
  );
  for (const group of byCapacity) {
    const shares = fillShardZones(spec, group, availability);
    if (shares) return shares;
  }
  return null;
}

/** Fills the places with the most room first; of a spread gang at most half goes to each zone. */
function fillShardZones(
  spec: JobSpec,
  shardZones: readonly GangCapacity[],
  availability: Availability,
): GangShare[] | null {
  const maxPerZone = spec.spread ? Math.ceil(spec.tasks / 2) : Infinity;
  const countByZone = new Map<string, number>();
  const shares: GangShare[] = [];
  let remaining = spec.tasks;
  for (const shardZone of [...shardZones].sort((a, b) => b[availability] - a[availability])) {
    const assignedInZone = countByZone.get(shardZone.zone) ?? 0;
    const count = Math.min(remaining, shardZone[availability], maxPerZone - assignedInZone);
    if (count <= 0) continue;
    countByZone.set(shardZone.zone, assignedInZone + count);
    shares.push({ shard: shardZone.shard, zone: shardZone.zone, count });
    remaining -= count;
    if (remaining === 0) return shares;
  }
  return null;
}

/** What a gang that needs one zone lacks in the zone that will have the most room for it. */
function shortfallInBestZone(
  spec: JobSpec,
  zones: ReadonlyMap<string, readonly GangCapacity[]>,
): GangPlan {
  const byCapacity = [...zones].sort(
    ([, a], [, b]) => totalCapacity(b, 'afterReclaim') - totalCapacity(a, 'afterReclaim'),
  );
  const [zone, shardZones] = byCapacity[0] ?? [spec.zone, []];
  return { shares: null, zone, missingTasks: countMissingTasks(spec, shardZones) };
}

/** How many of a gang's tasks have no free room in these places; at least one. */
function countMissingTasks(spec: JobSpec, shardZones: readonly GangCapacity[]): number {
  return Math.max(1, spec.tasks - totalCapacity(shardZones, 'immediate'));
}
