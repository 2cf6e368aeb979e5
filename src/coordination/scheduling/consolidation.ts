/**
 * Consolidation: moves services off machines with low CPU use, so that the emptied machines can be
 * returned to the cloud.
 */

import {
  CONSOLIDATION_MAX_CPU_FRACTION,
  CONSOLIDATION_MAX_MACHINE_FRACTION,
  CONSOLIDATION_INTERVAL_MS,
  MIN_RUN_BEFORE_STOP_MS,
} from '../../constants/scheduling.js';
import type { Log } from '../../storage/log.js';
import type { Clock } from '../../transport/clock.js';
import { fits, allocate } from '../capacity/resources.js';
import type { Assignment, Task } from '../shard-state/assignment.js';
import type { Machines } from '../shard-state/machines.js';
import type { Tasks } from '../shard-state/tasks.js';
import { listCandidates, mayRunOn, type CandidateMachine, type JobLookup } from './candidates.js';

/** Services and state that consolidation uses. */
interface ConsolidationDependencies {
  tasks: Tasks;
  machines: Machines;
  clock: Clock;
  log: Log;
}

/** Resources of another machine that are reserved for one task. */
interface Reservation {
  candidate: CandidateMachine;
  assignment: Assignment;
}

/**
 * Whether a task has run for more than `MIN_RUN_BEFORE_STOP_MS`, so that a stop doesn't waste its
 * start.
 */
export function hasMinimumRunTime(task: Task, clock: Clock): boolean {
  return task.runningAt !== null && clock.now() - task.runningAt > MIN_RUN_BEFORE_STOP_MS;
}

/** Periodically moves services off the machines of a shard that have low CPU use. */
export class Consolidation {
  private nextRunAt = 0;

  constructor(
    private readonly findJob: JobLookup,
    private readonly dependencies: ConsolidationDependencies,
  ) {}

  /**
   * Stops the services of machines with low CPU use if they fit on other machines that have their
   * images. The emptied machines become idle and are returned. A service's task is unavailable for
   * well under a second while it moves. Tasks that started recently stay, and none moves while tasks
   * wait for a machine. Returns the machines on which tasks must now be stopped.
   */
  run(): Set<string> {
    const { tasks, machines, clock } = this.dependencies;
    const now = clock.now();
    const emptied = new Set<string>();
    if (tasks.waitingAssignments.size > 0 || now < this.nextRunAt) return emptied;
    this.nextRunAt = now + CONSOLIDATION_INTERVAL_MS;
    for (const machine of machines.all.values()) machine.isConsolidating = false;
    const used = listCandidates(machines, tasks).filter(({ isEmpty }) => !isEmpty);
    used.sort((a, b) => this.cpuUtilization(a) - this.cpuUtilization(b));
    const limit = Math.max(1, Math.round(used.length * CONSOLIDATION_MAX_MACHINE_FRACTION));
    for (const [index, candidate] of used.entries()) {
      if (this.cpuUtilization(candidate) > CONSOLIDATION_MAX_CPU_FRACTION || emptied.size >= limit)
        break;
      if (this.moveAll(candidate, used.slice(index + 1))) emptied.add(candidate.machine.name);
    }
    return emptied;
  }

  /**
   * Stops all tasks of a machine if all may move and fit on the other machines; returns whether
   * they were stopped.
   */
  private moveAll({ machine }: CandidateMachine, others: readonly CandidateMachine[]): boolean {
    const { tasks, log } = this.dependencies;
    const placed = [...tasks.placedOn(machine.name)];
    const mayAllMove = placed.every(([task, assignment]) => this.mayMove(task, assignment));
    if (!mayAllMove || placed.length === 0) return false;
    const targets = others.filter((other) => !other.machine.isConsolidating);
    const assignments = placed.map(([, assignment]) => assignment);
    if (!this.reserveCapacity(assignments, targets)) return false;
    machine.isConsolidating = true;
    for (const [task] of placed) task.isStopping = true;
    log.info(
      { machine: machine.name, taskCount: placed.length },
      'services stopped for consolidation',
    );
    return true;
  }

  private mayMove(task: Task, assignment: Assignment): boolean {
    const isService = this.findJob(assignment.job)?.spec.kind === 'service';
    return isService && hasMinimumRunTime(task, this.dependencies.clock) && !task.isStopping;
  }

  /**
   * Reserves resources on the target machines for one task per entry of `assignments`; returns
   * false and reserves none if not all of these tasks fit.
   */
  private reserveCapacity(
    assignments: readonly Assignment[],
    targets: readonly CandidateMachine[],
  ): boolean {
    const reservations: Reservation[] = [];
    for (const assignment of assignments) {
      const candidate = this.targetFor(assignment, targets);
      if (!candidate) {
        for (const reservation of reservations) {
          allocate(reservation.candidate.free, reservation.assignment.record, -1);
        }
        return false;
      }
      allocate(candidate.free, assignment.record);
      reservations.push({ candidate, assignment });
    }
    return true;
  }

  /**
   * Returns the first target machine that may run a task of the assignment, has enough free
   * resources for it and has the image of its job; undefined: there is none.
   */
  private targetFor(
    assignment: Assignment,
    targets: readonly CandidateMachine[],
  ): CandidateMachine | undefined {
    const spec = this.findJob(assignment.job)?.spec;
    if (!spec) return undefined;
    return targets.find(
      ({ machine, free }) =>
        fits(free, assignment.record) &&
        mayRunOn(machine, spec, assignment) &&
        machine.images.has(spec.image),
    );
  }

  /** Fraction of a machine's CPUs in use; 1 if the catalog does not contain the machine's type. */
  private cpuUtilization({ machine, free }: CandidateMachine): number {
    const { cpus } = this.dependencies.machines.capacity(machine.type);
    return cpus > 0 ? 1 - free.cpus / cpus : 1;
  }
}
