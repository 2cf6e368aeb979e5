/** Preemption: selects tasks to stop so that resources become free for other work. */

import { IMAGE_FETCH_COST_TASKS } from '../../constants/scheduling.js';
import { rankOf, type JobSpec } from '../../protocol/model.js';
import type { Log } from '../../storage/log.js';
import type { Clock } from '../../transport/clock.js';
import { fits, allocate, type Resources } from '../capacity/resources.js';
import type { Assignment, Task } from '../shard-state/assignment.js';
import type { Tasks } from '../shard-state/tasks.js';
import type { CandidateMachine, JobLookup } from './candidates.js';
import { hasMinimumRunTime } from './consolidation.js';

/** Rules on which tasks may be preempted. */
export interface PreemptionRules {
  findJob: JobLookup;
  /**
   * Whether a job was accepted at least `START_OVERDUE_S` ago and none of its tasks is done yet.
   */
  hasStartedLate: (id: string) => boolean;
  /**
   * Whether a gang may be preempted: a stop reaches all of its tasks in time to save its progress,
   * or it would lose at most `GANG_MAX_LOST_PROGRESS_S` of progress.
   */
  mayStopGang: (assignment: Assignment) => boolean;
}

/** Services and state that preemption uses. */
interface PreemptionDependencies {
  tasks: Tasks;
  clock: Clock;
  log: Log;
}

/** Work that a job may preempt: lower ranks, and arrays of teams above their fair shares. */
export interface PreemptionRights {
  /** Rank of the job's priority. */
  rank: number;
  /** CPUs of arrays that may be preempted at any rank, by team. */
  arrayCpus: ReadonlyMap<string, number>;
}

/** A placed task that may be preempted. */
export interface PreemptionCandidate {
  task: Task;
  assignment: Assignment;
  /**
   * Cost of its preemption, in tasks: 1, or for a gang the gang's size plus 1, because all tasks of
   * the gang are stopped.
   */
  cost: number;
  /** Whether its job ranks below the job that preempts it. */
  hasLowerRank: boolean;
}

/** The victims that are stopped on one machine for one job. */
export interface MachineVictims {
  candidate: CandidateMachine;
  victims: readonly PreemptionCandidate[];
}

/** A machine, its free resources, and its preemption candidates in the order of preemption. */
export interface PreemptibleMachine {
  candidate: CandidateMachine;
  free: Resources;
  preemptionCandidates: readonly PreemptionCandidate[];
}

/** Victims on a machine whose preemption frees enough for one task. */
export interface PreemptionOption<Machine extends PreemptibleMachine = PreemptibleMachine> {
  machine: Machine;
  victims: PreemptionCandidate[];
  /**
   * Sum of the victims' costs, plus `IMAGE_FETCH_COST_TASKS` if the machine must fetch the job's
   * image. The latter is not added for gangs.
   */
  cost: number;
}

/** CPUs; tolerance for the rounding errors of sums of decimals. */
const ROUNDING_SLACK = 1e-9;

const NO_ARRAY_CPUS: ReadonlyMap<string, number> = new Map();

/** Finds preemption candidates, and preempts the selected victims. */
export class Preemption {
  constructor(
    private readonly rules: PreemptionRules,
    private readonly dependencies: PreemptionDependencies,
  ) {}

  /**
   * Frees resources for one task on the machine with the lowest cost, and returns that machine;
   * null if preemption frees enough on no machine. Adds machines on which tasks must now be stopped
   * to `machinesWithStops`.
   */
  preemptFor(
    spec: JobSpec,
    task: Resources,
    candidates: readonly CandidateMachine[],
    machinesWithStops: Set<string>,
  ): CandidateMachine | null {
    const rights = { rank: rankOf(spec.priority), arrayCpus: NO_ARRAY_CPUS };
    const cheapest = findCheapest(candidates, 1, (candidate) => {
      const preemptionCandidates = this.preemptionCandidates(candidate, rights);
      const option = selectVictims(
        { candidate, free: candidate.free, preemptionCandidates },
        task,
        rights,
      );
      // An image fetch may take as long as the start target of urgent work, while a preempted task
      // only loses its work.
      if (option && !candidate.machine.images.has(spec.image))
        option.cost += IMAGE_FETCH_COST_TASKS;
      return option;
    });
    if (cheapest === null) return null;
    const { candidate } = cheapest.machine;
    this.preempt(spec, { candidate, victims: cheapest.victims }, machinesWithStops);
    return candidate;
  }

  /** The preemption candidates on a machine: the cheapest first, then the most recently started. */
  preemptionCandidates(
    candidate: CandidateMachine,
    rights: PreemptionRights,
  ): PreemptionCandidate[] {
    const preemptionCandidates: PreemptionCandidate[] = [];
    for (const [task, assignment] of this.dependencies.tasks.placedOn(candidate.machine.name)) {
      const preemptionCandidate = this.preemptionCandidateFor(task, assignment, rights);
      if (preemptionCandidate) preemptionCandidates.push(preemptionCandidate);
    }
    return preemptionCandidates.sort(
      (a, b) => a.cost - b.cost || (b.task.runningAt ?? Infinity) - (a.task.runningAt ?? Infinity),
    );
  }

  /**
   * Returns a task as preemption candidate; null if the rights don't cover the task, or if it must
   * not be preempted now.
   */
  private preemptionCandidateFor(
    task: Task,
    assignment: Assignment,
    { rank, arrayCpus }: PreemptionRights,
  ): PreemptionCandidate | null {
    const { findJob, hasStartedLate, mayStopGang } = this.rules;
    const spec = task.isStopping ? null : findJob(assignment.job)?.spec;
    if (!spec) return null;
    // The first tasks of a job that started late are the newest on their machines. Without this
    // rule they would be preempted again and again.
    if (!hasMinimumRunTime(task, this.dependencies.clock) && hasStartedLate(assignment.job))
      return null;
    const isGang = assignment.record.attempt !== undefined;
    if (isGang && !mayStopGang(assignment)) return null;
    const hasLowerRank = rankOf(spec.priority) < rank;
    if (!hasLowerRank && !(spec.kind === 'array' && arrayCpus.has(spec.team))) return null;
    return { task, assignment, cost: isGang ? spec.tasks + 1 : 1, hasLowerRank };
  }

  /** Preempts the victims on a machine for a job; adds the machine to `machinesWithStops`. */
  preempt(
    spec: JobSpec,
    { candidate, victims }: MachineVictims,
    machinesWithStops: Set<string>,
  ): void {
    const { tasks, log } = this.dependencies;
    for (const { task, assignment } of victims) {
      allocate(candidate.free, assignment.record, -1);
      const isGang = assignment.record.attempt !== undefined;
      // The shard stops all tasks of a failed gang subset together, in the same cycle.
      if (isGang) assignment.hasFailed = true;
      // The start of a task is sent only after its placement was committed, so a task without a
      // committed placement needs no stop.
      if (!tasks.isCommitted(assignment, task)) tasks.requeue(assignment, task);
      else if (!isGang) task.isStopping = true;
    }
    if (victims.length === 0) return;
    const machine = candidate.machine.name;
    machinesWithStops.add(machine);
    log.info({ job: spec.id, machine, victimCount: victims.length }, 'tasks preempted');
  }
}

/**
 * Selects victims from the preemption candidates, in their order, until `task` fits; null if it
 * doesn't fit even with all victims that may be selected. Arrays that don't rank lower are selected
 * only up to their team's `arrayCpus`.
 */
export function selectVictims<Machine extends PreemptibleMachine>(
  machine: Machine,
  task: Resources,
  { arrayCpus }: PreemptionRights,
): PreemptionOption<Machine> | null {
  const free = { ...machine.free };
  const usedArrayCpus = new Map<string, number>();
  const victims: PreemptionCandidate[] = [];
  let cost = 0;
  for (const preemptionCandidate of machine.preemptionCandidates) {
    if (fits(free, task)) break;
    const { record } = preemptionCandidate.assignment;
    if (!preemptionCandidate.hasLowerRank) {
      const cpus = (usedArrayCpus.get(record.team) ?? 0) + record.cpus;
      if (cpus > (arrayCpus.get(record.team) ?? 0) + ROUNDING_SLACK) continue;
      usedArrayCpus.set(record.team, cpus);
    }
    allocate(free, record, -1);
    cost += preemptionCandidate.cost;
    victims.push(preemptionCandidate);
  }
  return fits(free, task) ? { machine, victims, cost } : null;
}

/**
 * Returns the first of the cheapest options; null if there is none. The search ends at the first
 * option that costs at most `sufficientCost`.
 */
export function findCheapest<Item, Option extends { cost: number }>(
  items: readonly Item[],
  sufficientCost: number,
  optionFor: (item: Item) => Option | null,
): Option | null {
  let cheapest: Option | null = null;
  for (const item of items) {
    const option = optionFor(item);
    if (!option || option.cost >= (cheapest?.cost ?? Infinity)) continue;
    cheapest = option;
    if (option.cost <= sufficientCost) break;
  }
  return cheapest;
}
