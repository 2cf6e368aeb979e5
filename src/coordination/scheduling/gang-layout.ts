/** Chooses the machines for a part's share of a gang: for all of its tasks at once, or for none. */

import { CLAIM_VALID_MS } from '../../constants/gangs.js';
import { rankOf, type JobSpec } from '../../protocol/model.js';
import type { Clock } from '../../transport/clock.js';
import type { Candidate, JobLookup, Victim } from './candidates.js';
import { fitCount } from '../capacity/machine-capacity.js';
import type { Machine } from '../shard-state/machine.js';
import type { Preemption } from './preemption.js';
import { fits, allocate, type Resources } from '../capacity/resources.js';
import type { Assignment } from '../shard-state/tasks.js';

/** When the machines have a gang's image. */
export interface FetchTimes {
  /** Whether a machine has the image soon enough for the start aim of the gang's class. */
  inTime: (machine: Machine) => boolean;
  /** Whether it has it while tasks with the image still wait for it, at the slowest. */
  whileOthersWait: (machine: Machine) => boolean;
}

/** A part's share of a gang and what it may use. */
export interface GangRequest {
  spec: JobSpec;
  assignment: Assignment;
  candidates: readonly Candidate[];
  /** The machine types among the candidates, the best first. */
  types: readonly string[];
  fetches: FetchTimes;
}

/** Where a gang's tasks go, in the order of the tasks, once these victims have left. */
export interface GangLayout {
  places: Candidate[];
  victims: Map<Candidate, Victim[]>;
}

/** A machine while room is made on it: what is left, what may be stopped, and what will be. */
interface MachineState {
  candidate: Candidate;
  free: Resources;
  stoppable: Victim[];
  victims: Victim[];
}

/** Tasks to stop on a machine for one more task, and what that costs. */
interface StopOption {
  state: MachineState;
  victims: Victim[];
  cost: number;
}

/** What a gang may stop: work below its rank, and so many CPUs of other teams' arrays. */
interface StopRights {
  rank: number;
  /** CPUs by team; what is used up is taken off. */
  allowance: Map<string, number>;
}

/** What the rounding of decimals may amount to. */
const ROUNDING_SLACK = 1e-9;

/** Finds a layout for a part's share of a gang. */
export class GangLayouts {
  constructor(
    private readonly preemption: Pick<Preemption, 'victims' | 'costOf'>,
    private readonly job: JobLookup,
    private readonly clock: Clock,
  ) {}

  /**
   * A place for each waiting task, or null. A gang runs at the speed of its slowest member, so one
   * type is tried before a mixture. A machine that has the image late delays all members: making room
   * elsewhere comes before that.
   */
  find(request: GangRequest): GangLayout | null {
    const { spec, candidates, types, fetches } = request;
    const inTime = candidates.filter(({ machine }) => fetches.inTime(machine));
    const complete = candidates.filter(({ machine }) => fetches.whileOthersWait(machine));
    for (const some of inTime.length < complete.length ? [inTime, complete] : [complete]) {
      const layout = this.findAmong(request, some, types);
      if (layout) return layout;
    }
    if (complete.length === candidates.length) return null;
    // Where a fetch may outlast the wait of those that have the image, all of them must fetch it,
    // from machines that are equally quick.
    const withoutImage = candidates.filter(({ machine }) => !machine.images.has(spec.image));
    for (const type of types) {
      const alike = withoutImage.filter(({ machine }) => machine.type === type);
      const layout = this.findAmong(request, alike, [type]);
      if (layout) return layout;
    }
    return null;
  }

  private findAmong(
    { spec, assignment }: GangRequest,
    candidates: readonly Candidate[],
    types: readonly string[],
  ): GangLayout | null {
    const groups = types.map((type) => candidates.filter(({ machine }) => machine.type === type));
    if (types.length > 1) groups.push([...candidates]);
    for (const group of groups) {
      const layout = inFreeCapacity(spec, assignment, group);
      if (layout) return layout;
    }
    for (const group of groups) {
      const layout = this.byStopping(spec, assignment, group);
      if (layout) return layout;
    }
    return null;
  }

  /** Free room, and room made by stopping as few other tasks as will do. */
  private byStopping(
    spec: JobSpec,
    assignment: Assignment,
    group: readonly Candidate[],
  ): GangLayout | null {
    const allowance = new Map(Object.entries(this.reclaimOf(assignment)));
    const rights: StopRights = { rank: rankOf(spec.priority), allowance };
    const states = group.map((candidate) => ({
      candidate,
      free: { ...candidate.free },
      stoppable: this.preemption.victims(candidate, rights.rank, allowance),
      victims: [],
    }));
    const places: Candidate[] = [];
    while (places.length < assignment.waitingTasks.size) {
      const option = this.cheapestOption(states, assignment.record, rights);
      if (!option) return null;
      this.applyOption(option, rights);
      allocate(option.state.free, assignment.record);
      places.push(option.state.candidate);
    }
    const victims = new Map<Candidate, Victim[]>();
    for (const state of states) {
      if (state.victims.length > 0) victims.set(state.candidate, state.victims);
    }
    return { places, victims };
  }

  /** The first of the machines on which room for one more task costs the least; null: none. */
  private cheapestOption(
    states: readonly MachineState[],
    task: Resources,
    rights: StopRights,
  ): StopOption | null {
    let cheapest: StopOption | null = null;
    for (const state of states) {
      const option = this.optionOn(state, task, rights);
      if (!option || option.cost >= (cheapest?.cost ?? Infinity)) continue;
      cheapest = option;
      if (option.cost === 0) break;
    }
    return cheapest;
  }

  /** The first tasks on a machine whose end makes room for one more task; null: none do. */
  private optionOn(state: MachineState, task: Resources, rights: StopRights): StopOption | null {
    const free = { ...state.free };
    const claimedCpus = new Map<string, number>();
    const victims: Victim[] = [];
    let cost = 0;
    for (const victim of state.stoppable) {
      if (fits(free, task)) break;
      const { record } = victim[1];
      if (!this.ranksBelow(victim, rights.rank)) {
        const cpus = (claimedCpus.get(record.team) ?? 0) + record.cpus;
        if (cpus > (rights.allowance.get(record.team) ?? 0) + ROUNDING_SLACK) continue;
        claimedCpus.set(record.team, cpus);
      }
      allocate(free, record, -1);
      cost += this.preemption.costOf(victim);
      victims.push(victim);
    }
    return fits(free, task) ? { state, victims, cost } : null;
  }

  /** Moves the victims of an option out of the machine's room and off the allowance. */
  private applyOption({ state, victims }: StopOption, { rank, allowance }: StopRights): void {
    for (const victim of victims) {
      const { record } = victim[1];
      allocate(state.free, record, -1);
      state.victims.push(victim);
      if (this.ranksBelow(victim, rank)) continue;
      allowance.set(record.team, (allowance.get(record.team) ?? 0) - record.cpus);
    }
    state.stoppable = state.stoppable.filter((victim) => !victims.includes(victim));
  }

  private ranksBelow([, assignment]: Victim, rank: number): boolean {
    const spec = this.job(assignment.job)?.spec;
    return spec !== undefined && rankOf(spec.priority) < rank;
  }

  /** CPUs of other teams' arrays that a gang may stop: only for a moment after it was handed out. */
  private reclaimOf(assignment: Assignment): Record<string, number> {
    const [first] = assignment.waitingTasks;
    const recent = first !== undefined && this.clock.now() - first.waitingSince < CLAIM_VALID_MS;
    return recent ? (assignment.record.reclaim ?? {}) : {};
  }
}

/** A layout that stops nothing; null: there is not enough free room. */
function inFreeCapacity(
  spec: JobSpec,
  assignment: Assignment,
  group: readonly Candidate[],
): GangLayout | null {
  const hasImage = ({ machine }: Candidate): boolean => machine.images.has(spec.image);
  const freshness = (candidate: Candidate): number =>
    (candidate.machine.spot ? 0 : 4) + (hasImage(candidate) ? 2 : 0) + (candidate.empty ? 0 : 1);
  const sorted = [...group].sort((a, b) => freshness(b) - freshness(a));
  // All wait for the last fetch, so images help most where every machine has it.
  for (const some of [sorted.filter(hasImage), sorted]) {
    const places = fill(some, assignment.record, assignment.waitingTasks.size);
    if (places) return { places, victims: new Map() };
  }
  return null;
}

/** The machines for so many tasks, filling one after the other; null: they have less room. */
function fill(
  candidates: readonly Candidate[],
  task: Resources,
  tasks: number,
): Candidate[] | null {
  const places: Candidate[] = [];
  for (const candidate of candidates) {
    const count = Math.min(tasks - places.length, fitCount(candidate.free, task));
    for (let at = 0; at < count; at++) places.push(candidate);
    if (places.length === tasks) return places;
  }
  return null;
}
