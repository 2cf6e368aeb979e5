/** Chooses a machine with enough free for a task: the bandit picks the type, first fit the machine. */

import { START_TARGET_FETCH_SHARE } from '../../constants/scheduling.js';
import type { JobSpec } from '../../protocol/model.js';
import { fits, type Resources } from '../capacity/resources.js';
import type { Machine } from '../shard-state/machine.js';
import type { Machines } from '../shard-state/machines.js';
import type { Bandit } from './bandit.js';
import type { Candidate } from './candidates.js';

/** What the choice of a machine depends on beside the task. */
export interface MachineChoiceOptions {
  /** Seconds within which tasks of a class should start: its start target. */
  startWithinS: Readonly<Record<string, number>>;
}

/** Queued and running tasks by machine type. */
type TaskCounts = ReadonlyMap<string, number>;

/** A machine type and the bandit's score for a class of tasks on it: the higher, the better. */
interface ScoredType {
  type: string;
  score: number;
}

/** GB/s; assumed for a type without a fetch rate: a fetch there takes almost for ever. */
const MIN_FETCH_GB_PER_S = 1e-6;

/** Names the class of a job's tasks for the bandit: tasks of one class are alike. */
function taskClass(spec: JobSpec): string {
  return `${spec.class}/${spec.cpus}/${spec.gpus}`;
}

/** Ranks machine types by the bandit and picks machines of a type by first fit. */
export class MachineChoice {
  constructor(
    private readonly options: MachineChoiceOptions,
    private readonly machines: Machines,
    private readonly bandit: Bandit,
  ) {}

  /** A machine on which a task fits without preemption; null: there is none. */
  choose(
    spec: JobSpec,
    task: Resources,
    candidates: readonly Candidate[],
    taskCounts: TaskCounts,
  ): Candidate | null {
    const fitting = candidates.filter(({ free }) => fits(free, task));
    if (fitting.length === 0) return null;
    // Work with a start target goes to machines that have its image in time, if there are any.
    const inTime = fitting.filter(({ machine }) => this.fetchesInTime(machine, spec));
    const eligible = inTime.length > 0 ? inTime : fitting;
    const type = this.bestType(spec, eligible, taskCounts);
    return firstFit(
      spec,
      eligible.filter(({ machine }) => machine.type === type),
    );
  }

  /** The machine types among some candidates, the best for a job first. */
  rankTypes(spec: JobSpec, candidates: readonly Candidate[], taskCounts: TaskCounts): string[] {
    const scored = this.scoreTypes(spec, candidates, taskCounts);
    return scored.sort((a, b) => b.score - a.score).map(({ type }) => type);
  }

  /** The bandit's context of assigning a task of a job to a machine type. */
  context(spec: JobSpec, type: string, taskCounts: TaskCounts): number[] {
    return this.bandit.context(taskClass(spec), type, taskCounts);
  }

  /** Whether a machine has a job's image soon enough for the start target of its class, if any. */
  fetchesInTime(machine: Machine, spec: JobSpec): boolean {
    const withinS = this.options.startWithinS[spec.class];
    return (
      withinS === undefined ||
      this.fetchSeconds(machine, spec) <= withinS * START_TARGET_FETCH_SHARE
    );
  }

  /** Seconds that a machine will take to fetch a job's image. */
  fetchSeconds(machine: Machine, spec: JobSpec): number {
    if (machine.images.has(spec.image)) return 0;
    const rate = this.machines.machineType(machine.type)?.fetchGbPerS ?? 0;
    return spec.imageGb / Math.max(MIN_FETCH_GB_PER_S, rate);
  }

  private bestType(
    spec: JobSpec,
    candidates: readonly Candidate[],
    taskCounts: TaskCounts,
  ): string {
    let best: ScoredType = { type: '', score: -Infinity };
    for (const scored of this.scoreTypes(spec, candidates, taskCounts)) {
      if (scored.score > best.score) best = scored;
    }
    return best.type;
  }

  /** Each machine type with its score; a single type needs none, and the bandit isn't asked. */
  private scoreTypes(
    spec: JobSpec,
    candidates: readonly Candidate[],
    taskCounts: TaskCounts,
  ): ScoredType[] {
    const types = [...new Set(candidates.map(({ machine }) => machine.type))];
    return types.map((type) => ({
      type,
      score: types.length === 1 ? 0 : this.bandit.score(type, this.context(spec, type, taskCounts)),
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
  let chosenPreference = -1;
  for (const candidate of candidates) {
    const hasImage = candidate.machine.images.has(spec.image);
    const preference = (hasImage ? 2 : 0) + (candidate.isEmpty ? 0 : 1);
    const isLastEqual = preference === chosenPreference && spec.kind === 'array';
    if (preference > chosenPreference || isLastEqual) {
      chosen = candidate;
      chosenPreference = preference;
    }
  }
  return chosen;
}
