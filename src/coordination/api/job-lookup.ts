/** The result of looking a job up: what is known of it at the moment of asking. */
import type { JobState } from '../../protocol/model.js';
import type { FinalRecord } from '../../storage/records.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { AbsenceProof } from './absence-proof.js';

/** A job as the key-value store holds it at the moment of asking. */
interface KnownJob {
  state: JobState;
  /** Number of tasks that are done. */
  doneTasks: number;
  /** Number of tasks that run. */
  runningTasks: number;
  /** The job has finished: its state never changes again. */
  isFinal: boolean;
}

/** Result of looking a job up. */
export type JobLookup =
  | { kind: 'found'; job: KnownJob }
  /** The key-value store held nothing on it when it was asked. */
  | { kind: 'absent'; proof: AbsenceProof }
  /** The key-value store did not answer in time, or too many requests wait for it. */
  | { kind: 'unknown' };

/** Nothing can be said about the job. */
export const UNKNOWN_LOOKUP: JobLookup = { kind: 'unknown' };

/** A job that has finished, by its final record. */
export function finishedJobLookup(record: FinalRecord): JobLookup {
  const doneTasks = record.state === 'done' ? record.tasks : 0;
  return {
    kind: 'found',
    job: { state: record.state, doneTasks, runningTasks: 0, isFinal: true },
  };
}

/** A job that has not finished, by the assignments that the replica holds of it. */
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
