import {
  ATTEMPT_PARTS,
  ATTEMPT_STEP,
  GANG_ENDING_SHARE,
  GANG_IMAGES,
  GANG_KEEP_FOR_MS,
  GANG_KEEP_FROM_MS,
  GANG_RETRY_MS,
  GANG_RETRY_MOST_MS,
  GANG_SHARE_LEAST,
  GANGS_MS,
} from '../constants.js';
import { rankOf, type JobSpec } from '../protocol/model.js';
import type { Clock } from '../transport/clock.js';
import { URGENT, placeKey } from './priorities.js';
import {
  fitCount,
  reclaimModeFor,
  reclaimModesFor,
  type ReclaimMode,
  isEligible,
  occupyReclaimable,
  reclaimableCapacity,
  type MachineCapacity,
} from './capacity.js';

/** Tasks of a gang for one part. */
export interface Share {
  part: string;
  zone: string;
  count: number;
}

/**
 * Where a gang goes as a whole. `now`: there is free room for all of it; `soon`: there is once work
 * that may be stopped, or ends by itself, has left. No shares: there is not; `zone` is then where it
 * misses the least (null: anywhere), and `missing` how many of its tasks have no room there.
 */
export type GangPlan =
  | { shares: Share[]; when: 'now' | 'soon' }
  | { shares: null; zone: string | null; missing: number };

interface Place {
  part: string;
  zone: string;
  now: number;
  soon: number;
}

/** Fills the places with the most room first, at most so many tasks in each zone. */
function fill(
  places: readonly Place[],
  when: 'now' | 'soon',
  tasks: number,
  perZone: number,
): Share[] | null {
  const zones = new Map<string, number>();
  const shares: Share[] = [];
  let left = tasks;
  for (const place of [...places].sort((a, b) => b[when] - a[when])) {
    const inZone = zones.get(place.zone) ?? 0;
    const count = Math.min(left, place[when], perZone - inZone);
    if (count <= 0) continue;
    zones.set(place.zone, inZone + count);
    shares.push({ part: place.part, zone: place.zone, count });
    left -= count;
    if (left === 0) return shares;
  }
  return null;
}

/**
 * Shares of a gang that waits for arrays to end, by what falls free in each part: several parts free
 * some places each sooner than one of them frees all. Null: there is no room to come for it.
 */
function divide(places: readonly Place[], tasks: number): Share[] | null {
  const most = Math.max(1, Math.floor(tasks / GANG_SHARE_LEAST));
  const chosen = [...places].sort((a, b) => b.soon - a.soon).slice(0, most);
  let room = chosen.reduce((sum, place) => sum + place.soon, 0);
  let left = tasks;
  const shares: Share[] = [];
  for (const { part, zone, soon } of chosen) {
    const count = Math.min(soon, Math.round((left * soon) / Math.max(1, room)));
    room -= soon;
    left -= count;
    if (count > 0) shares.push({ part, zone, count });
  }
  return left === 0 ? shares : null;
}

/** What the leader knows of a gang's image. */
export interface ImageHints {
  /** The place that had a gang with this image last; null: none. */
  lastPlace: string | null;
  /** Machine types that fetch the image soon enough for the start aim of the gang's class. */
  fetchesInTime: (type: string) => boolean;
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
  known: string | null,
  mode: ReclaimMode,
): GangPlan {
  const places = new Map<string, Place>();
  for (const machine of machines) {
    if (!isEligible(spec, machine)) continue;
    const key = placeKey(machine.part, machine.zone);
    let place = places.get(key);
    if (!place) {
      places.set(key, (place = { part: machine.part, zone: machine.zone, now: 0, soon: 0 }));
    }
    place.now += fitCount(machine, spec);
    place.soon += fitCount(reclaimableCapacity(machine, mode), spec);
  }
  const all = [...places.values()];
  const zones = new Map<string, Place[]>();
  for (const place of all) zones.set(place.zone, [...(zones.get(place.zone) ?? []), place]);
  const perZone = spec.spread ? Math.ceil(spec.tasks / 2) : Infinity;
  const groups = spec.oneZone ? [...zones.values()] : [all];
  const sum = (group: readonly Place[], when: 'now' | 'soon'): number =>
    group.reduce((total, place) => total + place[when], 0);
  for (const when of ['now', 'soon'] as const) {
    if (when === 'soon' && mode === 'ending' && !spec.spread) {
      for (const group of [...groups].sort((a, b) => sum(b, when) - sum(a, when))) {
        const shares = divide(group, spec.tasks);
        if (shares) return { shares, when };
      }
    }
    if (!spec.spread || spec.tasks === 1) {
      const most = all.reduce<Place | null>(
        (found, place) => (found === null || place[when] > found[when] ? place : found),
        null,
      );
      // A gang starts with its last fetch: machines that hold the image spare it the whole wait.
      const same = known === null ? undefined : places.get(known);
      const best = same && same[when] >= spec.tasks ? same : most;
      if (best && best[when] >= spec.tasks) {
        return { shares: [{ part: best.part, zone: best.zone, count: spec.tasks }], when };
      }
    }
    for (const group of [...groups].sort((a, b) => sum(b, when) - sum(a, when))) {
      const shares = fill(group, when, spec.tasks, perZone);
      if (shares) return { shares, when };
    }
  }
  if (!spec.oneZone) {
    return { shares: null, zone: spec.zone, missing: Math.max(1, spec.tasks - sum(all, 'now')) };
  }
  const best = [...zones].sort(([, a], [, b]) => sum(b, 'soon') - sum(a, 'soon'))[0];
  return {
    shares: null,
    zone: best?.[0] ?? spec.zone,
    missing: Math.max(1, spec.tasks - sum(best?.[1] ?? [], 'now')),
  };
}

/**
 * Where gangs like these would lack room if they came now, one after the other: with the zone where
 * they lack the least. Only part of what would make room counts, since it does so one by one.
 */
export function missingGangCapacity(
  gangs: readonly JobSpec[],
  machines: readonly MachineCapacity[],
): { spec: JobSpec; count: number }[] {
  const rooms = machines.filter((one) => !one.spot).map((one) => ({ ...one }));
  const found: { spec: JobSpec; count: number }[] = [];
  for (const spec of [...gangs].sort((a, b) => b.tasks * b.cpus - a.tasks * a.cpus)) {
    const zones = new Map<string, number>();
    for (const room of rooms) {
      if (!isEligible(spec, room)) continue;
      const now = fitCount(room, spec);
      const later = fitCount(reclaimableCapacity(room, reclaimModeFor(spec)), spec) - now;
      zones.set(room.zone, (zones.get(room.zone) ?? 0) + now + later * GANG_ENDING_SHARE);
    }
    const [best] = [...zones].sort((a, b) => b[1] - a[1]);
    const zone = best?.[0] ?? spec.zone;
    let left = spec.tasks;
    for (const soon of [false, true]) {
      for (const room of rooms) {
        if (left <= 0 || room.zone !== zone || !isEligible(spec, room)) continue;
        const all = fitCount(soon ? reclaimableCapacity(room, reclaimModeFor(spec)) : room, spec);
        const count = Math.min(left, soon ? Math.floor(all * GANG_ENDING_SHARE) : all);
        occupyReclaimable(room, spec, count);
        left -= count;
      }
    }
    if (left > 0) found.push({ spec: { ...spec, zone }, count: left });
  }
  return found;
}

/** The gangs that came lately, as a leader or a part hears of them. */
export class RecentGangs {
  private readonly recent: { at: number; spec: JobSpec }[] = [];

  constructor(private readonly clock: Clock) {}

  add(spec: JobSpec): void {
    this.recent.push({ at: this.clock.now(), spec });
  }

  /** The largest of each class: the next may be like it. */
  get largest(): JobSpec[] {
    const now = this.clock.now();
    while (this.recent[0] && now - this.recent[0].at > GANGS_MS) this.recent.shift();
    const largest = new Map<string, JobSpec>();
    for (const { spec } of this.recent) {
      const known = largest.get(spec.class);
      if (!known || known.tasks * known.cpus < spec.tasks * spec.cpus)
        largest.set(spec.class, spec);
    }
    return [...largest.values()];
  }

  /** The largest that can't stop other work to make room: for one like it some is kept free. */
  get patient(): JobSpec | null {
    return this.largest
      .filter((spec) => rankOf(spec.priority) < URGENT)
      .reduce<JobSpec | null>(
        (best, spec) => (best && best.tasks * best.cpus >= spec.tasks * spec.cpus ? best : spec),
        null,
      );
  }
}

/**
 * The one place that keeps free room for such a gang: where most ordinary machines are that it may
 * use. Leader and parts reckon it alike, and if they differ for a moment, arrays wait a little.
 */
export function reservingPlace(
  spec: JobSpec,
  machines: Iterable<{ part: string; type: string; zone: string; spot: boolean }>,
): string | null {
  const counts = new Map<string, number>();
  for (const machine of machines) {
    if (machine.spot || !isEligible(spec, machine)) continue;
    const place = placeKey(machine.part, machine.zone);
    counts.set(place, (counts.get(place) ?? 0) + 1);
  }
  let best: string | null = null;
  let most = 0;
  for (const [place, count] of counts) {
    if (count < most || (count === most && best !== null && place > best)) continue;
    best = place;
    most = count;
  }
  return best;
}

/** Machines whose room is kept from arrays for a gang like this one. */
export function reservedMachines(spec: JobSpec, machines: readonly MachineCapacity[]): Set<string> {
  const place = reservingPlace(spec, machines);
  const rooms = machines
    .filter((one) => !one.spot && placeKey(one.part, one.zone) === place && isEligible(spec, one))
    .map(({ name, ...one }) => ({
      name,
      now: fitCount(one, spec),
      soon: fitCount(reclaimableCapacity({ name, ...one }, 'ending'), spec),
    }))
    .sort((a, b) => b.now - a.now || b.soon - a.soon || (a.name < b.name ? -1 : 1));
  const kept = new Set<string>();
  let room = 0;
  for (const { name, soon } of rooms) {
    if (room >= spec.tasks) break;
    if (soon === 0) continue;
    kept.add(name);
    room += soon;
  }
  return kept;
}

/** What the leader remembers of gangs: their attempts, and how long they wait. */
export class Gangs {
  private count = 0;
  private readonly tries = new Map<string, { count: number; at: number }>();
  private readonly waits = new Map<string, number>();
  /** Where a gang with an image was last, in the order of use. */
  private readonly images = new Map<string, string>();

  constructor(private readonly term: number) {}

  /** A new attempt for all tasks of a gang: numbers of no part, and never used again. */
  attempt(job: string, now: number): number {
    this.tries.set(job, { count: (this.tries.get(job)?.count ?? 0) + 1, at: now });
    this.waits.delete(job);
    return (this.term * ATTEMPT_PARTS + ATTEMPT_PARTS - 1) * ATTEMPT_STEP + ++this.count;
  }

  placeOf(image: string): string | null {
    return this.images.get(image) ?? null;
  }

  placed(image: string, share: Share): void {
    this.images.delete(image);
    this.images.set(image, placeKey(share.part, share.zone));
    const oldest = this.images.keys().next();
    if (this.images.size > GANG_IMAGES && !oldest.done) this.images.delete(oldest.value);
  }

  /** A gang that came back again and again waits longer each time. */
  mayTry(job: string, now: number): boolean {
    const { count, at } = this.tries.get(job) ?? { count: 0, at: -Infinity };
    return now - at >= Math.min(GANG_RETRY_MOST_MS, GANG_RETRY_MS * 2 ** count);
  }

  /**
   * Whether room is kept for a gang that waits: after some seconds and for a time, then for as long
   * not, so that what can't start soon holds up nobody for ever.
   */
  keeps(job: string, now: number): boolean {
    const since = this.waits.get(job) ?? now;
    this.waits.set(job, since);
    const waited = now - since - GANG_KEEP_FROM_MS;
    return waited >= 0 && waited % (2 * GANG_KEEP_FOR_MS) < GANG_KEEP_FOR_MS;
  }

  forget(open: (job: string) => boolean): void {
    for (const known of [this.tries, this.waits]) {
      for (const job of known.keys()) if (!open(job)) known.delete(job);
    }
  }
}
