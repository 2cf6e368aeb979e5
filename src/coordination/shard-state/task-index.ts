/** Indexes of a part's chunks by job, and of its placed tasks by machine. */
import type { Assignment, Task } from './assignment.js';

const NO_SLOTS: ReadonlyMap<Task, Assignment> = new Map();

/** Finds the chunks of a job and the tasks placed on a machine. */
export class TaskIndex {
  private readonly byJob = new Map<string, Set<Assignment>>();
  private readonly byMachine = new Map<string, Map<Task, Assignment>>();

  /** Adds a chunk to those of its job. */
  addAssignment(assignment: Assignment): void {
    const group = this.byJob.get(assignment.job);
    if (group) group.add(assignment);
    else this.byJob.set(assignment.job, new Set([assignment]));
  }

  /** Removes a chunk; true: it was the last of its job. */
  removeAssignment(assignment: Assignment): boolean {
    const group = this.byJob.get(assignment.job);
    group?.delete(assignment);
    if (group?.size === 0) this.byJob.delete(assignment.job);
    return !this.byJob.has(assignment.job);
  }

  /** Counts a slot as placed on its machine. */
  addPlacement(assignment: Assignment, task: Task): void {
    assignment.placedCount++;
    const group = this.byMachine.get(task.machine);
    if (group) group.set(task, assignment);
    else this.byMachine.set(task.machine, new Map([[task, assignment]]));
  }

  /** Counts a slot as no longer placed on its machine. */
  removePlacement(assignment: Assignment, task: Task): void {
    assignment.placedCount--;
    const group = this.byMachine.get(task.machine);
    group?.delete(task);
    if (group?.size === 0) this.byMachine.delete(task.machine);
  }

  /** The chunks of a job. */
  ofJob(job: string): Iterable<Assignment> {
    return this.byJob.get(job) ?? [];
  }

  /** Names of the machines on which tasks are placed. */
  machines(): Iterable<string> {
    return this.byMachine.keys();
  }

  /** The tasks placed on a machine. */
  onMachine(machine: string): ReadonlyMap<Task, Assignment> {
    return this.byMachine.get(machine) ?? NO_SLOTS;
  }
}
