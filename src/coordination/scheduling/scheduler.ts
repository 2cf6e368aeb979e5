/**
 * The scheduler of one shard: assigns waiting tasks to machines in the order of their priorities.
 */

import { ATTEMPT_RANGE_SIZE, SHARDS_PER_TERM } from '../../constants/election.js';
import { FETCH_TIME_MAX_FACTOR } from '../../constants/gangs.js';
import type { Log } from '../../storage/log.js';
import { PassSteps } from '../../storage/pass-steps.js';
import type { Clock } from '../../transport/clock.js';
import { allocate } from '../capacity/resources.js';
import { TermNumbers } from '../election/term-numbers.js';
import type { Assignment, Task } from '../shard-state/assignment.js';
import type { Machines } from '../shard-state/machines.js';
import type { Tasks } from '../shard-state/tasks.js';
import type { Bandit } from './bandit.js';
import type { CandidateMachine } from './candidates.js';
import { Consolidation } from './consolidation.js';
import type { GangLayout } from './gang-layout.js';
import { GangPlacement } from './gang-placement.js';
import { GangPreemption } from './gang-preemption.js';
import { GangReservations } from './gang-reservations.js';
import { MachineChoice, type MachineChoiceOptions } from './machine-choice.js';
import { Preemption, type PreemptionRules } from './preemption.js';
import {
  SchedulingCycle,
  waitingAssignments,
  type SchedulingCycleRules,
  type WaitingAssignment,
} from './scheduling-cycle.js';

/** Settings and rules of a shard's scheduler. */
export interface SchedulerOptions
  extends MachineChoiceOptions, PreemptionRules, SchedulingCycleRules {
  /** The shard's number and the term of its holder; attempt numbers are derived from both. */
  shardNumber: number;
  term: number;
  /** Seconds that a gang's task waits for the other tasks to start. */
  gangWaitS: number;
}

/** Services and state that the scheduler uses. */
interface SchedulerDependencies {
  tasks: Tasks;
  machines: Machines;
  bandit: Bandit;
  clock: Clock;
  log: Log;
}

/** Places a shard's waiting tasks on machines, with preemption and consolidation. */
export class Scheduler {
  private readonly attempts: TermNumbers;
  private readonly machineChoice: MachineChoice;
  private readonly preemption: Preemption;
  private readonly gangPlacement: GangPlacement;
  private readonly reservations: GangReservations;
  private readonly consolidation: Consolidation;
  private readonly steps: PassSteps;

  constructor(
    private readonly options: SchedulerOptions,
    private readonly dependencies: SchedulerDependencies,
  ) {
    const { tasks, machines, bandit, clock, log } = dependencies;
    this.steps = new PassSteps(log, {});
    const attemptRange = options.term * SHARDS_PER_TERM + options.shardNumber;
    this.attempts = new TermNumbers(attemptRange * ATTEMPT_RANGE_SIZE, ATTEMPT_RANGE_SIZE);
    this.machineChoice = new MachineChoice(options, machines, bandit);
    this.preemption = new Preemption(options, dependencies);
    this.gangPlacement = new GangPlacement(new GangPreemption(this.preemption, clock));
    this.reservations = new GangReservations(tasks, options.findJob);
    this.consolidation = new Consolidation(options.findJob, dependencies);
  }

  /**
   * Whether half of this term's attempt numbers are used, so that the shard's holder should
   * continue under a new term.
   */
  get isRunningOut(): boolean {
    return this.attempts.isRunningOut;
  }

  /**
   * Moves services off machines with low CPU use; returns machines with tasks to be stopped now.
   */
  consolidate(): Set<string> {
    return this.consolidation.run();
  }

  /** Runs one scheduling cycle; returns the machines on which tasks must now be stopped. */
  place(): Set<string> {
    const { machines, tasks } = this.dependencies;
    const waiting = waitingAssignments(tasks, this.options);
    if (waiting.length === 0) return new Set();
    const cycle = new SchedulingCycle(this.options, {
      machines,
      tasks,
      reservations: this.reservations,
    });
    let isCapacityShort = false;
    for (const entry of waiting) {
      const { assignment } = entry;
      const isGang = assignment.record.attempt !== undefined;
      const hasSucceeded = this.steps.run(`place tasks of ${assignment.job}`, () => {
        const isPlaced = isGang ? this.placeGang(entry, cycle) : this.placeTasks(entry, cycle);
        if (!isPlaced) isCapacityShort = true;
      });
      if (isGang && !hasSucceeded) this.undoPlacements(assignment);
    }
    // If some tasks found no machine, machines that consolidation is emptying may take tasks again.
    if (isCapacityShort) {
      for (const machine of machines.all.values()) machine.isConsolidating = false;
    }
    return cycle.machinesWithStops;
  }

  /** Places the tasks of an array or a service one by one; returns false if some fit nowhere. */
  private placeTasks(entry: WaitingAssignment, cycle: SchedulingCycle): boolean {
    const { assignment, spec } = entry;
    const { record } = assignment;
    const candidates = cycle.candidatesFor(entry);
    for (const task of [...assignment.waitingTasks]) {
      let target = this.machineChoice.select(spec, record, candidates, cycle.taskCounts);
      if (!target && cycle.mayPreempt(spec)) {
        target = this.preemption.preemptFor(spec, record, candidates, cycle.machinesWithStops);
      }
      // The tasks of an assignment need the same resources, so the others don't fit either.
      if (!target) return false;
      this.assign(entry, task, target, cycle);
    }
    return true;
  }

  /**
   * Places all tasks of a gang subset at once, under the attempt number that the leader assigned.
   * If they don't all fit, places none, reserves machines for them and returns false.
   */
  private placeGang(entry: WaitingAssignment, cycle: SchedulingCycle): boolean {
    const { assignment, spec } = entry;
    if (assignment.hasFailed || assignment.placedCount > 0) return true;
    const candidates = cycle.candidatesFor(entry);
    const layout = this.findGangLayout(entry, candidates, cycle);
    if (!layout) {
      assignment.isInfeasible = !this.reservations.reserve(assignment, candidates);
      return false;
    }
    for (const machineVictims of layout.preemptions) {
      this.preemption.preempt(spec, machineVictims, cycle.machinesWithStops);
    }
    for (const [index, task] of [...assignment.waitingTasks].entries()) {
      const target = layout.targets[index];
      if (!target) break;
      this.assign(entry, task, target, cycle);
    }
    return true;
  }

  /** Requeues the tasks whose placements are not committed, so that no gang is placed in part. */
  private undoPlacements(assignment: Assignment): void {
    const { tasks } = this.dependencies;
    for (const task of assignment.tasks.values()) {
      if (task.state === 'placed' && !tasks.isCommitted(assignment, task))
        tasks.requeue(assignment, task);
    }
  }

  private findGangLayout(
    { assignment, spec }: WaitingAssignment,
    candidates: readonly CandidateMachine[],
    { taskCounts }: SchedulingCycle,
  ): GangLayout | null {
    return this.gangPlacement.find({
      spec,
      assignment,
      candidates,
      types: this.machineChoice.rankTypes(spec, candidates, taskCounts),
      fetches: {
        isInTime: (machine) => this.machineChoice.fetchesInTime(machine, spec),
        isWithinGangWait: (machine) =>
          this.machineChoice.fetchSeconds(machine, spec) * FETCH_TIME_MAX_FACTOR <=
          this.options.gangWaitS,
      },
    });
  }

  /** Places one task on a machine. */
  private assign(
    { assignment, spec }: WaitingAssignment,
    task: Task,
    target: CandidateMachine,
    cycle: SchedulingCycle,
  ): void {
    allocate(target.free, assignment.record);
    target.isEmpty = false;
    const { type, name } = target.machine;
    cycle.countTask(type);
    const banditContext = this.machineChoice.context(spec, type, cycle.taskCounts);
    const attempt = assignment.record.attempt ?? this.attempts.next();
    this.dependencies.tasks.place(assignment, task, { machine: name, attempt, banditContext });
  }
}
