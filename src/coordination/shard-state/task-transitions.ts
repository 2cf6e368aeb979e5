/** The state transitions of tasks: placed, waiting again, done, or returned to the leader. */
import type { Clock } from '../../transport/clock.js';
import { clearPlacement, type Assignment, type Task } from './assignment.js';
import type { ChangedAssignments } from './changed-assignments.js';
import type { TaskIndex } from './task-index.js';

/** A task's machine and attempt, and the context vector of the bandit's decision. */
export type Placement = Pick<Task, 'machine' | 'attempt' | 'banditContext'>;

/** Changes the state of tasks, updates the indexes, and marks the assignments as changed. */
export class TaskTransitions {
  constructor(
    private readonly index: TaskIndex,
    private readonly changed: ChangedAssignments,
    private readonly clock: Clock,
  ) {}

  /** Places a task on a machine. */
  place(assignment: Assignment, task: Task, placement: Placement): void {
    this.endPlacement(assignment, task);
    task.state = 'placed';
    task.machine = placement.machine;
    task.attempt = placement.attempt;
    task.banditContext = placement.banditContext;
    this.index.addPlacement(assignment, task);
    this.changed.mark(assignment);
  }

  /** Makes a task wait for a machine again. */
  requeue(assignment: Assignment, task: Task): void {
    this.endPlacement(assignment, task);
    // The tasks of a gang are only placed together, so a gang's attempt has failed once one of its
    // tasks must wait again.
    assignment.hasFailed = assignment.record.attempt !== undefined;
    task.state = 'waiting';
    task.waitingSince = this.clock.now();
    assignment.waitingTasks.add(task);
    this.index.updateWaiting(assignment);
    this.changed.mark(assignment);
  }

  /** Marks a task as done. */
  markDone(assignment: Assignment, task: Task): void {
    this.endPlacement(assignment, task);
    task.state = 'done';
    this.changed.mark(assignment);
  }

  /** Returns a waiting task to the leader by removing it from its assignment. */
  returnToLeader(assignment: Assignment, task: Task): void {
    this.endPlacement(assignment, task);
    assignment.tasks.delete(task.index);
    this.changed.mark(assignment);
  }

  /** Removes a task from its machine and from the waiting tasks. */
  private endPlacement(assignment: Assignment, task: Task): void {
    if (task.state === 'placed') this.index.removePlacement(assignment, task);
    assignment.waitingTasks.delete(task);
    this.index.updateWaiting(assignment);
    clearPlacement(task);
  }
}
