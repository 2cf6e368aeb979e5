/** Selects a machine for one task: the bandit selects the machine type, first fit the machine. */

import { START_TARGET_FETCH_FRACTION } from '../../constants/scheduling.js';
import type { JobSpec } from '../../protocol/model.js';
import { fits, type Resources } from '../capacity/resources.js';
import type { Machine } from '../shard-state/machine.js';
import type { Machines } from '../shard-state/machines.js';
import type { Bandit } from './bandit.js';
import type { CandidateMachine } from './candidates.js';

/** Settings for the selection of machines. */
export interface MachineChoiceOptions {
  /** Start target of each class: the seconds within which its tasks should start. */
  startWithinS: Readonly<Record<string, number>>;
}

/** Number of placed tasks by machine type. */
type TaskCounts = ReadonlyMap<string, number>;

/** A machine type and the bandit's score for a task class on it; higher is better. */
interface ScoredType {
  type: string;
  score: number;
}

/**
 * GB/s; fetch rate assumed for a machine type without a known rate, so slow that its image fetches
 * are never in time.
 */
const MIN_FETCH_GB_PER_S = 1e-6;

/** The bandit's class of a job's tasks, from the job's class and the CPUs and GPUs of a task. */
function taskClass(spec: JobSpec): string {
  return `${spec.class}/${spec.cpus}/${spec.gpus}`;
}

/** Ranks machine types by the bandit's score, and selects a machine of a type by first fit. */
export class MachineChoice {
  constructor(
    private readonly options: MachineChoiceOptions,
    private readonly machines: Machines,
    private readonly bandit: Bandit,
  ) {}

  /** Returns a machine on which a task fits without preemption; null if there is none. */
  select(
    spec: JobSpec,
    task: Resources,
    candidates: readonly CandidateMachine[],
    taskCounts: TaskCounts,
  ): CandidateMachine | null {
    const fitting = candidates.filter(({ free }) => fits(free, task));
    if (fitting.length === 0) return null;
    // Machines that have the image in time for the start target of the class are preferred.
    const inTime = fitting.filter(({ machine }) => this.fetchesInTime(machine, spec));
    const eligible = inTime.length > 0 ? inTime : fitting;
    const type = this.bestType(spec, eligible, taskCounts);
    return firstFit(
      spec,
      eligible.filter(({ machine }) => machine.type === type),
    );
  }

  /** The machine types of the candidates, in descending order of their scores for a job. */
  rankTypes(
    spec: JobSpec,
    candidates: readonly CandidateMachine[],
    taskCounts: TaskCounts,
  ): string[] {
    const scored = this.scoreTypes(spec, candidates, taskCounts);
    return scored.sort((a, b) => b.score - a.score).map(({ type }) => type);
  }

  /** The bandit's context of assigning a task of a job to a machine type. */
  context(spec: JobSpec, type: string, taskCounts: TaskCounts): number[] {
    return this.bandit.context(taskClass(spec), type, taskCounts);
  }

  /**
   * Whether a machine has a job's image, or fetches it within `START_TARGET_FETCH_FRACTION` of the
   * start target of the job's class. True if the class has no start target.
   */
  fetchesInTime(machine: Machine, spec: JobSpec): boolean {
    const withinS = this.options.startWithinS[spec.class];
    return (
      withinS === undefined ||
      this.fetchSeconds(machine, spec) <= withinS * START_TARGET_FETCH_FRACTION
    );
  }

  /** Seconds that a machine takes to fetch a job's image; 0 if it has the image. */
  fetchSeconds(machine: Machine, spec: JobSpec): number {
    if (machine.images.has(spec.image)) return 0;
    const rate = this.machines.machineType(machine.type)?.fetchGbPerS ?? 0;
    return spec.imageGb / Math.max(MIN_FETCH_GB_PER_S, rate);
  }

  private bestType(
    spec: JobSpec,
    candidates: readonly CandidateMachine[],
    taskCounts: TaskCounts,
  ): string {
    let best: ScoredType | null = null;
    for (const scored of this.scoreTypes(spec, candidates, taskCounts)) {
      if (!best || scored.score > best.score) best = scored;
    }
    return best?.type ?? '';
  }

  /** Scores each machine type of the candidates; a single type gets 0 without any computation. */
  private scoreTypes(
    spec: JobSpec,
    candidates: readonly CandidateMachine[],
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
 * Selects a machine by first fit. Machines with the image are preferred, then machines in use,
 * because an empty machine may soon be returned to the cloud. Services fill the fixed order of
 * machines from its start, arrays from its end, where the spot instances are. Services, which run
 * for long, therefore share machines, and the machines in the middle of the order become idle.
 */
function firstFit(spec: JobSpec, candidates: readonly CandidateMachine[]): CandidateMachine | null {
  let selected: CandidateMachine | null = null;
  let selectedPreference = -1;
  for (const candidate of candidates) {
    const hasImage = candidate.machine.images.has(spec.image);
    const preference = (hasImage ? 2 : 0) + (candidate.isEmpty ? 0 : 1);
    const isLastEqual = preference === selectedPreference && spec.kind === 'array';
    if (preference > selectedPreference || isLastEqual) {
      selected = candidate;
      selectedPreference = preference;
    }
  }
  return selected;
}
