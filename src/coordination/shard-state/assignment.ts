/** Chunks of tasks and their slots as the owner of a part keeps them in memory. */
import { readRanges } from '../../storage/ranges.js';
import type { AssignmentRecord } from '../../storage/records.js';

/** One task of a chunk: waiting, placed on a machine, or done. */
export interface Task {
  index: number;
  state: 'waiting' | 'placed' | 'done';
  /** Name of the machine on which it is placed; empty: on none. */
  machine: string;
  attempt: number;
  /** Steady time at which a report first showed it running; null: not yet. */
  runningAt: number | null;
  /** Of a gang: steady time at which a report first showed it waiting for the others. */
  gatheringAt: number | null;
  /** Being stopped to make room. */
  isStopping: boolean;
  /** Its start was sent, and no later report shows that it was lost. */
  isStartSent: boolean;
  /** Its stop was sent, and no later report shows that it was lost. */
  isStopSent: boolean;
  /** Steady time since which it waits for a place. */
  waitingSince: number;
  /** What the bandit based the placement on; null: it was not placed by the bandit. */
  banditContext: number[] | null;
}

/** A chunk of a job's tasks that is assigned to the part. */
export interface Assignment {
  key: string;
  job: string;
  /** Greater than those of all chunks that the leader made before. */
  number: number;
  record: AssignmentRecord;
  tasks: Map<number, Task>;
  /** Its slots that wait for a place, in the order of their numbers. */
  waitingTasks: Set<Task>;
  /** How many of its slots are placed. */
  placedCount: number;
  /** Of a gang: its attempt failed, so that all of it ends and goes back to the leader. */
  hasFailed: boolean;
  /** Of a gang: there is no room to come here for it. */
  isInfeasible: boolean;
  /** Of a gang: steady time since which all of its tasks here are placed; null: they are not. */
  fullyPlacedAt: number | null;
  /** As last committed. */
  committedRecord: AssignmentRecord;
  /** Steady time of the oldest change that is not committed; null: none. */
  changedSince: number | null;
}

/** A chunk as it is stored, without its slots. */
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

/** The slots of a stored chunk, of whose tasks no report was seen yet. */
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

/** Resets what belongs to a slot's placement. */
export function clearPlacement(task: Task): void {
  task.machine = '';
  task.runningAt = null;
  task.gatheringAt = null;
  task.isStopping = false;
  task.isStartSent = false;
  task.isStopSent = false;
  task.banditContext = null;
}

/** Whether the state service holds this placement: only then may its start be sent. */
export function isCommitted(assignment: Assignment, task: Task): boolean {
  return assignment.committedRecord.live[String(task.index)]?.[1] === task.attempt;
}

/** Machines with placements of this chunk that are not committed yet. */
export function uncommittedMachines(assignment: Assignment): Set<string> {
  const machines = new Set<string>();
  for (const task of assignment.tasks.values()) {
    if (task.state === 'placed' && !isCommitted(assignment, task)) machines.add(task.machine);
  }
  return machines;
}
