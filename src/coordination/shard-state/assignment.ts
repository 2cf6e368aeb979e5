/** Assignments and their tasks as the holder of a shard keeps them in memory. */
import { readRanges } from '../../storage/ranges.js';
import type { AssignmentRecord } from '../../storage/records.js';

/** One task of an assignment: waiting for a machine, placed on one, or done. */
export interface Task {
  index: number;
  state: 'waiting' | 'placed' | 'done';
  /** Name of the machine on which it is placed; empty: on none. */
  machine: string;
  attempt: number;
  /** Steady time at which a heartbeat first showed it running; null: not yet. */
  runningAt: number | null;
  /** Of a gang: steady time at which a heartbeat first showed it waiting for the others. */
  gatheringAt: number | null;
  /** It is being stopped, for other work or with its gang, and waits again once it has ended. */
  isStopping: boolean;
  /** Its start was sent, and no later heartbeat shows that it was lost. */
  isStartSent: boolean;
  /** Its stop was sent; answers to heartbeats repeat it, direct calls don't. */
  isStopSent: boolean;
  /** Steady time since which it waits for a machine. */
  waitingSince: number;
  /** What the bandit based the placement on; null: it was not placed by the bandit. */
  banditContext: number[] | null;
}

/** Tasks of one job that the leader assigned to the shard. */
export interface Assignment {
  key: string;
  job: string;
  /** Greater than those of all assignments that the leader made before. */
  number: number;
  /** As it was read: the job's needs, team, zone and attempt never change. */
  record: AssignmentRecord;
  tasks: Map<number, Task>;
  /** Its tasks that wait for a machine. */
  waitingTasks: Set<Task>;
  /** How many of its tasks are placed. */
  placedCount: number;
  /** Of a gang: its attempt failed, so that all of it ends and returns to the leader. */
  hasFailed: boolean;
  /** Of a gang: it will not fit here even once arrays have ended. */
  isInfeasible: boolean;
  /** Of a gang: steady time since which all of its tasks here are placed; null: they are not. */
  fullyPlacedAt: number | null;
  /** The record as last committed. */
  committedRecord: AssignmentRecord;
  /** Steady time of the oldest change that is not committed; null: none. */
  changedSince: number | null;
}

/** An assignment as it is stored, without its tasks. */
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

/** The tasks of a stored assignment, of which no heartbeat was seen yet. */
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

/** Resets what belongs to a task's placement. */
export function clearPlacement(task: Task): void {
  task.machine = '';
  task.runningAt = null;
  task.gatheringAt = null;
  task.isStopping = false;
  task.isStartSent = false;
  task.isStopSent = false;
  task.banditContext = null;
}

/** Whether the key-value store holds this placement: only then may its start be sent. */
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
