import {
  ATTEMPT_PARTS,
  ATTEMPT_STEP,
  FETCH_SHARE,
  FETCH_SLOWEST,
  CONSOLIDATE_MS,
  CONSOLIDATE_SETTLED_MS,
  CONSOLIDATE_SHARE,
  CONSOLIDATE_USE,
  IMAGE_VICTIMS,
} from '../constants.js';
import type { Log } from '../storage/log.js';
import { rankOf, type JobSpec } from '../protocol/model.js';
import type { Clock } from '../transport/clock.js';
import type { Bandit } from './bandit.js';
import { GangPlacing, type Place, type Victim } from './gang-placing.js';
import type { Machine } from './machine.js';
import type { Machines } from './machines.js';
import { fits, take } from './room.js';
import { isEligible } from './capacity.js';
import type { Chunk, Slot, Tasks } from './tasks.js';

export interface PlacingOptions {
  number: number;
  term: number;
  /** Seconds within which tasks of a class should start. */
  startWithinS: Readonly<Record<string, number>>;
  /** A job's description and the time of day of its acceptance; null: it is over. */
  job: (id: string) => { spec: JobSpec; at: number } | null;
  /** Whether a job waited long to begin and none of its tasks has ended yet. */
  beginner: (id: string) => boolean;
  /** Whether nothing of a job runs long after it came. */
  waitsLong: (id: string) => boolean;
  /** The gang for which this part keeps some room free; null: it keeps none. */
  nextGang: () => JobSpec | null;
  /** Whether a job waits after failures. */
  pauses: (id: string) => boolean;
  /** Whether a gang may be stopped for other work. */
  mayStopGang: (chunk: Chunk) => boolean;
  /** Seconds for which a gang's task waits for the others. */
  gangWaitS: number;
}

const NO_TEAMS: ReadonlyMap<string, number> = new Map();

export function taskClass(spec: JobSpec): string {
  return `${spec.class}/${spec.cpus}/${spec.gpus}`;
}

/** Decides where a part's waiting tasks go: the bandit picks the type, first fit fills it. */
export class Placing {
  private attempts = 0;
  private consolidateAt = 0;
  private readonly gangs: GangPlacing;

  constructor(
    private readonly options: PlacingOptions,
    private readonly tasks: Tasks,
    private readonly machines: Machines,
    private readonly bandit: Bandit,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {
    this.gangs = new GangPlacing(
      tasks,
      (place, rank, teams) => this.victims(place, rank, teams),
      (victim) => this.costOf(victim),
      options.job,
      clock,
    );
  }

  /** Places what waits; returns the machines on which tasks must now be stopped. */
  place(): Set<string> {
    const stopped = new Set<string>();
    const waiting: { chunk: Chunk; spec: JobSpec }[] = [];
    for (const chunk of this.tasks.waiting) {
      const job = this.options.job(chunk.job);
      if (!job || this.options.pauses(chunk.job)) continue;
      const { spec } = job;
      waiting.push({ chunk, spec });
    }
    if (waiting.length === 0) return stopped;
    // In the leader's order, which is that of the chunks' numbers. By deadline, hopeless jobs would
    // pass all others here, and one whose turn came late would be passed until it is given back.
    waiting.sort(
      (a, b) =>
        rankOf(b.spec.priority) - rankOf(a.spec.priority) || a.chunk.number - b.chunk.number,
    );
    const places = this.places();
    const next = this.options.nextGang();
    if (next) {
      this.gangs.keepFree(
        next,
        places.filter(({ machine }) => !machine.spot && isEligible(next, machine)),
      );
    }
    const load = this.load();
    const lowest = this.lowestRank();
    let short = false;
    for (const { chunk, spec } of waiting) {
      const yields = next !== null && spec.kind === 'array' && !this.options.waitsLong(chunk.job);
      const open = places.filter(
        ({ machine, kept, noArrays }) =>
          !kept && !(noArrays && yields) && this.allows(spec, chunk, machine),
      );
      if (chunk.record.attempt !== undefined) {
        if (chunk.broken || chunk.placed > 0) continue;
        if (!this.placeGang(spec, chunk, open, load, stopped)) {
          short = true;
          chunk.hopeless = !this.gangs.keep(chunk, open);
        }
        continue;
      }
      for (const slot of [...chunk.waiting]) {
        let target = this.choose(spec, chunk, open, load);
        if (!target && rankOf(spec.priority) > lowest) {
          target = this.preempt(spec, chunk, open, stopped);
        }
        if (!target) {
          // No room for one task of a chunk is none for the others: they are alike.
          short = true;
          break;
        }
        take(target.room, chunk.record);
        target.empty = false;
        const { type, name } = target.machine;
        load.set(type, (load.get(type) ?? 0) + 1);
        const context = this.bandit.context(taskClass(spec), type, load);
        this.tasks.place(chunk, slot, { machine: name, attempt: this.nextAttempt(), context });
      }
    }
    // Room is short: a machine that was being emptied is needed after all.
    if (short) for (const machine of this.machines.all.values()) machine.closing = false;
    return stopped;
  }

  /** All tasks of a gang's share at once, under the attempt that the leader gave it; or none. */
  private placeGang(
    spec: JobSpec,
    chunk: Chunk,
    open: Place[],
    load: Map<string, number>,
    stopped: Set<string>,
  ): boolean {
    const name = taskClass(spec);
    const types = [...new Set(open.map(({ machine }) => machine.type))];
    const scored = types.map((type) => ({
      type,
      score:
        types.length === 1 ? 0 : this.bandit.score(type, this.bandit.context(name, type, load)),
    }));
    scored.sort((a, b) => b.score - a.score);
    const layout = this.gangs.lay(
      spec,
      chunk,
      open,
      scored.map(({ type }) => type),
      {
        inTime: (machine) => this.fetchesInTime(machine, spec),
        whileOthersWait: (machine) =>
          this.fetchS(machine, spec) * FETCH_SLOWEST <= this.options.gangWaitS,
      },
    );
    if (!layout) return false;
    for (const [place, victims] of layout.victims) this.stop(spec, place, victims, stopped);
    for (const [at, slot] of [...chunk.waiting].entries()) {
      const place = layout.places[at];
      if (!place) break;
      take(place.room, chunk.record);
      place.empty = false;
      const { type } = place.machine;
      load.set(type, (load.get(type) ?? 0) + 1);
      const context = this.bandit.context(name, type, load);
      const attempt = chunk.record.attempt ?? this.nextAttempt();
      this.tasks.place(chunk, slot, { machine: place.machine.name, attempt, context });
    }
    return true;
  }

  private nextAttempt(): number {
    const { term, number } = this.options;
    return (term * ATTEMPT_PARTS + number) * ATTEMPT_STEP + ++this.attempts;
  }

  private places(): Place[] {
    const places: Place[] = [];
    for (const machine of this.machines.inOrder()) {
      if (machine.closing || !this.machines.usable(machine)) continue;
      if (this.machines.health(machine) !== 'ok') continue;
      const room = this.machines.capacity(machine.type);
      const placed = this.tasks.on(machine.name);
      for (const [slot, chunk] of placed) if (!slot.halting) take(room, chunk.record);
      places.push({ machine, room, empty: placed.size === 0, kept: false, noArrays: false });
    }
    return places;
  }

  /** Queued and running tasks by machine type. */
  private load(): Map<string, number> {
    const load = new Map<string, number>();
    for (const name of this.tasks.machines()) {
      const type = this.machines.all.get(name)?.type;
      if (type) load.set(type, (load.get(type) ?? 0) + this.tasks.on(name).size);
    }
    return load;
  }

  private lowestRank(): number {
    let lowest = Infinity;
    for (const chunk of this.tasks.chunks.values()) {
      if (chunk.placed === 0) continue;
      const spec = this.options.job(chunk.job)?.spec;
      if (spec) lowest = Math.min(lowest, rankOf(spec.priority));
    }
    return lowest;
  }

  private allows(spec: JobSpec, chunk: Chunk, machine: Machine): boolean {
    return (
      machine.zone === chunk.record.zone &&
      (spec.zone === null || spec.zone === machine.zone) &&
      (spec.types === null || spec.types.includes(machine.type)) &&
      (spec.spot || !machine.spot)
    );
  }

  /** The design's ordinary path: the bandit picks the type, first fit in fixed order fills it. */
  private choose(
    spec: JobSpec,
    chunk: Chunk,
    open: Place[],
    load: Map<string, number>,
  ): Place | null {
    const free = open.filter(({ room }) => fits(room, chunk.record));
    if (free.length === 0) return null;
    // Work with an aim for its start goes where its image is there in time, if that is anywhere.
    const quick = free.filter(({ machine }) => this.fetchesInTime(machine, spec));
    const good = quick.length > 0 ? quick : free;
    const types = new Set(good.map(({ machine }) => machine.type));
    let best = '';
    let bestScore = -Infinity;
    for (const type of types) {
      const score =
        types.size === 1
          ? 0
          : this.bandit.score(type, this.bandit.context(taskClass(spec), type, load));
      if (score > bestScore) {
        bestScore = score;
        best = type;
      }
    }
    // Services fill the fixed order from its start, arrays from its end, where the spot machines
    // are: what runs for long stays together, and the machines between the two fall idle. A machine
    // with the image comes first, an empty one last: it may soon be returned.
    let chosen: Place | null = null;
    let chosenWorth = -1;
    for (const place of good) {
      if (place.machine.type !== best) continue;
      const worth = (place.machine.images.has(spec.image) ? 2 : 0) + (place.empty ? 0 : 1);
      if (worth > chosenWorth || (worth === chosenWorth && spec.kind === 'array')) {
        chosen = place;
        chosenWorth = worth;
      }
    }
    return chosen;
  }

  /** Whether a machine has a job's image soon enough for the start aim of its class, if it has one. */
  private fetchesInTime(machine: Machine, spec: JobSpec): boolean {
    const withinS = this.options.startWithinS[spec.class];
    return withinS === undefined || this.fetchS(machine, spec) <= withinS * FETCH_SHARE;
  }

  /** Seconds that a machine will take to fetch a job's image. */
  private fetchS(machine: Machine, spec: JobSpec): number {
    if (machine.images.has(spec.image)) return 0;
    return spec.imageGb / Math.max(1e-6, this.machines.type(machine.type)?.fetchGbPerS ?? 0);
  }

  /** Room made by stopping work of lower priority; the newest of the lowest goes first. */
  private preempt(spec: JobSpec, chunk: Chunk, open: Place[], stopped: Set<string>): Place | null {
    const rank = rankOf(spec.priority);
    let best: { place: Place; victims: Victim[] } | null = null;
    let bestCost = Infinity;
    for (const place of open) {
      const lower = this.victims(place, rank);
      const room = { ...place.room };
      const victims: Victim[] = [];
      for (const [slot, other] of lower) {
        if (fits(room, chunk.record)) break;
        take(room, other.record, -1);
        victims.push([slot, other]);
      }
      if (!fits(room, chunk.record)) continue;
      // The fetch of an image can take as long as an urgent start may; stopped tasks only lose work.
      const cost =
        victims.reduce((sum, victim) => sum + this.costOf(victim), 0) +
        (place.machine.images.has(spec.image) ? 0 : IMAGE_VICTIMS);
      if (cost >= bestCost) continue;
      best = { place, victims };
      bestCost = cost;
      if (cost <= 1) break;
    }
    if (best === null) return null;
    this.stop(spec, best.place, best.victims, stopped);
    return best.place;
  }

  /** Tasks on a place that a job of this rank may stop, or arrays of these teams, in order. */
  private victims(
    place: Place,
    rank: number,
    teams: ReadonlyMap<string, number> = NO_TEAMS,
  ): Victim[] {
    return [...this.tasks.on(place.machine.name)]
      .filter(([slot, other]) => {
        const spec = slot.halting ? null : this.options.job(other.job)?.spec;
        if (!spec) return false;
        // The first tasks of a job that waited long are the newest, and would go again and again.
        if (!this.settled(slot) && this.options.beginner(other.job)) return false;
        if (other.record.attempt !== undefined && !this.options.mayStopGang(other)) return false;
        if (rankOf(spec.priority) < rank) return true;
        return spec.kind === 'array' && teams.has(spec.team);
      })
      .sort(
        (a, b) =>
          this.costOf(a) - this.costOf(b) ||
          (b[0].runningAt ?? Infinity) - (a[0].runningAt ?? Infinity),
      );
  }

  /** Tasks that are stopped with a victim: of a gang all, wherever they run. */
  private costOf([, chunk]: Victim): number {
    if (chunk.record.attempt === undefined) return 1;
    return (this.options.job(chunk.job)?.spec.tasks ?? chunk.slots.size) + 1;
  }

  private stop(spec: JobSpec, place: Place, victims: Victim[], stopped: Set<string>): void {
    for (const [slot, other] of victims) {
      take(place.room, other.record, -1);
      // All of a gang is stopped together: see `GangShares.reconcile`, in the same round.
      if (other.record.attempt !== undefined) other.broken = true;
      // What was never committed was never sent either.
      if (!this.tasks.committed(other, slot)) this.tasks.requeue(other, slot);
      else if (other.record.attempt === undefined) slot.halting = true;
    }
    if (victims.length === 0) return;
    stopped.add(place.machine.name);
    this.log.info(
      { job: spec.id, machine: place.machine.name, victims: victims.length },
      'stopping lower work to make room',
    );
  }

  /** Whether a task ran long enough for its start to have been worth it. */
  private settled(slot: Slot): boolean {
    return slot.runningAt !== null && this.clock.now() - slot.runningAt > CONSOLIDATE_SETTLED_MS;
  }

  /**
   * Moves the services of little-used machines to others that have room and their images, so that
   * these machines fall idle and are returned. A replica is away for well under a second; one that
   * started a moment ago stays, and nothing moves while tasks wait. Returns the machines on which
   * tasks must now be stopped.
   */
  consolidate(): Set<string> {
    const now = this.clock.now();
    const emptied = new Set<string>();
    if (this.tasks.waiting.size > 0 || now < this.consolidateAt) return emptied;
    this.consolidateAt = now + CONSOLIDATE_MS;
    for (const machine of this.machines.all.values()) machine.closing = false;
    const places = this.places().filter((place) => !place.empty);
    places.sort((a, b) => this.use(a) - this.use(b));
    const most = Math.max(1, Math.round(places.length * CONSOLIDATE_SHARE));
    for (const [at, place] of places.entries()) {
      if (this.use(place) > CONSOLIDATE_USE || emptied.size >= most) return emptied;
      const tasks = [...this.tasks.on(place.machine.name)];
      const movable = tasks.every(([slot, chunk]) => {
        const service = this.options.job(chunk.job)?.spec.kind === 'service';
        return service && this.settled(slot) && !slot.halting;
      });
      if (!movable || tasks.length === 0) continue;
      const targets = places.slice(at + 1).filter((other) => !other.machine.closing);
      const taken: { place: Place; chunk: Chunk }[] = [];
      const fit = tasks.every(([, chunk]) => {
        const spec = this.options.job(chunk.job)?.spec;
        const target = targets.find(
          ({ machine, room }) =>
            spec !== undefined &&
            fits(room, chunk.record) &&
            this.allows(spec, chunk, machine) &&
            machine.images.has(spec.image),
        );
        if (!target) return false;
        take(target.room, chunk.record);
        taken.push({ place: target, chunk });
        return true;
      });
      if (!fit) {
        for (const one of taken) take(one.place.room, one.chunk.record, -1);
        continue;
      }
      place.machine.closing = true;
      for (const [slot] of tasks) slot.halting = true;
      emptied.add(place.machine.name);
      this.log.info({ machine: place.machine.name, tasks: tasks.length }, 'moving services away');
    }
    return emptied;
  }

  /** Share of a machine's CPUs in use. */
  private use(place: Place): number {
    const { cpus } = this.machines.capacity(place.machine.type);
    return cpus > 0 ? 1 - place.room.cpus / cpus : 1;
  }
}
