/** The result of looking up a job, and how it follows from a final record or from assignments. */
import type { JobState } from '../../protocol/model.js';
import type { FinalRecord } from '../../storage/records.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { AbsenceProof } from './absence-proof.js';

/** A job as the key-value store held it at the time of the lookup. */
interface KnownJob {
  state: JobState;
  /** Number of tasks that are done. */
  doneTasks: number;
  /** Number of tasks that are placed on machines. */
  runningTasks: number;
  /** Whether the job has finished, so that its state never changes again. */
  isFinal: boolean;
}

/** Result of looking up a job. */
export type JobLookup =
  | { kind: 'found'; job: KnownJob }
  /** The key-value store held no record of the job at the time of the lookup. */
  | { kind: 'absent'; proof: AbsenceProof }
  /**
   * No conclusive response of the store came in time, or the lookup was refused at once because too
   * many requests waited for checks.
   */
  | { kind: 'unknown' };

/**
 * Result that says neither that the job exists nor that it is absent: returned after a time-out,
 * for example, or at once if the queue of checks is full.
 */
export const UNKNOWN_LOOKUP: JobLookup = { kind: 'unknown' };

/** Returns the result for a job that has finished, from its final record. */
export function finishedJobLookup(record: FinalRecord): JobLookup {
  const doneTasks = record.state === 'done' ? record.tasks : 0;
  return {
    kind: 'found',
    job: { state: record.state, doneTasks, runningTasks: 0, isFinal: true },
  };
}

/** Returns the result for a job that has not finished, from its assignments in the replica. */
export function openJobLookup(replica: StoreReplica, id: string): JobLookup {
  let doneTasks = 0;
  let runningTasks = 0;
  for (const assignment of replica.assignmentsOf(id)) {
    doneTasks += assignment.done;
    runningTasks += assignment.placedCount;
  }
  const state = runningTasks > 0 ? 'running' : 'queued';
  return { kind: 'found', job: { state, doneTasks, runningTasks, isFinal: false } };
}
