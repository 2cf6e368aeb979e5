/** Indexes of a shard's assignments by key, by job, by machine and by waiting tasks. */
import type { Assignment, Task } from './assignment.js';

const NO_TASKS: ReadonlyMap<Task, Assignment> = new Map();

/**
 * The assignments of a shard and the indexes of their tasks. Because of the indexes, the cost of a
 * heartbeat grows only with the tasks of its machine, and that of a scheduling cycle only with the
 * assignments that have waiting tasks, whatever the shard's size.
 */
export class TaskIndex {
  readonly assignments = new Map<string, Assignment>();
  /** Assignments with tasks that wait for a machine. */
  readonly waiting = new Set<Assignment>();
  /** Gang subsets: assignments of gangs. */
  readonly gangs = new Set<Assignment>();
  private readonly byJob = new Map<string, Set<Assignment>>();
  /** The placed tasks with their assignments, by the name of the machine. */
  private readonly byMachine = new Map<string, Map<Task, Assignment>>();

  /** Adds an assignment that has no tasks yet. */
  addAssignment(assignment: Assignment): void {
    this.assignments.set(assignment.key, assignment);
    if (assignment.record.attempt !== undefined) this.gangs.add(assignment);
    const group = this.byJob.get(assignment.job);
    if (group) group.add(assignment);
    else this.byJob.set(assignment.job, new Set([assignment]));
  }

  /**
   * Removes an assignment whose tasks were removed before; returns whether it was the last one of
   * its job.
   */
  removeAssignment(assignment: Assignment): boolean {
    this.gangs.delete(assignment);
    this.assignments.delete(assignment.key);
    const group = this.byJob.get(assignment.job);
    group?.delete(assignment);
    if (group?.size === 0) this.byJob.delete(assignment.job);
    return !this.byJob.has(assignment.job);
  }

  /** Adds a placed task to the index by machine, under its machine's name. */
  addPlacement(assignment: Assignment, task: Task): void {
    assignment.placedCount++;
    const group = this.byMachine.get(task.machine);
    if (group) group.set(task, assignment);
    else this.byMachine.set(task.machine, new Map([[task, assignment]]));
  }

  /** Removes a task from the index by machine, before its machine's name is reset. */
  removePlacement(assignment: Assignment, task: Task): void {
    assignment.placedCount--;
    const group = this.byMachine.get(task.machine);
    group?.delete(task);
    if (group?.size === 0) this.byMachine.delete(task.machine);
  }

  /** Adds an assignment to `waiting` or removes it, depending on whether it has waiting tasks. */
  updateWaiting(assignment: Assignment): void {
    if (assignment.waitingTasks.size === 0) this.waiting.delete(assignment);
    else this.waiting.add(assignment);
  }

  /** The assignments of a job. */
  ofJob(job: string): Iterable<Assignment> {
    return this.byJob.get(job) ?? [];
  }

  /**
   * Names of the machines on which at least one task of the shard is placed; tasks that are not
   * placed have no entry.
   */
  machines(): Iterable<string> {
    return this.byMachine.keys();
  }

  /** The tasks placed on a machine. */
  onMachine(machine: string): ReadonlyMap<Task, Assignment> {
    return this.byMachine.get(machine) ?? NO_TASKS;
  }
}
