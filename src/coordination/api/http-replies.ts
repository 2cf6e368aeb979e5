/** HTTP replies that several kinds of requests share. */
import { RETRY_AFTER_S } from '../../constants/api.js';
import type { JobState } from '../../protocol/model.js';
import { encodeJobState } from '../../protocol/user-codec.js';
import type { HttpReply } from '../../transport/http-server.js';
import type { AbsenceProof } from './absence-proof.js';

/** Reply with an error to a request that the sender should not repeat. */
export const errorReply = (status: number, error: string): HttpReply => ({
  status,
  body: { error },
});

/** Reply with an error to a request that may succeed when the sender tries again. */
export const temporaryError = (status: number, error: string): HttpReply => ({
  status,
  body: { error },
  retryAfterS: RETRY_AFTER_S,
});

/** Reply 503 to a request that can't be served now, and may succeed later. */
export const unavailable = (error: string): HttpReply => temporaryError(503, error);

/** Reply with the state of a job. */
export const stateReply = (id: string, state: JobState, status = 200): HttpReply => ({
  status,
  body: encodeJobState(id, state),
});

/** Reply for an id that no accepted job can have, because of its form. */
export const invalidJobId = (): HttpReply => errorReply(404, 'no such job');

/** Reply for an id that no job has or had. */
export const noSuchJob = ({ job }: AbsenceProof): HttpReply =>
  errorReply(404, `no such job: ${job}`);

/** Reply until the replica is loaded. */
export const stillStarting = (): HttpReply => unavailable('starting');

/** Reply when the state of a job could not be looked up in the key-value store. */
export const storeNotResponding = (): HttpReply => unavailable('state service does not answer');

/** Reply when it is not known in time whether a change was committed. */
export const notCommittedInTime = (): HttpReply => unavailable('not committed in time');
