/** Consolidation of services: little-used machines are emptied, so that they can be returned. */

import {
  CONSOLIDATE_MS,
  CONSOLIDATE_SETTLED_MS,
  CONSOLIDATE_SHARE,
  CONSOLIDATE_USE,
} from '../../constants/scheduling.js';
import type { Log } from '../../storage/log.js';
import type { Clock } from '../../transport/clock.js';
import { listCandidates, mayRunOn, type Candidate, type JobLookup } from './candidates.js';
import type { Machines } from '../shard-state/machines.js';
import { fits, allocate } from '../capacity/resources.js';
import type { Assignment, Task, Tasks } from '../shard-state/tasks.js';

/** What consolidation reads and writes. */
interface ConsolidationDependencies {
  tasks: Tasks;
  machines: Machines;
  clock: Clock;
  log: Log;
}

/** Room for one task that is taken on another machine. */
interface Reservation {
  candidate: Candidate;
  assignment: Assignment;
}

/** Whether a task ran long enough for its start to have been worth it. */
export function isSettled(task: Task, clock: Clock): boolean {
  return task.runningAt !== null && clock.now() - task.runningAt > CONSOLIDATE_SETTLED_MS;
}

/** Moves services away from the machines of a part that are little used. */
export class Consolidation {
  private nextAt = 0;

  constructor(
    private readonly job: JobLookup,
    private readonly dependencies: ConsolidationDependencies,
  ) {}

  /**
   * Moves the services of little-used machines to others that have room and their images, so that
   * these machines become idle and are returned. A replica is away for well under a second; one that
   * started a moment ago stays, and nothing moves while tasks wait. Returns the machines on which
   * tasks must now be stopped.
   */
  run(): Set<string> {
    const { tasks, machines, clock } = this.dependencies;
    const now = clock.now();
    const emptied = new Set<string>();
    if (tasks.waitingAssignments.size > 0 || now < this.nextAt) return emptied;
    this.nextAt = now + CONSOLIDATE_MS;
    for (const machine of machines.all.values()) machine.isConsolidating = false;
    const used = listCandidates(machines, tasks).filter(({ empty }) => !empty);
    used.sort((a, b) => this.useOf(a) - this.useOf(b));
    const most = Math.max(1, Math.round(used.length * CONSOLIDATE_SHARE));
    for (const [at, candidate] of used.entries()) {
      if (this.useOf(candidate) > CONSOLIDATE_USE || emptied.size >= most) return emptied;
      if (this.empty(candidate, used.slice(at + 1))) emptied.add(candidate.machine.name);
    }
    return emptied;
  }

  /** Stops all tasks of a machine if they may move and the others have room; false: they stay. */
  private empty({ machine }: Candidate, others: readonly Candidate[]): boolean {
    const { tasks, log } = this.dependencies;
    const placed = [...tasks.placedOn(machine.name)];
    if (
      !placed.every(([task, assignment]) => this.mayMove(task, assignment)) ||
      placed.length === 0
    ) {
      return false;
    }
    const targets = others.filter((other) => !other.machine.isConsolidating);
    const assignments = placed.map(([, assignment]) => assignment);
    if (!this.reserveCapacity(assignments, targets)) return false;
    machine.isConsolidating = true;
    for (const [task] of placed) task.isStopping = true;
    log.info({ machine: machine.name, tasks: placed.length }, 'moving services away');
    return true;
  }

  private mayMove(task: Task, assignment: Assignment): boolean {
    const isService = this.job(assignment.job)?.spec.kind === 'service';
    return isService && isSettled(task, this.dependencies.clock) && !task.isStopping;
  }

  /** Takes room for one task of each of these chunks on other machines; false: for none of them. */
  private reserveCapacity(
    assignments: readonly Assignment[],
    targets: readonly Candidate[],
  ): boolean {
    const reservations: Reservation[] = [];
    for (const assignment of assignments) {
      const candidate = this.targetFor(assignment, targets);
      if (!candidate) {
        for (const taken of reservations)
          allocate(taken.candidate.free, taken.assignment.record, -1);
        return false;
      }
      allocate(candidate.free, assignment.record);
      reservations.push({ candidate, assignment });
    }
    return true;
  }

  /** The first machine with room for a task and with its image. */
  private targetFor(assignment: Assignment, targets: readonly Candidate[]): Candidate | undefined {
    const spec = this.job(assignment.job)?.spec;
    if (!spec) return undefined;
    return targets.find(
      ({ machine, free }) =>
        fits(free, assignment.record) &&
        mayRunOn(machine, spec, assignment) &&
        machine.images.has(spec.image),
    );
  }

  /** Share of a machine's CPUs in use. */
  private useOf({ machine, free }: Candidate): number {
    const { cpus } = this.dependencies.machines.capacity(machine.type);
    return cpus > 0 ? 1 - free.cpus / cpus : 1;
  }
}
