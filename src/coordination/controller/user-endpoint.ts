/** Serves users' requests: here, or through a peer where this controller can't. */
import {
  USER_POLL_TIMEOUT_MS,
  RETRY_AFTER_S,
  USER_CHANGE_TIMEOUT_MS,
} from '../../constants/api.js';
import {
  POLL_DEADLINE_MS,
  CHANGE_RELAY_TIMING,
  COMMIT_RELAY_TIMING,
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

/** What the endpoint works with. */
export interface UserEndpointOptions {
  readonly environment: Environment;
  readonly userRequests: UserRequests;
  readonly reachability: StoreReachability;
  readonly limiter: RateLimiter;
  readonly peerRelay: PeerRelay;
  /** There are no other controllers. */
  readonly isAlone: boolean;
}

/** The endpoint of users' requests. */
export class UserEndpoint {
  constructor(private readonly options: UserEndpointOptions) {}

  /**
   * Whether users' requests can be answered here, or by a peer through this controller. In an
   * outage that all controllers share it stays true, since one taken out of service is only let
   * back in late. A controller that alone has lost the store and its peers would only keep users
   * from those that can answer.
   */
  get isReady(): boolean {
    const { isAlone, reachability, peerRelay, userRequests } = this.options;
    if (peerRelay.responsivePeers().length > 0) return true;
    return userRequests.isReady && (isAlone || reachability.isReachable);
  }

  /**
   * Serves a user, in the time that users wait. A reply that took longer is not sent: this process
   * may have been suspended meanwhile, and other controllers may have given newer replies.
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

  /** Serves a request by this controller alone. */
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
   * Serves a peer's request. What can't be decided now is refused at once: the peer may try
   * another.
   */
  async handleRelayed(request: UserRequest): Promise<HttpReply> {
    const { reachability } = this.options;
    if (request.operation !== 'poll' && !reachability.isReachable) return storeUnreachable();
    return this.handleLocally(request);
  }

  /** The reply, or 503 after the deadline: a user is answered, not left waiting. */
  private withinDeadline(deadlineMs: number, reply: Promise<HttpReply>): Promise<HttpReply> {
    return new Promise((resolve, reject) => {
      const { clock } = this.options.environment;
      const cancel = clock.after(deadlineMs, () => resolve(unavailable('not known in time')));
      reply.then(resolve, reject).finally(cancel);
    });
  }

  /**
   * A controller that can't reach the key-value store asks its peers, since one of them may reach
   * it.
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
      // What can't be decided here could only be held until its user gives up.
      if (userRequests.isReady && request.operation !== 'poll') {
        return storeUnreachable();
      }
    }
    // A controller that is short of writes, usually the leader, has a peer commit: its decisions
    // take precedence in what it may write, and a submission would wait behind them.
    if (request.operation === 'submit' && userRequests.isReady && limiter.supply === 'short') {
      const isAcceptable = ({ status }: HttpReply): boolean => status !== 503;
      const reply = await this.relayToPeers(request, {
        ...COMMIT_RELAY_TIMING,
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

/** A reply that says nothing of the job, only that the user should ask again. */
function isTemporary({ status }: HttpReply): boolean {
  return status === 429 || status >= 500;
}
