/** Assignments and their tasks in the memory of a shard's holder. */
import { readRanges } from '../../storage/ranges.js';
import type { AssignmentRecord } from '../../storage/records.js';

/** One task of an assignment: waiting for a machine, placed on one, or done. */
export interface Task {
  index: number;
  state: 'waiting' | 'placed' | 'done';
  /** Name of the machine on which the task is placed; empty: none. */
  machine: string;
  attempt: number;
  /** Steady time at which a heartbeat first showed the task running; null: none has. */
  runningAt: number | null;
  /**
   * Steady time at which a heartbeat first showed the task waiting for the other tasks of its gang;
   * null: none has.
   */
  gatheringAt: number | null;
  /**
   * The task is being stopped, by preemption or with its gang; it waits again once it has ended.
   */
  isStopping: boolean;
  /** The task's start was sent, and no later heartbeat shows that the start was lost. */
  isStartSent: boolean;
  /** The task's stop was sent. Answers to heartbeats repeat it, direct calls don't. */
  isStopSent: boolean;
  /** Steady time since which the task waits for a machine. */
  waitingSince: number;
  /** The context vector of the bandit's decision; null: the bandit did not place the task. */
  banditContext: number[] | null;
}

/** Tasks of one job that the leader assigned to the shard. */
export interface Assignment {
  key: string;
  job: string;
  /** Sequence number, greater than those of all assignments that the leader created before. */
  number: number;
  /** The record as it was read; its resources, team, zone and attempt never change. */
  record: AssignmentRecord;
  /** All tasks of the assignment, whatever their state, by their index in the job. */
  tasks: Map<number, Task>;
  /** Tasks that wait for a machine. */
  waitingTasks: Set<Task>;
  /** Number of tasks that are placed. */
  placedCount: number;
  /** Gang subset only: its attempt failed, so all tasks are stopped and returned to the leader. */
  hasFailed: boolean;
  /** Gang subset only: the shard's machines cannot hold it even after all arrays have ended. */
  isInfeasible: boolean;
  /** Gang subset only: steady time since which all of its tasks are placed; null: not all are. */
  fullyPlacedAt: number | null;
  /** The record as last committed. */
  committedRecord: AssignmentRecord;
  /** Steady time of the oldest change that is not committed; null: none. */
  changedSince: number | null;
}

/** Creates an assignment from its stored record, without its tasks. */
export function createAssignment(
  identity: Pick<Assignment, 'key' | 'job' | 'number'>,
  record: AssignmentRecord,
): Assignment {
  return {
    ...identity,
    record,
    committedRecord: record,
    tasks: new Map(),
    waitingTasks: new Set(),
    placedCount: 0,
    hasFailed: false,
    isInfeasible: false,
    fullyPlacedAt: null,
    changedSince: null,
  };
}

/** Creates the tasks of a stored assignment, none of which a heartbeat has shown yet. */
export function readTasks(stored: AssignmentRecord, now: number): Task[] {
  const done = new Set(readRanges(stored.done));
  return readRanges(stored.ids).map((index) => {
    const live = stored.live[String(index)];
    return {
      index,
      state: done.has(index) ? 'done' : live ? 'placed' : 'waiting',
      machine: live?.[0] ?? '',
      attempt: live?.[1] ?? 0,
      runningAt: null,
      gatheringAt: null,
      isStopping: false,
      isStartSent: false,
      isStopSent: false,
      waitingSince: now,
      banditContext: null,
    };
  });
}

/** Resets the fields of a task that describe its run on a machine; its attempt number stays. */
export function clearPlacement(task: Task): void {
  task.machine = '';
  task.runningAt = null;
  task.gatheringAt = null;
  task.isStopping = false;
  task.isStartSent = false;
  task.isStopSent = false;
  task.banditContext = null;
}

/**
 * Whether the key-value store holds a task's placement under its current attempt; the task's start
 * may be sent only then.
 */
export function isCommitted(assignment: Assignment, task: Task): boolean {
  return assignment.committedRecord.live[String(task.index)]?.[1] === task.attempt;
}

/** Machines with placements of this assignment that are not committed yet. */
export function uncommittedMachines(assignment: Assignment): Set<string> {
  const machines = new Set<string>();
  for (const task of assignment.tasks.values()) {
    if (task.state === 'placed' && !isCommitted(assignment, task)) machines.add(task.machine);
  }
  return machines;
}
