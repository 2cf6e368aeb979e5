/** Serves users' requests: here, or through a peer where this node can't. */
import { POLL_WAIT_MS, RETRY_AFTER_S, SUBMIT_WAIT_MS } from '../../constants/api.js';
import {
  POLL_ANSWER_MS,
  RELAYED_CHANGE_MS,
  RELAYED_COMMIT_MS,
  RELAYED_POLL_MS,
  SUBMIT_ANSWER_MS,
} from '../../constants/controller.js';
import type { RateLimiter } from '../../storage/rate-limiter.js';
import type { StoreReachability } from '../../storage/store-reachability.js';
import type { Ask } from '../../protocol/peer-messages.js';
import type { HttpReply } from '../../transport/http-server.js';
import type { UserRequests } from '../api/user-requests.js';
import type { Environment } from '../../protocol/environment.js';
import type { PeerRelay, RelayAttempts } from './peer-relay.js';
import { unavailable } from './unavailable-reply.js';

/** A user's request. */
export interface UserRequest {
  readonly ask: Exclude<Ask, 'heartbeat'>;
  /** Id of the job that is asked about; '' in a submission. */
  readonly about: string;
  /** The body; null: there is none, or it was longer than the limit. */
  readonly text: string | null;
}

/** What the entry works with. */
export interface UserEndpointOptions {
  readonly environment: Environment;
  readonly userRequests: UserRequests;
  readonly reachability: StoreReachability;
  readonly limiter: RateLimiter;
  readonly relay: PeerRelay;
  /** There are no other controllers. */
  readonly isAlone: boolean;
}

/** The entry point of users' requests. */
export class UserEndpoint {
  constructor(private readonly options: UserEndpointOptions) {}

  /**
   * Whether users' requests can be answered here, or through this node by a peer. In an outage that
   * all nodes share it stays true, since a node taken out is only let back in late. A node that has
   * lost the state service and its peers alone would only keep its users from those that can answer.
   */
  get ready(): boolean {
    const { isAlone, reachability, relay, userRequests } = this.options;
    if (relay.answeringPeers().length > 0) return true;
    return userRequests.ready && (isAlone || reachability.isReachable);
  }

  /**
   * Serves a user, in the time that users wait. A reply that took longer is not sent: this process
   * may have been suspended meanwhile, and other nodes may have given newer replies.
   */
  async serve(request: UserRequest): Promise<HttpReply> {
    const { clock } = this.options.environment;
    const startedAt = clock.now();
    const isPoll = request.ask === 'poll';
    const reply = await this.within(
      isPoll ? POLL_ANSWER_MS : SUBMIT_ANSWER_MS,
      this.findReply(request),
    );
    const isOutdated = clock.now() - startedAt > (isPoll ? POLL_WAIT_MS : SUBMIT_WAIT_MS);
    return isOutdated && !isTemporary(reply) ? unavailable('too late') : reply;
  }

  /** Serves a request by this node alone. */
  serveLocally({ ask, about, text }: UserRequest): Promise<HttpReply> {
    const { userRequests } = this.options;
    switch (ask) {
      case 'submit':
        return userRequests.submit(text);
      case 'poll':
        return userRequests.poll(about);
      case 'cancel':
        return userRequests.cancel(about);
    }
  }

  /** Serves a peer's request. What can't be decided now is told at once: the peer may ask another. */
  async serveRelayed(request: UserRequest): Promise<HttpReply> {
    const { reachability } = this.options;
    if (request.ask !== 'poll' && !reachability.isReachable) return outOfReach();
    return this.serveLocally(request);
  }

  /** The reply, or that there is none in time: what is given up is told, not left open. */
  private within(limitMs: number, reply: Promise<HttpReply>): Promise<HttpReply> {
    return new Promise((resolve, reject) => {
      const { clock } = this.options.environment;
      const cancel = clock.after(limitMs, () => resolve(unavailable('not known in time')));
      reply.then(resolve, reject).finally(cancel);
    });
  }

  /** A node that can't reach the state service asks its peers, since one of them may reach it. */
  private async findReply(request: UserRequest): Promise<HttpReply> {
    const { limiter, reachability, userRequests } = this.options;
    if (!userRequests.ready || !reachability.isReachable) {
      const times = request.ask === 'poll' ? RELAYED_POLL_MS : RELAYED_CHANGE_MS;
      const reply = await this.relay(request, { ...times, accepts: (one) => !isTemporary(one) });
      if (reply) return reply;
      // What can't be decided here could only be held until its user gives up.
      if (userRequests.ready && request.ask !== 'poll') {
        return outOfReach();
      }
    }
    // A node that is short of writes, usually the leader's, has a peer commit: decisions take
    // precedence in what it may write, and a submission would wait behind them.
    if (request.ask === 'submit' && userRequests.ready && limiter.supply === 'short') {
      const accepts = ({ status }: HttpReply): boolean => status !== 503;
      const reply = await this.relay(request, { ...RELAYED_COMMIT_MS, accepts });
      if (reply) return isTemporary(reply) ? { ...reply, retryAfterS: RETRY_AFTER_S } : reply;
    }
    return this.serveLocally(request);
  }

  private relay(
    { ask, about, text }: UserRequest,
    attempts: RelayAttempts,
  ): Promise<HttpReply | null> {
    return this.options.relay.requestAny({ ask, about, text: text ?? '' }, attempts);
  }
}

const outOfReach = (): HttpReply => unavailable('state service out of reach');

/** A reply that says nothing of the job, only that the user should ask again. */
function isTemporary({ status }: HttpReply): boolean {
  return status === 429 || status >= 500;
}
