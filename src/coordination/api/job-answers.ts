/**
 * What the handlers of users' requests share: the result of a job lookup, and the HTTP replies that
 * more than one of them gives.
 */
import { RETRY_AFTER_S } from '../../constants/api.js';
import type { JobState } from '../../protocol/model.js';
import { encodeJobState } from '../../protocol/user-codec.js';
import type { FinalRecord } from '../../storage/records.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { HttpReply } from '../../transport/http-server.js';
import type { AbsenceProof } from './absence-proof.js';

/** A job as the state service holds it at the moment of asking. */
export interface KnownJob {
  state: JobState;
  /** Number of tasks that are done. */
  doneTasks: number;
  /** Number of tasks that run. */
  runningTasks: number;
  /** The job is over: its state never changes again. */
  isFinal: boolean;
}

/** Result of asking for a job. */
export type JobLookup =
  | { kind: 'found'; job: KnownJob }
  /** The state service held nothing on it when it was asked. */
  | { kind: 'absent'; proof: AbsenceProof }
  /** The state service did not answer in time, or too many requests wait for it. */
  | { kind: 'unsure' };

/** Nothing can be said about the job. */
export const UNKNOWN_LOOKUP: JobLookup = { kind: 'unsure' };

/** Called with the ids of the jobs of each commit; `cancelled`: they are over by it. */
export type CommitListener = (jobs: string[], cancelled?: { tasks: number }) => void;

/** A job that is over, by its final record. */
export function finishedJobLookup(record: FinalRecord): JobLookup {
  const doneTasks = record.state === 'done' ? record.tasks : 0;
  return {
    kind: 'found',
    job: { state: record.state, doneTasks, runningTasks: 0, isFinal: true },
  };
}

/** A job that is not over, by the chunks that the replica holds of it. */
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

/** A reply with an error that the user should not repeat the request for. */
export const errorReply = (status: number, error: string): HttpReply => ({
  status,
  body: { error },
});

/** A reply with an error that may be gone when the user asks again. */
export const temporaryError = (status: number, error: string): HttpReply => ({
  status,
  body: { error },
  retryAfterS: RETRY_AFTER_S,
});

/** A reply with the state of a job. */
export const stateReply = (id: string, state: JobState, status = 200): HttpReply => ({
  status,
  body: encodeJobState(id, state),
});

/** The reply for an id that no accepted job can have, by its form. */
export const invalidJobId = (): HttpReply => errorReply(404, 'no such job');

/** The reply for an id that no job had. */
export const noSuchJob = ({ job }: AbsenceProof): HttpReply =>
  errorReply(404, `no such job: ${job}`);

/** The reply until the replica is loaded. */
export const stillStarting = (): HttpReply => temporaryError(503, 'starting');

/** The reply when a lookup had no result. */
export const storeNotResponding = (): HttpReply =>
  temporaryError(503, 'state service does not answer');

/** The reply when it is not known in time whether a change was committed. */
export const notCommittedInTime = (): HttpReply => temporaryError(503, 'not committed in time');
