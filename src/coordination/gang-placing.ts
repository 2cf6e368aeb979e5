import { CLAIM_VALID_MS, GANG_KEEP_TIMES } from '../constants.js';
import { rankOf, type JobSpec } from '../protocol/model.js';
import type { Clock } from '../transport/clock.js';
import type { Machine } from './machine.js';
import { fits, take, type Room } from './room.js';
import { fitCount } from './capacity.js';
import type { Chunk, Slot, Tasks } from './tasks.js';

/** A machine that may take tasks, the room left on it, and whether it holds none. */
export interface Place {
  machine: Machine;
  room: Room;
  empty: boolean;
  /** Its room is kept for a gang that does not fit yet. */
  kept: boolean;
  /** Its room is kept from arrays for the next gang. */
  noArrays: boolean;
}

export type Victim = [Slot, Chunk];

/** A place while room is made on it: what is left, what may be stopped, and what will be. */
interface State {
  place: Place;
  room: Room;
  others: Victim[];
  victims: Victim[];
}

/** Tasks to stop for one more task, and what that costs. */
interface Choice {
  victims: Victim[];
  cost: number;
}

/** A gang's way onto machines: on each place so many tasks, once these others have left. */
interface Layout {
  places: Place[];
  victims: Map<Place, Victim[]>;
}

/** What is known of the fetch of a gang's image. */
interface FetchTimes {
  /** Whether a machine has the image soon enough for the start aim of the gang's class. */
  inTime: (machine: Machine) => boolean;
  /** Whether it has it while tasks with the image still wait for it, at the slowest. */
  whileOthersWait: (machine: Machine) => boolean;
}

/** How a part places its share of a gang: all of it at once, or none. */
export class GangPlacing {
  constructor(
    private readonly tasks: Tasks,
    /** Tasks on a place that a job of this rank, or a claim on teams' arrays, may stop, in order. */
    private readonly victims: (
      place: Place,
      rank: number,
      teams: ReadonlyMap<string, number>,
    ) => Victim[],
    private readonly costOf: (victim: Victim) => number,
    private readonly job: (id: string) => { spec: JobSpec } | null,
    private readonly clock: Clock,
  ) {}

  /**
   * A place for each waiting task, or null. `types`: the machine types that may take it, the best
   * first; a gang runs at the speed of its slowest member, so one type is tried before a mixture.
   * A machine that has the image late holds up all members: making room elsewhere comes before that.
   */
  lay(
    spec: JobSpec,
    chunk: Chunk,
    open: readonly Place[],
    types: readonly string[],
    fetches: FetchTimes,
  ): Layout | null {
    const inTime = open.filter(({ machine }) => fetches.inTime(machine));
    const complete = open.filter(({ machine }) => fetches.whileOthersWait(machine));
    for (const some of inTime.length < complete.length ? [inTime, complete] : [complete]) {
      const layout = this.layOn(spec, chunk, some, types);
      if (layout) return layout;
    }
    if (complete.length === open.length) return null;
    // Where a fetch may outlast the wait of those that have the image, all of them must fetch it,
    // from machines that are equally quick.
    const cold = open.filter(({ machine }) => !machine.images.has(spec.image));
    for (const type of types) {
      const alike = cold.filter(({ machine }) => machine.type === type);
      const layout = this.layOn(spec, chunk, alike, [type]);
      if (layout) return layout;
    }
    return null;
  }

  private layOn(
    spec: JobSpec,
    chunk: Chunk,
    open: readonly Place[],
    types: readonly string[],
  ): Layout | null {
    const groups = types.map((type) => open.filter(({ machine }) => machine.type === type));
    if (types.length > 1) groups.push([...open]);
    for (const group of groups) {
      const layout = this.inFreeRoom(spec, chunk, group);
      if (layout) return layout;
    }
    for (const group of groups) {
      const layout = this.byStopping(spec, chunk, group);
      if (layout) return layout;
    }
    return null;
  }

  private inFreeRoom(spec: JobSpec, chunk: Chunk, group: readonly Place[]): Layout | null {
    // All wait for the last fetch, so images help most where every machine has it.
    const has = ({ machine }: Place): boolean => machine.images.has(spec.image);
    const worth = (place: Place): number =>
      (place.machine.spot ? 0 : 4) + (has(place) ? 2 : 0) + (place.empty ? 0 : 1);
    const sorted = [...group].sort((a, b) => worth(b) - worth(a));
    for (const some of [sorted.filter(has), sorted]) {
      const places: Place[] = [];
      for (const place of some) {
        const count = Math.min(
          chunk.waiting.size - places.length,
          fitCount(place.room, chunk.record),
        );
        for (let at = 0; at < count; at++) places.push(place);
        if (places.length === chunk.waiting.size) return { places, victims: new Map() };
      }
    }
    return null;
  }

  /** Free room, and room made by stopping as few other tasks as will do. */
  private byStopping(spec: JobSpec, chunk: Chunk, group: readonly Place[]): Layout | null {
    const allowance = new Map(Object.entries(this.reclaimOf(chunk)));
    const rank = rankOf(spec.priority);
    const states = group.map((place) => ({
      place,
      room: { ...place.room },
      others: this.victims(place, rank, allowance),
      victims: [] as Victim[],
    }));
    const places: Place[] = [];
    while (places.length < chunk.waiting.size) {
      let best: State | null = null;
      let chosen: Choice | null = null;
      for (const state of states) {
        const choice = this.choose(state, rank, chunk.record, allowance);
        if (!choice || choice.cost >= (chosen?.cost ?? Infinity)) continue;
        best = state;
        chosen = choice;
        if (choice.cost === 0) break;
      }
      if (!best || !chosen) return null;
      this.stopOn(best, chosen, rank, allowance);
      take(best.room, chunk.record);
      places.push(best.place);
    }
    const victims = new Map<Place, Victim[]>();
    for (const state of states) {
      if (state.victims.length > 0) victims.set(state.place, state.victims);
    }
    return { places, victims };
  }

  /** The first tasks on a place whose end makes room for one more task; null: none do. */
  private choose(
    { room, others }: State,
    rank: number,
    task: Room,
    allowance: ReadonlyMap<string, number>,
  ): Choice | null {
    const left = { ...room };
    const claimed = new Map<string, number>();
    const victims: Victim[] = [];
    let cost = 0;
    for (const victim of others) {
      if (fits(left, task)) break;
      const { record } = victim[1];
      if (!this.isLower(victim, rank)) {
        const cpus = (claimed.get(record.team) ?? 0) + record.cpus;
        if (cpus > (allowance.get(record.team) ?? 0) + 1e-9) continue;
        claimed.set(record.team, cpus);
      }
      take(left, record, -1);
      cost += this.costOf(victim);
      victims.push(victim);
    }
    return fits(left, task) ? { victims, cost } : null;
  }

  private stopOn(
    state: State,
    { victims }: Choice,
    rank: number,
    allowance: Map<string, number>,
  ): void {
    for (const victim of victims) {
      const { record } = victim[1];
      take(state.room, record, -1);
      state.victims.push(victim);
      if (this.isLower(victim, rank)) continue;
      allowance.set(record.team, (allowance.get(record.team) ?? 0) - record.cpus);
    }
    state.others = state.others.filter((one) => !victims.includes(one));
  }

  private isLower([, chunk]: Victim, rank: number): boolean {
    const spec = this.job(chunk.job)?.spec;
    return spec !== undefined && rankOf(spec.priority) < rank;
  }

  /** CPUs of other teams' arrays that a gang may stop: only for a moment after it was handed out. */
  private reclaimOf(chunk: Chunk): Record<string, number> {
    const [first] = chunk.waiting;
    const recent = first !== undefined && this.clock.now() - first.pendingSince < CLAIM_VALID_MS;
    return recent ? (chunk.record.reclaim ?? {}) : {};
  }

  /** Keeps room from arrays for the next gang of this kind. */
  keepFree(spec: JobSpec, places: readonly Place[]): void {
    const rooms = this.roomsFor(spec, places).sort((a, b) => b.now - a.now || b.later - a.later);
    let room = 0;
    for (const { place, later } of rooms) {
      if (room >= spec.tasks) return;
      if (later === 0) continue;
      place.noArrays = true;
      room += later;
    }
  }

  /** How many such tasks fit now, and once the arrays there have ended. */
  private roomsFor(task: Room, places: readonly Place[]) {
    return places.map((place) => {
      const later = { ...place.room };
      for (const [, other] of this.tasks.on(place.machine.name)) {
        if (this.job(other.job)?.spec.kind === 'array') take(later, other.record, -1);
      }
      return { place, now: fitCount(place.room, task), later: fitCount(later, task) };
    });
  }

  /** Keeps room where the gang will fit once arrays there have ended; false: nowhere. */
  keep(chunk: Chunk, open: readonly Place[]): boolean {
    const rooms = this.roomsFor(chunk.record, open);
    rooms.sort((a, b) => b.now - a.now || b.later - a.later);
    // More than it needs, since it waits for what ends first, not for all that runs there now.
    const kept: Place[] = [];
    let room = 0;
    for (const { place, later } of rooms) {
      if (room >= chunk.waiting.size * GANG_KEEP_TIMES) break;
      if (later === 0) continue;
      kept.push(place);
      room += later;
    }
    // Where it will not fit in any case, it holds up nobody.
    if (room < chunk.waiting.size) return false;
    for (const place of kept) place.kept = true;
    return true;
  }
}
