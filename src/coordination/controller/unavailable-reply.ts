/** Replies that several kinds of requests share. */
import { RETRY_AFTER_S } from '../../constants/api.js';
import type { HttpReply } from '../../transport/http-server.js';

/** The request can't be served now; the sender should try again later. */
export function unavailable(error: string): HttpReply {
  return { status: 503, body: { error }, retryAfterS: RETRY_AFTER_S };
}
