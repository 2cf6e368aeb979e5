/** Serves users' requests: here, or through a peer where this node can't. */
import { POLL_WAIT_MS, RETRY_AFTER_S, SUBMIT_WAIT_MS } from '../../constants.js';
import type { RateLimiter } from '../../storage/rate-limiter.js';
import type { StoreReachability } from '../../storage/store-reachability.js';
import type { Ask } from '../../protocol/peer-messages.js';
import type { HttpReply } from '../../transport/http-server.js';
import type { UserRequests } from '../user-requests.js';
import type { Environment } from './environment.js';
import type { PeerRelay } from './peer-relay.js';
import { unavailable } from './replies.js';

/** A user's request. */
export interface UserRequest {
  readonly ask: Exclude<Ask, 'report'>;
  /** Id of the job that is asked about; '' in a submission. */
  readonly about: string;
  /** The body; null: there is none, or it was longer than the limit. */
  readonly text: string | null;
}

/** What the entry works with. */
export interface UserEntryOptions {
  readonly environment: Environment;
  readonly userRequests: UserRequests;
  readonly reachability: StoreReachability;
  readonly limiter: RateLimiter;
  readonly relay: PeerRelay;
}

/** The entry point of users' requests. */
export class UserEntry {
  constructor(private readonly options: UserEntryOptions) {}

  /** Whether users' requests can be answered here, or through this node by a peer. */
  get ready(): boolean {
    const { environment, userRequests } = this.options;
    return userRequests.ready || environment.connectedPeers().length > 0;
  }

  /**
   * Serves a user. A reply that took longer than users wait is not sent: this process may have been
   * suspended meanwhile, and other nodes may have given newer replies.
   */
  async serve(request: UserRequest): Promise<HttpReply> {
    const { clock } = this.options.environment;
    const startedAt = clock.now();
    const reply = await this.findReply(request);
    const waitMs = request.ask === 'poll' ? POLL_WAIT_MS : SUBMIT_WAIT_MS;
    const outdated = clock.now() - startedAt > waitMs;
    if (!outdated || reply.status >= 400) return reply;
    return unavailable('too late');
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

  /** A node that can't reach the state service asks its peers, since one of them may reach it. */
  private async findReply(request: UserRequest): Promise<HttpReply> {
    const { environment, limiter, reachability, userRequests } = this.options;
    if (!userRequests.ready || !reachability.reachable) {
      for (const peer of environment.connectedPeers()) {
        const reply = await this.relayTo(peer, request);
        if (reply && reply.status !== 503) return reply;
      }
      if (!userRequests.ready || request.ask !== 'poll') {
        return unavailable('state service out of reach');
      }
    }
    // A node that is short of writes, usually the leader's, has a peer commit: decisions take
    // precedence in what it may write, and a submission would wait behind them.
    if (request.ask === 'submit' && limiter.supply === 'short') {
      const [peer] = environment.connectedPeers();
      if (peer !== undefined) return submissionReply(await this.relayTo(peer, request));
    }
    return this.serveLocally(request);
  }

  private relayTo(peer: string, { ask, about, text }: UserRequest): Promise<HttpReply | null> {
    return this.options.relay.request(peer, { ask, about, text: text ?? '' });
  }
}

/** What a user is told of a submission that was relayed; null: the peer did not reply. */
function submissionReply(reply: HttpReply | null): HttpReply {
  if (!reply) return unavailable('no answer in time');
  return reply.status < 429 ? reply : { ...reply, retryAfterS: RETRY_AFTER_S };
}
