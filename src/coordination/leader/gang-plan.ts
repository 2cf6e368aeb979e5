/** Plans where a gang goes as a whole: which parts take how many of its tasks, and in which zones. */

import type { JobSpec } from '../../protocol/model.js';
import {
  fitCount,
  isEligible,
  reclaimableCapacity,
  reclaimModesFor,
  type MachineCapacity,
  type ReclaimMode,
} from '../capacity/machine-capacity.js';
import { shardZoneKey } from '../capacity/priorities.js';

/** Tasks of a gang for one part. */
export interface Share {
  shard: string;
  zone: string;
  count: number;
}

/**
 * When there is room for all of a gang. `now`: it is free. `soon`: it will be, once work that may be
 * stopped, or ends by itself, has left.
 */
export type Availability = 'now' | 'soon';

/**
 * Where a gang goes as a whole, and when there is room for it. No shares: there is no room; `zone` is
 * then where it lacks the least (null: anywhere), and `missing` how many of its tasks have no room
 * there.
 */
export type GangPlan =
  { shares: Share[]; when: Availability } | { shares: null; zone: string | null; missing: number };

/** What the leader recorded about a gang's image. */
export interface ImageHints {
  /** The place that had a gang with this image last; null: none. */
  lastPlace: string | null;
  /** Machine types that fetch the image soon enough for the start aim of the gang's class. */
  fetchesInTime: (type: string) => boolean;
}

/** The machines of one part in one zone, and how many of the gang's tasks fit there. */
interface PlaceCapacity {
  shard: string;
  zone: string;
  now: number;
  soon: number;
}

const NO_HINTS: ImageHints = { lastPlace: null, fetchesInTime: () => true };

/** Decides where a gang goes: where it costs the least to make room, if there is none. */
export function planGang(
  spec: JobSpec,
  machines: readonly MachineCapacity[],
  hints: ImageHints = NO_HINTS,
): GangPlan {
  const modes = reclaimModesFor(spec);
  for (const mode of modes.slice(0, -1)) {
    const plan = planInTime(spec, machines, hints, mode);
    if (plan.shares) return plan;
  }
  return planInTime(spec, machines, hints, modes.at(-1) ?? 'ending');
}

/**
 * Machines that fetch a gang's image in time come before others, since it starts with its last
 * fetch; only where they have no room do the others count.
 */
function planInTime(
  spec: JobSpec,
  machines: readonly MachineCapacity[],
  hints: ImageHints,
  mode: ReclaimMode,
): GangPlan {
  const quick = machines.filter(({ type }) => hints.fetchesInTime(type));
  const plan = planAmong(spec, machines, hints.lastPlace, mode);
  if (quick.length === machines.length || !plan.shares) return plan;
  const inTime = planAmong(spec, quick, hints.lastPlace, mode);
  if (!inTime.shares) return plan;
  // Stopping other work takes less time than a slow fetch, waiting for its end takes more.
  const soonEnough = inTime.when === 'now' || mode !== 'ending';
  return soonEnough || plan.when === 'soon' ? inTime : plan;
}

/**
 * One part that has the room is best: it commits all placements at once. Several parts reserve
 * theirs, and start when all have. By real fit on each machine, not by totals.
 */
function planAmong(
  spec: JobSpec,
  machines: readonly MachineCapacity[],
  lastPlace: string | null,
  mode: ReclaimMode,
): GangPlan {
  const places = capacityByPlace(spec, machines, mode);
  const all = [...places.values()];
  const zones = groupByZone(all);
  const groups = spec.oneZone ? [...zones.values()] : [all];
  const preferred = lastPlace === null ? undefined : places.get(lastPlace);
  for (const when of ['now', 'soon'] as const) {
    const shares = shareOfOneShard(spec, all, preferred, when) ?? shareOut(spec, groups, when);
    if (shares) return { shares, when };
  }
  return spec.oneZone
    ? lackInBestZone(spec, zones)
    : { shares: null, zone: spec.zone, missing: missingTasks(spec, all) };
}

/** How many of a gang's tasks fit in each place, by its key. */
function capacityByPlace(
  spec: JobSpec,
  machines: readonly MachineCapacity[],
  mode: ReclaimMode,
): Map<string, PlaceCapacity> {
  const places = new Map<string, PlaceCapacity>();
  for (const machine of machines) {
    if (!isEligible(spec, machine)) continue;
    const { shard, zone } = machine;
    const key = shardZoneKey(shard, zone);
    const place = places.get(key) ?? { shard, zone, now: 0, soon: 0 };
    places.set(key, place);
    place.now += fitCount(machine, spec);
    place.soon += fitCount(reclaimableCapacity(machine, mode), spec);
  }
  return places;
}

function groupByZone(places: readonly PlaceCapacity[]): Map<string, PlaceCapacity[]> {
  const zones = new Map<string, PlaceCapacity[]>();
  for (const place of places) {
    const group = zones.get(place.zone);
    if (group) group.push(place);
    else zones.set(place.zone, [place]);
  }
  return zones;
}

function totalCapacity(places: readonly PlaceCapacity[], when: Availability): number {
  return places.reduce((total, place) => total + place[when], 0);
}

/** All tasks of a gang in one place, as its only share; null: it may not, or no place has the room. */
function shareOfOneShard(
  spec: JobSpec,
  places: readonly PlaceCapacity[],
  preferred: PlaceCapacity | undefined,
  when: Availability,
): Share[] | null {
  if (spec.spread && spec.tasks !== 1) return null;
  const largest = places.reduce<PlaceCapacity | null>(
    (found, place) => (found === null || place[when] > found[when] ? place : found),
    null,
  );
  // A gang starts with its last fetch: machines that hold the image spare it the whole wait.
  const best = preferred && preferred[when] >= spec.tasks ? preferred : largest;
  if (!best || best[when] < spec.tasks) return null;
  return [{ shard: best.shard, zone: best.zone, count: spec.tasks }];
}

/** Shares for several places of one group, of the group with the most room first. */
function shareOut(
  spec: JobSpec,
  groups: readonly PlaceCapacity[][],
  when: Availability,
): Share[] | null {
  const bySize = [...groups].sort((a, b) => totalCapacity(b, when) - totalCapacity(a, when));
  for (const group of bySize) {
    const shares = fillPlaces(spec, group, when);
    if (shares) return shares;
  }
  return null;
}

/** Fills the places with the most room first; of a spread gang at most half goes to each zone. */
function fillPlaces(
  spec: JobSpec,
  places: readonly PlaceCapacity[],
  when: Availability,
): Share[] | null {
  const perZone = spec.spread ? Math.ceil(spec.tasks / 2) : Infinity;
  const countByZone = new Map<string, number>();
  const shares: Share[] = [];
  let left = spec.tasks;
  for (const place of [...places].sort((a, b) => b[when] - a[when])) {
    const inZone = countByZone.get(place.zone) ?? 0;
    const count = Math.min(left, place[when], perZone - inZone);
    if (count <= 0) continue;
    countByZone.set(place.zone, inZone + count);
    shares.push({ shard: place.shard, zone: place.zone, count });
    left -= count;
    if (left === 0) return shares;
  }
  return null;
}

/** What a gang that needs one zone lacks in the zone that will have the most room for it. */
function lackInBestZone(
  spec: JobSpec,
  zones: ReadonlyMap<string, readonly PlaceCapacity[]>,
): GangPlan {
  const bySize = [...zones].sort(
    ([, a], [, b]) => totalCapacity(b, 'soon') - totalCapacity(a, 'soon'),
  );
  const [zone, places] = bySize[0] ?? [spec.zone, []];
  return { shares: null, zone, missing: missingTasks(spec, places) };
}

/** How many of a gang's tasks have no free room in these places; at least one. */
function missingTasks(spec: JobSpec, places: readonly PlaceCapacity[]): number {
  return Math.max(1, spec.tasks - totalCapacity(places, 'now'));
}
