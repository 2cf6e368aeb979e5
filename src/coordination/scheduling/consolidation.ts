/** Consolidation of services: little-used machines are emptied, so that they can be returned. */

import {
  CONSOLIDATION_MAX_CPU_USE,
  CONSOLIDATION_MAX_MACHINE_SHARE,
  CONSOLIDATION_PERIOD_MS,
  SETTLED_AFTER_MS,
} from '../../constants/scheduling.js';
import type { Log } from '../../storage/log.js';
import type { Clock } from '../../transport/clock.js';
import { fits, allocate } from '../capacity/resources.js';
import type { Assignment, Task } from '../shard-state/assignment.js';
import type { Machines } from '../shard-state/machines.js';
import type { Tasks } from '../shard-state/tasks.js';
import { listCandidates, mayRunOn, type Candidate, type JobLookup } from './candidates.js';

/** What consolidation reads and writes. */
interface ConsolidationDependencies {
  tasks: Tasks;
  machines: Machines;
  clock: Clock;
  log: Log;
}

/** Resources taken on another machine for one task. */
interface Reservation {
  candidate: Candidate;
  assignment: Assignment;
}

/** Whether a task ran long enough for its start to have been worth it. */
export function isSettled(task: Task, clock: Clock): boolean {
  return task.runningAt !== null && clock.now() - task.runningAt > SETTLED_AFTER_MS;
}

/** Moves services away from the machines of a shard that are little used. */
export class Consolidation {
  private nextRunAt = 0;

  constructor(
    private readonly findJob: JobLookup,
    private readonly dependencies: ConsolidationDependencies,
  ) {}

  /**
   * Moves the services of little-used machines to others that have their images and enough free, so
   * that these machines become idle and are returned. A replica is away for well under a second; one
   * that started a moment ago stays, and nothing moves while tasks wait. Returns the machines on
   * which tasks must now be stopped.
   */
  run(): Set<string> {
    const { tasks, machines, clock } = this.dependencies;
    const now = clock.now();
    const emptied = new Set<string>();
    if (tasks.waitingAssignments.size > 0 || now < this.nextRunAt) return emptied;
    this.nextRunAt = now + CONSOLIDATION_PERIOD_MS;
    for (const machine of machines.all.values()) machine.isConsolidating = false;
    const used = listCandidates(machines, tasks).filter(({ isEmpty }) => !isEmpty);
    used.sort((a, b) => this.cpuUse(a) - this.cpuUse(b));
    const limit = Math.max(1, Math.round(used.length * CONSOLIDATION_MAX_MACHINE_SHARE));
    for (const [index, candidate] of used.entries()) {
      if (this.cpuUse(candidate) > CONSOLIDATION_MAX_CPU_USE || emptied.size >= limit) break;
      if (this.moveAll(candidate, used.slice(index + 1))) emptied.add(candidate.machine.name);
    }
    return emptied;
  }

  /** Stops all tasks of a machine if they may move and fit on the others; false: they stay. */
  private moveAll({ machine }: Candidate, others: readonly Candidate[]): boolean {
    const { tasks, log } = this.dependencies;
    const placed = [...tasks.placedOn(machine.name)];
    const mayAllMove = placed.every(([task, assignment]) => this.mayMove(task, assignment));
    if (!mayAllMove || placed.length === 0) return false;
    const targets = others.filter((other) => !other.machine.isConsolidating);
    const assignments = placed.map(([, assignment]) => assignment);
    if (!this.reserveCapacity(assignments, targets)) return false;
    machine.isConsolidating = true;
    for (const [task] of placed) task.isStopping = true;
    log.info({ machine: machine.name, tasks: placed.length }, 'services stopped for consolidation');
    return true;
  }

  private mayMove(task: Task, assignment: Assignment): boolean {
    const isService = this.findJob(assignment.job)?.spec.kind === 'service';
    return isService && isSettled(task, this.dependencies.clock) && !task.isStopping;
  }

  /** Takes resources for one task of each assignment on other machines; false: not all fit. */
  private reserveCapacity(
    assignments: readonly Assignment[],
    targets: readonly Candidate[],
  ): boolean {
    const reservations: Reservation[] = [];
    for (const assignment of assignments) {
      const candidate = this.targetFor(assignment, targets);
      if (!candidate) {
        for (const taken of reservations) {
          allocate(taken.candidate.free, taken.assignment.record, -1);
        }
        return false;
      }
      allocate(candidate.free, assignment.record);
      reservations.push({ candidate, assignment });
    }
    return true;
  }

  /** The first machine on which a task fits and that has its image. */
  private targetFor(assignment: Assignment, targets: readonly Candidate[]): Candidate | undefined {
    const spec = this.findJob(assignment.job)?.spec;
    if (!spec) return undefined;
    return targets.find(
      ({ machine, free }) =>
        fits(free, assignment.record) &&
        mayRunOn(machine, spec, assignment) &&
        machine.images.has(spec.image),
    );
  }

  /** Share of a machine's CPUs in use. */
  private cpuUse({ machine, free }: Candidate): number {
    const { cpus } = this.dependencies.machines.capacity(machine.type);
    return cpus > 0 ? 1 - free.cpus / cpus : 1;
  }
}
