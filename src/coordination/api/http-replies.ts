/** The HTTP replies that more than one kind of request gets. */
import { RETRY_AFTER_S } from '../../constants/api.js';
import type { JobState } from '../../protocol/model.js';
import { encodeJobState } from '../../protocol/user-codec.js';
import type { HttpReply } from '../../transport/http-server.js';
import type { AbsenceProof } from './absence-proof.js';

/** A reply with an error that the sender should not repeat the request for. */
export const errorReply = (status: number, error: string): HttpReply => ({
  status,
  body: { error },
});

/** A reply with an error that may be gone when the sender tries again. */
export const temporaryError = (status: number, error: string): HttpReply => ({
  status,
  body: { error },
  retryAfterS: RETRY_AFTER_S,
});

/** The request can't be served now; the sender should try again later. */
export const unavailable = (error: string): HttpReply => temporaryError(503, error);

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
export const stillStarting = (): HttpReply => unavailable('starting');

/** The reply when a lookup had no result. */
export const storeNotResponding = (): HttpReply => unavailable('state service does not answer');

/** The reply when it is not known in time whether a change was committed. */
export const notCommittedInTime = (): HttpReply => unavailable('not committed in time');
