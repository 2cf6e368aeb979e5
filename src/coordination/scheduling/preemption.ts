/** Preemption: which tasks are stopped to make room for work of higher priority, and at what cost. */

import { IMAGE_VICTIMS } from '../../constants/scheduling.js';
import { rankOf, type JobSpec } from '../../protocol/model.js';
import type { Log } from '../../storage/log.js';
import type { Clock } from '../../transport/clock.js';
import type { Candidate, JobLookup, Victim } from './candidates.js';
import { isSettled } from './consolidation.js';
import { fits, allocate, type Resources } from '../capacity/resources.js';
import type { Assignment, Tasks } from '../shard-state/tasks.js';

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

/** A machine and the tasks whose end makes enough room on it, with what their stop costs. */
interface PreemptionPlan {
  candidate: Candidate;
  victims: Victim[];
  cost: number;
}

/** No team's arrays may be stopped for a claim. */
const NO_TEAMS: ReadonlyMap<string, number> = new Map();

/** Finds tasks that may be stopped for other work, and stops them. */
export class Preemption {
  constructor(
    private readonly rules: PreemptionRules,
    private readonly dependencies: PreemptionDependencies,
  ) {}

  /**
   * Makes room for one task where that costs the least; returns that machine, or null if none has
   * enough to stop. Adds machines on which tasks must now be stopped to `stopped`.
   */
  preemptFor(
    spec: JobSpec,
    task: Resources,
    candidates: readonly Candidate[],
    stopped: Set<string>,
  ): Candidate | null {
    let best: PreemptionPlan | null = null;
    for (const candidate of candidates) {
      const plan = this.plan(spec, task, candidate);
      if (!plan || plan.cost >= (best?.cost ?? Infinity)) continue;
      best = plan;
      if (plan.cost <= 1) break;
    }
    if (best === null) return null;
    this.stop(spec, best.candidate, best.victims, stopped);
    return best.candidate;
  }

  /** The first tasks on a machine whose end makes room for one task; null: that is not enough. */
  private plan(spec: JobSpec, task: Resources, candidate: Candidate): PreemptionPlan | null {
    const free = { ...candidate.free };
    const victims: Victim[] = [];
    for (const victim of this.victims(candidate, rankOf(spec.priority))) {
      if (fits(free, task)) break;
      allocate(free, victim[1].record, -1);
      victims.push(victim);
    }
    if (!fits(free, task)) return null;
    // The fetch of an image can take as long as an urgent start may; stopped tasks only lose work.
    const cost =
      victims.reduce((sum, victim) => sum + this.costOf(victim), 0) +
      (candidate.machine.images.has(spec.image) ? 0 : IMAGE_VICTIMS);
    return { candidate, victims, cost };
  }

  /**
   * Tasks on a machine that a job of this rank may stop, and arrays of these teams. The order is that
   * in which they are stopped: the cheapest first, among those the newest.
   */
  victims(
    candidate: Candidate,
    rank: number,
    teams: ReadonlyMap<string, number> = NO_TEAMS,
  ): Victim[] {
    return [...this.dependencies.tasks.placedOn(candidate.machine.name)]
      .filter((victim) => this.mayStop(victim, rank, teams))
      .sort(
        (a, b) =>
          this.costOf(a) - this.costOf(b) ||
          (b[0].runningAt ?? Infinity) - (a[0].runningAt ?? Infinity),
      );
  }

  private mayStop(
    [task, assignment]: Victim,
    rank: number,
    teams: ReadonlyMap<string, number>,
  ): boolean {
    const { job, beganLate, mayStopGang } = this.rules;
    const spec = task.isStopping ? null : job(assignment.job)?.spec;
    if (!spec) return false;
    // The first tasks of a job that waited long are the newest, and would be stopped repeatedly.
    if (!isSettled(task, this.dependencies.clock) && beganLate(assignment.job)) return false;
    if (assignment.record.attempt !== undefined && !mayStopGang(assignment)) return false;
    if (rankOf(spec.priority) < rank) return true;
    return spec.kind === 'array' && teams.has(spec.team);
  }

  /** How many tasks are stopped with a victim: of a gang all, wherever they run. */
  costOf([, assignment]: Victim): number {
    if (assignment.record.attempt === undefined) return 1;
    return (this.rules.job(assignment.job)?.spec.tasks ?? assignment.tasks.size) + 1;
  }

  /** Stops tasks on a machine for a job; adds the machine to `stopped`. */
  stop(
    spec: JobSpec,
    candidate: Candidate,
    victims: readonly Victim[],
    stopped: Set<string>,
  ): void {
    const { tasks, log } = this.dependencies;
    for (const [task, assignment] of victims) {
      allocate(candidate.free, assignment.record, -1);
      // All of a gang is stopped together: see `GangShares.reconcile`, in the same round.
      if (assignment.record.attempt !== undefined) assignment.hasFailed = true;
      // What was never committed was never sent either.
      if (!tasks.isCommitted(assignment, task)) tasks.requeue(assignment, task);
      else if (assignment.record.attempt === undefined) task.isStopping = true;
    }
    if (victims.length === 0) return;
    const machine = candidate.machine.name;
    stopped.add(machine);
    log.info(
      { job: spec.id, machine, victims: victims.length },
      'stopping lower work to make room',
    );
  }
}
