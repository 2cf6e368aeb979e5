/** Chooses the machine for a task with free room: the bandit picks the type, first fit the machine. */

import { FETCH_SHARE } from '../../constants/scheduling.js';
import type { JobSpec } from '../../protocol/model.js';
import type { Bandit } from './bandit.js';
import type { Candidate } from './candidates.js';
import type { Machine } from '../shard-state/machine.js';
import type { Machines } from '../shard-state/machines.js';
import { fits, type Resources } from '../capacity/resources.js';

/** What the choice of a machine depends on beside the task. */
export interface MachineChoiceOptions {
  /** Seconds within which tasks of a class should start. */
  startWithinS: Readonly<Record<string, number>>;
}

/** Queued and running tasks by machine type. */
type Load = ReadonlyMap<string, number>;

/** A machine type and the bandit's score for a class of tasks on it: the higher, the better. */
interface ScoredType {
  type: string;
  score: number;
}

/** Stands for a type without a fetch rate, in GB/s: a fetch there takes almost for ever. */
const LEAST_FETCH_RATE = 1e-6;

/** Names the class of a job's tasks for the bandit: tasks of one class are alike. */
export function taskClass(spec: JobSpec): string {
  return `${spec.class}/${spec.cpus}/${spec.gpus}`;
}

/** Ranks machine types by the bandit and picks machines of a type by first fit. */
export class MachineChoice {
  constructor(
    private readonly options: MachineChoiceOptions,
    private readonly machines: Machines,
    private readonly bandit: Bandit,
  ) {}

  /** The ordinary path of the design: the bandit picks the type, first fit in fixed order fills it. */
  choose(
    spec: JobSpec,
    task: Resources,
    candidates: readonly Candidate[],
    load: Load,
  ): Candidate | null {
    const free = candidates.filter(({ free }) => fits(free, task));
    if (free.length === 0) return null;
    // Work with an aim for its start goes where its image is there in time, if that is anywhere.
    const quick = free.filter(({ machine }) => this.fetchesInTime(machine, spec));
    const good = quick.length > 0 ? quick : free;
    const type = this.bestType(spec, good, load);
    return firstFit(
      spec,
      good.filter(({ machine }) => machine.type === type),
    );
  }

  /** The machine types among some candidates, the best for a job first. */
  rankTypes(spec: JobSpec, candidates: readonly Candidate[], load: Load): string[] {
    const scored = this.scoreTypes(spec, candidates, load);
    return scored.sort((a, b) => b.score - a.score).map(({ type }) => type);
  }

  /** The bandit's context of placing a task of a job on a machine type. */
  context(spec: JobSpec, type: string, load: Load): number[] {
    return this.bandit.context(taskClass(spec), type, load);
  }

  /** Whether a machine has a job's image soon enough for the start aim of its class, if it has one. */
  fetchesInTime(machine: Machine, spec: JobSpec): boolean {
    const withinS = this.options.startWithinS[spec.class];
    return withinS === undefined || this.fetchSeconds(machine, spec) <= withinS * FETCH_SHARE;
  }

  /** Seconds that a machine will take to fetch a job's image. */
  fetchSeconds(machine: Machine, spec: JobSpec): number {
    if (machine.images.has(spec.image)) return 0;
    const rate = this.machines.machineType(machine.type)?.fetchGbPerS ?? 0;
    return spec.imageGb / Math.max(LEAST_FETCH_RATE, rate);
  }

  private bestType(spec: JobSpec, candidates: readonly Candidate[], load: Load): string {
    let best: ScoredType = { type: '', score: -Infinity };
    for (const scored of this.scoreTypes(spec, candidates, load)) {
      if (scored.score > best.score) best = scored;
    }
    return best.type;
  }

  /** Each machine type with its score; a single one needs none, and the bandit isn't asked. */
  private scoreTypes(spec: JobSpec, candidates: readonly Candidate[], load: Load): ScoredType[] {
    const types = [...new Set(candidates.map(({ machine }) => machine.type))];
    return types.map((type) => ({
      type,
      score: types.length === 1 ? 0 : this.bandit.score(type, this.context(spec, type, load)),
    }));
  }
}

/**
 * Services fill the fixed order from its start, arrays from its end, where the spot machines are:
 * what runs for long stays together, and the machines between the two become idle. A machine with
 * the image comes first, an empty one last: it may soon be returned.
 */
function firstFit(spec: JobSpec, candidates: readonly Candidate[]): Candidate | null {
  let chosen: Candidate | null = null;
  let chosenWorth = -1;
  for (const candidate of candidates) {
    const hasImage = candidate.machine.images.has(spec.image);
    const freshness = (hasImage ? 2 : 0) + (candidate.empty ? 0 : 1);
    if (freshness > chosenWorth || (freshness === chosenWorth && spec.kind === 'array')) {
      chosen = candidate;
      chosenWorth = freshness;
    }
  }
  return chosen;
}
