/** One part's rounds of placing: waiting tasks go to machines, in the order of their priorities. */

import { ATTEMPT_STEP, SHARDS_PER_TERM } from '../../constants/election.js';
import { FETCH_SLOWEST } from '../../constants/gangs.js';
import { rankOf, type JobSpec } from '../../protocol/model.js';
import type { Log } from '../../storage/log.js';
import type { Clock } from '../../transport/clock.js';
import type { Bandit } from './bandit.js';
import { countTasksByType, listCandidates, mayRunOn, type Candidate } from './candidates.js';
import { isEligible } from '../capacity/machine-capacity.js';
import { Consolidation } from './consolidation.js';
import { GangLayouts, type GangLayout } from './gang-layout.js';
import { GangReservations } from './gang-reservations.js';
import { MachineChoice, type MachineChoiceOptions } from './machine-choice.js';
import type { Machines } from '../shard-state/machines.js';
import { Preemption, type PreemptionRules } from './preemption.js';
import { allocate } from '../capacity/resources.js';
import type { Assignment, Task, Tasks } from '../shard-state/tasks.js';
import { TermNumbers } from '../election/term-numbers.js';

/** What placing needs of its part, beside tasks and machines. */
export interface SchedulerOptions extends MachineChoiceOptions, PreemptionRules {
  /** The part's number and the term of its owner; both are in the attempt numbers. */
  number: number;
  term: number;
  /** Whether nothing of a job runs long after it came. */
  waitsLong: (id: string) => boolean;
  /** The gang for which this part reserves some room; null: it reserves none. */
  nextGang: () => JobSpec | null;
  /** Whether a job waits after failures. */
  pauses: (id: string) => boolean;
  /** Seconds for which a gang's task waits for the others. */
  gangWaitS: number;
}

/** What placing reads and writes. */
export interface SchedulerDependencies {
  tasks: Tasks;
  machines: Machines;
  bandit: Bandit;
  clock: Clock;
  log: Log;
}

/** A chunk with tasks that wait for a place, and its job's description. */
interface WaitingAssignment {
  assignment: Assignment;
  spec: JobSpec;
}

/** The state of one round. */
interface SchedulingCycle {
  /** All machines that may take tasks; their room shrinks with each placement. */
  candidates: readonly Candidate[];
  /** The gang for which some room is reserved against arrays. */
  nextGang: JobSpec | null;
  /** Queued and running tasks by machine type. */
  load: Map<string, number>;
  /** The lowest rank of all work that is placed: what doesn't rank above it can't stop anything. */
  lowestRank: number;
  /** Machines on which tasks must now be stopped. */
  stopped: Set<string>;
}

/** Decides where a part's waiting tasks go. */
export class Scheduler {
  private readonly attempts: TermNumbers;
  private readonly choice: MachineChoice;
  private readonly preemption: Preemption;
  private readonly layouts: GangLayouts;
  private readonly reservations: GangReservations;
  private readonly consolidation: Consolidation;

  constructor(
    private readonly options: SchedulerOptions,
    private readonly dependencies: SchedulerDependencies,
  ) {
    const { tasks, machines, bandit, clock } = dependencies;
    const range = options.term * SHARDS_PER_TERM + options.number;
    this.attempts = new TermNumbers(range * ATTEMPT_STEP, ATTEMPT_STEP);
    this.choice = new MachineChoice(options, machines, bandit);
    this.preemption = new Preemption(options, dependencies);
    this.layouts = new GangLayouts(this.preemption, options.job, clock);
    this.reservations = new GangReservations(tasks, options.job);
    this.consolidation = new Consolidation(options.job, dependencies);
  }

  /** The part needs a new term before it has used all attempts of this one. */
  get isRunningOut(): boolean {
    return this.attempts.isRunningOut;
  }

  /** Moves services off little-used machines; returns those on which tasks must now be stopped. */
  consolidate(): Set<string> {
    return this.consolidation.run();
  }

  /** Places what waits; returns the machines on which tasks must now be stopped. */
  place(): Set<string> {
    const waiting = this.waitingAssignments();
    if (waiting.length === 0) return new Set();
    const cycle = this.startCycle();
    let short = false;
    for (const entry of waiting) {
      const open = this.openTo(entry, cycle);
      const isGang = entry.assignment.record.attempt !== undefined;
      const placed = isGang
        ? this.placeShare(entry, open, cycle)
        : this.placeTasks(entry, open, cycle);
      if (!placed) short = true;
    }
    // Room is short: a machine that was being emptied is needed after all.
    if (short) {
      for (const machine of this.dependencies.machines.all.values())
        machine.isConsolidating = false;
    }
    return cycle.stopped;
  }

  /**
   * What waits, by priority, then in the leader's order, which is that of the chunks' numbers. By
   * deadline, jobs that can't meet theirs would pass all others here, and one whose turn came late
   * would be passed until it is given back.
   */
  private waitingAssignments(): WaitingAssignment[] {
    const waiting: WaitingAssignment[] = [];
    for (const assignment of this.dependencies.tasks.waitingAssignments) {
      const job = this.options.job(assignment.job);
      if (!job || this.options.pauses(assignment.job)) continue;
      waiting.push({ assignment, spec: job.spec });
    }
    return waiting.sort(
      (a, b) =>
        rankOf(b.spec.priority) - rankOf(a.spec.priority) ||
        a.assignment.number - b.assignment.number,
    );
  }

  private startCycle(): SchedulingCycle {
    const { machines, tasks } = this.dependencies;
    const candidates = listCandidates(machines, tasks);
    const nextGang = this.options.nextGang();
    if (nextGang) {
      this.reservations.excludeArrays(
        nextGang,
        candidates.filter(({ machine }) => !machine.spot && isEligible(nextGang, machine)),
      );
    }
    const load = countTasksByType(machines, tasks);
    return { candidates, nextGang, load, lowestRank: this.lowestRank(), stopped: new Set() };
  }

  private lowestRank(): number {
    let lowest = Infinity;
    for (const assignment of this.dependencies.tasks.assignments.values()) {
      if (assignment.placedCount === 0) continue;
      const spec = this.options.job(assignment.job)?.spec;
      if (spec) lowest = Math.min(lowest, rankOf(spec.priority));
    }
    return lowest;
  }

  /** The machines that a chunk may use, less those whose room is reserved for gangs. */
  private openTo({ assignment, spec }: WaitingAssignment, cycle: SchedulingCycle): Candidate[] {
    const isExcluded =
      cycle.nextGang !== null && spec.kind === 'array' && !this.options.waitsLong(assignment.job);
    return cycle.candidates.filter(
      ({ machine, reserved, excludesArrays }) =>
        !reserved && !(excludesArrays && isExcluded) && mayRunOn(machine, spec, assignment),
    );
  }

  /** Places tasks one by one; false: there is no room for some. */
  private placeTasks(
    entry: WaitingAssignment,
    open: readonly Candidate[],
    cycle: SchedulingCycle,
  ): boolean {
    const { assignment, spec } = entry;
    for (const task of [...assignment.waitingTasks]) {
      let target = this.choice.choose(spec, assignment.record, open, cycle.load);
      if (!target && rankOf(spec.priority) > cycle.lowestRank) {
        target = this.preemption.preemptFor(spec, assignment.record, open, cycle.stopped);
      }
      // No room for one task of a chunk is none for the others: they are alike.
      if (!target) return false;
      this.assign(entry, task, target, cycle);
    }
    return true;
  }

  /**
   * All tasks of a gang's share at once, under the attempt that the leader gave it; or none: then
   * room is reserved for it. False: there was no room.
   */
  private placeShare(
    entry: WaitingAssignment,
    open: readonly Candidate[],
    cycle: SchedulingCycle,
  ): boolean {
    const { assignment, spec } = entry;
    if (assignment.hasFailed || assignment.placedCount > 0) return true;
    const layout = this.layOut(entry, open, cycle);
    if (!layout) {
      assignment.isInfeasible = !this.reservations.reserve(assignment, open);
      return false;
    }
    for (const [candidate, victims] of layout.victims) {
      this.preemption.stop(spec, candidate, victims, cycle.stopped);
    }
    for (const [at, task] of [...assignment.waitingTasks].entries()) {
      const target = layout.places[at];
      if (!target) break;
      this.assign(entry, task, target, cycle);
    }
    return true;
  }

  private layOut(
    { assignment, spec }: WaitingAssignment,
    open: readonly Candidate[],
    cycle: SchedulingCycle,
  ): GangLayout | null {
    return this.layouts.find({
      spec,
      assignment,
      candidates: open,
      types: this.choice.rankTypes(spec, open, cycle.load),
      fetches: {
        inTime: (machine) => this.choice.fetchesInTime(machine, spec),
        whileOthersWait: (machine) =>
          this.choice.fetchSeconds(machine, spec) * FETCH_SLOWEST <= this.options.gangWaitS,
      },
    });
  }

  /** Places one task on a machine. */
  private assign(
    { assignment, spec }: WaitingAssignment,
    task: Task,
    target: Candidate,
    { load }: SchedulingCycle,
  ): void {
    allocate(target.free, assignment.record);
    target.empty = false;
    const { type, name } = target.machine;
    load.set(type, (load.get(type) ?? 0) + 1);
    const context = this.choice.context(spec, type, load);
    const attempt = assignment.record.attempt ?? this.attempts.next();
    this.dependencies.tasks.place(assignment, task, {
      machine: name,
      attempt,
      banditContext: context,
    });
  }
}
