import { GANG_KEEP_TIMES } from '../constants.js';
import { rankOf, type JobSpec } from '../protocol/model.js';
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

/** A gang's way onto machines: on each place so many tasks, once these others have left. */
interface Layout {
  places: Place[];
  victims: Map<Place, Victim[]>;
}

/** How a part places its share of a gang: all of it at once, or none. */
export class GangPlacing {
  constructor(
    private readonly tasks: Tasks,
    /** Tasks on a place that a job of this rank may stop, the first to go first. */
    private readonly victims: (place: Place, rank: number) => Victim[],
    private readonly costOf: (victim: Victim) => number,
    private readonly job: (id: string) => { spec: JobSpec } | null,
  ) {}

  /**
   * A place for each waiting task, or null. `types`: the machine types that may take it, the best
   * first; a gang runs at the speed of its slowest member, so one type is tried before a mixture.
   */
  lay(spec: JobSpec, chunk: Chunk, open: readonly Place[], types: readonly string[]) {
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

  /** Free room, and room made by stopping as few lower tasks as will do. */
  private byStopping(spec: JobSpec, chunk: Chunk, group: readonly Place[]): Layout | null {
    const rank = rankOf(spec.priority);
    const states = group.map((place) => ({
      place,
      room: { ...place.room },
      lower: this.victims(place, rank),
      victims: [] as Victim[],
    }));
    const places: Place[] = [];
    while (places.length < chunk.waiting.size) {
      let best: (typeof states)[number] | null = null;
      let bestCost = Infinity;
      let bestCount = 0;
      for (const state of states) {
        const room = { ...state.room };
        let cost = 0;
        let count = 0;
        for (const victim of state.lower) {
          if (fits(room, chunk.record)) break;
          take(room, victim[1].record, -1);
          cost += this.costOf(victim);
          count++;
        }
        if (!fits(room, chunk.record) || cost >= bestCost) continue;
        best = state;
        bestCost = cost;
        bestCount = count;
        if (cost === 0) break;
      }
      if (!best) return null;
      for (const victim of best.lower.splice(0, bestCount)) {
        take(best.room, victim[1].record, -1);
        best.victims.push(victim);
      }
      take(best.room, chunk.record);
      places.push(best.place);
    }
    const victims = new Map<Place, Victim[]>();
    for (const state of states) {
      if (state.victims.length > 0) victims.set(state.place, state.victims);
    }
    return { places, victims };
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
