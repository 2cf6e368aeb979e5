/** Preemption: which tasks are stopped to free resources for other work, and at what cost. */

import { IMAGE_FETCH_COST } from '../../constants/scheduling.js';
import { rankOf, type JobSpec } from '../../protocol/model.js';
import type { Log } from '../../storage/log.js';
import type { Clock } from '../../transport/clock.js';
import { fits, allocate, type Resources } from '../capacity/resources.js';
import type { Assignment, Task } from '../shard-state/assignment.js';
import type { Tasks } from '../shard-state/tasks.js';
import type { Candidate, JobLookup } from './candidates.js';
import { isSettled } from './consolidation.js';

/** What decides whether a task may be stopped for other work. */
export interface PreemptionRules {
  job: JobLookup;
  /** Whether a job waited long to begin and none of its tasks has ended yet. */
  beganLate: (id: string) => boolean;
  /** Whether a gang may be stopped for other work. */
  mayStopGang: (assignment: Assignment) => boolean;
}

/** What preemption reads and writes. */
interface PreemptionDependencies {
  tasks: Tasks;
  clock: Clock;
  log: Log;
}

/** What a job may preempt: work below its rank, and arrays of teams beyond their guarantee. */
export interface PreemptionRights {
  rank: number;
  /** CPUs of arrays that may be stopped, by team. */
  arrayCpus: ReadonlyMap<string, number>;
}

/** A placed task that may be stopped for other work. */
export interface Victim {
  task: Task;
  assignment: Assignment;
  /** How many tasks are stopped with it: of a gang all, wherever they run. */
  cost: number;
  /** Whether it ranks below the work for which it may be stopped. */
  isOutranked: boolean;
}

/** Tasks that are to be stopped on one machine. */
export interface MachineVictims {
  candidate: Candidate;
  victims: readonly Victim[];
}

/** What is free on a machine, and which tasks may be stopped there, in the order of their stop. */
export interface PreemptibleMachine {
  candidate: Candidate;
  free: Resources;
  stoppable: readonly Victim[];
}

/** Tasks whose stop frees enough on a machine for one task, and what that costs. */
export interface PreemptionOption<Machine extends PreemptibleMachine = PreemptibleMachine> {
  machine: Machine;
  victims: Victim[];
  /** In tasks that are stopped. */
  cost: number;
}

/** Rounding errors of sums of decimals are smaller than this. */
const ROUNDING_SLACK = 1e-9;

const NO_ARRAYS: ReadonlyMap<string, number> = new Map();

/** Finds tasks that may be stopped for other work, and stops them. */
export class Preemption {
  constructor(
    private readonly rules: PreemptionRules,
    private readonly dependencies: PreemptionDependencies,
  ) {}

  /**
   * Frees resources for one task where that costs the least; returns that machine, or null if none
   * has enough to stop. Adds machines on which tasks must now be stopped to `machinesWithStops`.
   */
  preemptFor(
    spec: JobSpec,
    task: Resources,
    candidates: readonly Candidate[],
    machinesWithStops: Set<string>,
  ): Candidate | null {
    const rights = { rank: rankOf(spec.priority), arrayCpus: NO_ARRAYS };
    const cheapest = findCheapest(candidates, 1, (candidate) => {
      const stoppable = this.victims(candidate, rights);
      const option = selectVictims({ candidate, free: candidate.free, stoppable }, task, rights);
      // The fetch of an image may take as long as an urgent start may; a stopped task only loses
      // its work.
      if (option && !candidate.machine.images.has(spec.image)) option.cost += IMAGE_FETCH_COST;
      return option;
    });
    if (cheapest === null) return null;
    const { candidate } = cheapest.machine;
    this.stop(spec, { candidate, victims: cheapest.victims }, machinesWithStops);
    return candidate;
  }

  /** The tasks on a machine that may be stopped: the cheapest first, among those the newest. */
  victims(candidate: Candidate, rights: PreemptionRights): Victim[] {
    const victims: Victim[] = [];
    for (const [task, assignment] of this.dependencies.tasks.placedOn(candidate.machine.name)) {
      const victim = this.victimFor(task, assignment, rights);
      if (victim) victims.push(victim);
    }
    return victims.sort(
      (a, b) => a.cost - b.cost || (b.task.runningAt ?? Infinity) - (a.task.runningAt ?? Infinity),
    );
  }

  /** Null: the task may not be stopped for a job with these rights. */
  private victimFor(
    task: Task,
    assignment: Assignment,
    { rank, arrayCpus }: PreemptionRights,
  ): Victim | null {
    const { job, beganLate, mayStopGang } = this.rules;
    const spec = task.isStopping ? null : job(assignment.job)?.spec;
    if (!spec) return null;
    // The first tasks of a job that waited long are the newest, and would be stopped repeatedly.
    if (!isSettled(task, this.dependencies.clock) && beganLate(assignment.job)) return null;
    const isGang = assignment.record.attempt !== undefined;
    if (isGang && !mayStopGang(assignment)) return null;
    const isOutranked = rankOf(spec.priority) < rank;
    if (!isOutranked && !(spec.kind === 'array' && arrayCpus.has(spec.team))) return null;
    return { task, assignment, cost: isGang ? spec.tasks + 1 : 1, isOutranked };
  }

  /** Stops tasks on a machine for a job; adds the machine to `machinesWithStops`. */
  stop(
    spec: JobSpec,
    { candidate, victims }: MachineVictims,
    machinesWithStops: Set<string>,
  ): void {
    const { tasks, log } = this.dependencies;
    for (const { task, assignment } of victims) {
      allocate(candidate.free, assignment.record, -1);
      const isGang = assignment.record.attempt !== undefined;
      // All of a gang is stopped together: see `GangShares.reconcile`, in the same cycle.
      if (isGang) assignment.hasFailed = true;
      // What was never committed was never sent either.
      if (!tasks.isCommitted(assignment, task)) tasks.requeue(assignment, task);
      else if (!isGang) task.isStopping = true;
    }
    if (victims.length === 0) return;
    const machine = candidate.machine.name;
    machinesWithStops.add(machine);
    log.info({ job: spec.id, machine, victims: victims.length }, 'tasks preempted');
  }
}

/** The first tasks on a machine whose stop frees enough for one task; null: none do. */
export function selectVictims<Machine extends PreemptibleMachine>(
  machine: Machine,
  task: Resources,
  { arrayCpus }: PreemptionRights,
): PreemptionOption<Machine> | null {
  const free = { ...machine.free };
  const usedArrayCpus = new Map<string, number>();
  const victims: Victim[] = [];
  let cost = 0;
  for (const victim of machine.stoppable) {
    if (fits(free, task)) break;
    const { record } = victim.assignment;
    if (!victim.isOutranked) {
      const cpus = (usedArrayCpus.get(record.team) ?? 0) + record.cpus;
      if (cpus > (arrayCpus.get(record.team) ?? 0) + ROUNDING_SLACK) continue;
      usedArrayCpus.set(record.team, cpus);
    }
    allocate(free, record, -1);
    cost += victim.cost;
    victims.push(victim);
  }
  return fits(free, task) ? { machine, victims, cost } : null;
}

/**
 * The first of the cheapest options; null: there is none. The search ends at an option that costs no
 * more than `sufficientCost`.
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
