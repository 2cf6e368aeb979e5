/** Serves users' requests, and relays those that this controller can't serve to its peers. */
import {
  USER_POLL_TIMEOUT_MS,
  RETRY_AFTER_S,
  USER_CHANGE_TIMEOUT_MS,
} from '../../constants/api.js';
import {
  POLL_DEADLINE_MS,
  CHANGE_RELAY_TIMING,
  SHORT_OF_WRITES_RELAY_TIMING,
  POLL_RELAY_TIMING,
  CHANGE_DEADLINE_MS,
} from '../../constants/controller.js';
import type { RateLimiter } from '../../storage/rate-limiter.js';
import type { StoreReachability } from '../../storage/store-reachability.js';
import type { RelayOperation } from '../../protocol/peer-messages.js';
import type { HttpReply } from '../../transport/http-server.js';
import type { UserRequests } from '../api/user-requests.js';
import type { Environment } from '../../protocol/environment.js';
import type { PeerRelay, RelayPolicy } from './peer-relay.js';
import { unavailable } from '../api/http-replies.js';

/** A user's request. */
export interface UserRequest {
  readonly operation: Exclude<RelayOperation, 'heartbeat'>;
  /** Id of the job that the request is about; '' in a submission. */
  readonly jobId: string;
  /** The body; null: there is none, or it was longer than the limit. */
  readonly body: string | null;
}

/** Dependencies of the endpoint. */
export interface UserEndpointOptions {
  readonly environment: Environment;
  readonly userRequests: UserRequests;
  readonly reachability: StoreReachability;
  readonly limiter: RateLimiter;
  readonly peerRelay: PeerRelay;
  /** Whether this is the only controller. */
  readonly isSingle: boolean;
}

/** The endpoint of users' requests. */
export class UserEndpoint {
  constructor(private readonly options: UserEndpointOptions) {}

  /**
   * Whether users' requests can be answered by this controller, or through it by a peer. During an
   * outage of the key-value store that affects all controllers the value stays true, since a
   * controller that was taken out of service gets requests again only with a delay. The value is
   * false if only this controller can't reach the store and its peers, since the others can answer
   * its users.
   */
  get isReady(): boolean {
    const { isSingle, reachability, peerRelay, userRequests } = this.options;
    if (peerRelay.responsivePeers().length > 0) return true;
    return userRequests.isReady && (isSingle || reachability.isReachable);
  }

  /**
   * Serves a user's request; replies 503 if there is no reply by the deadline. A reply about a job
   * that comes after the time that users wait (2 s or 5 s) is also replaced by 503, because this
   * process may have been suspended while other controllers gave newer replies.
   */
  async handle(request: UserRequest): Promise<HttpReply> {
    const { clock } = this.options.environment;
    const startedAt = clock.now();
    const isPoll = request.operation === 'poll';
    const reply = await this.withinDeadline(
      isPoll ? POLL_DEADLINE_MS : CHANGE_DEADLINE_MS,
      this.relayOrHandleLocally(request),
    );
    const isOutdated =
      clock.now() - startedAt > (isPoll ? USER_POLL_TIMEOUT_MS : USER_CHANGE_TIMEOUT_MS);
    return isOutdated && !isTemporary(reply) ? unavailable('too late') : reply;
  }

  /** Serves a request in this controller, without relaying it to peers. */
  handleLocally({ operation, jobId, body }: UserRequest): Promise<HttpReply> {
    const { userRequests } = this.options;
    switch (operation) {
      case 'submit':
        return userRequests.submit(body);
      case 'poll':
        return userRequests.poll(jobId);
      case 'cancel':
        return userRequests.cancel(jobId);
    }
  }

  /**
   * Serves a request that a peer relayed. While the key-value store is unreachable, submissions and
   * cancellations are refused at once, so that the peer can try another controller.
   */
  async handleRelayed(request: UserRequest): Promise<HttpReply> {
    const { reachability } = this.options;
    if (request.operation !== 'poll' && !reachability.isReachable) return storeUnreachable();
    return this.handleLocally(request);
  }

  /** Returns the reply, or 503 if there is none by the deadline. */
  private withinDeadline(deadlineMs: number, reply: Promise<HttpReply>): Promise<HttpReply> {
    return new Promise((resolve, reject) => {
      const { clock } = this.options.environment;
      const cancel = clock.after(deadlineMs, () => resolve(unavailable('not known in time')));
      reply.then(resolve, reject).finally(cancel);
    });
  }

  /**
   * Serves a request. While this controller is starting or can't reach the key-value store, it
   * relays the request to its peers first, since one of them may reach the store.
   */
  private async relayOrHandleLocally(request: UserRequest): Promise<HttpReply> {
    const { limiter, reachability, userRequests } = this.options;
    if (!userRequests.isReady || !reachability.isReachable) {
      const timing = request.operation === 'poll' ? POLL_RELAY_TIMING : CHANGE_RELAY_TIMING;
      const reply = await this.relayToPeers(request, {
        ...timing,
        isAcceptable: (reply) => !isTemporary(reply),
      });
      if (reply) return reply;
      // Without the store no change can be committed, so its user would only wait for a time-out.
      if (userRequests.isReady && request.operation !== 'poll') {
        return storeUnreachable();
      }
    }
    // A controller that is short of writes, usually the leader, relays submissions to a peer. Its
    // own decisions take precedence within its limit of writes, and a submission would wait for
    // them.
    if (request.operation === 'submit' && userRequests.isReady && limiter.supply === 'short') {
      const isAcceptable = ({ status }: HttpReply): boolean => status !== 503;
      const reply = await this.relayToPeers(request, {
        ...SHORT_OF_WRITES_RELAY_TIMING,
        isAcceptable,
      });
      if (reply) return isTemporary(reply) ? { ...reply, retryAfterS: RETRY_AFTER_S } : reply;
    }
    return this.handleLocally(request);
  }

  private relayToPeers(
    { operation, jobId, body }: UserRequest,
    policy: RelayPolicy,
  ): Promise<HttpReply | null> {
    return this.options.peerRelay.requestFromAny({ operation, jobId, body: body ?? '' }, policy);
  }
}

const storeUnreachable = (): HttpReply => unavailable('state service out of reach');

/** Returns whether a reply contains nothing about the job, and only asks the user to try again. */
function isTemporary({ status }: HttpReply): boolean {
  return status === 429 || status >= 500;
}
