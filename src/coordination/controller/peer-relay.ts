/** Relays requests of users and workers to peers and waits for their replies. */
import { RELAY_TIMEOUT_MS } from '../../constants/controller.js';
import type { RelayOperation, PeerMessage } from '../../protocol/peer-messages.js';
import type { HttpReply } from '../../transport/http-server.js';
import type { Environment } from '../../protocol/environment.js';

/** A request to be relayed. */
export interface RelayRequest {
  readonly operation: RelayOperation;
  /** Id of the job that the request is about, or ''. */
  readonly jobId: string;
  readonly body: string;
}

/**
 * Statuses of replies that refuse a request for good: there is no such job (404), or the job can't
 * be accepted (400, 422).
 */
const REFUSAL_STATUSES: readonly number[] = [400, 404, 422];

/** Request to test whether a peer replies. No job has an empty id, so peers reply at once. */
const PROBE: RelayRequest = { operation: 'poll', jobId: '', body: '' };

/** Rules for relaying a request to several peers. */
export interface RelayPolicy {
  /** Time in ms without a reply after which the request is sent to the next peer as well. */
  readonly nextPeerDelayMs: number;
  /** Time in ms after which the relay fails if no acceptable reply was received. */
  readonly timeoutMs: number;
  /** Returns whether a reply is acceptable; otherwise the request is sent to the next peer. */
  readonly isAcceptable: (reply: HttpReply) => boolean;
}

/** Relays requests to peers, and matches their replies to the pending requests. */
export class PeerRelay {
  private readonly pendingRequests = new Map<number, (reply: HttpReply | null) => void>();
  private requestCount = 0;
  /** Peers to which a request has timed out, and which have replied to no request since. */
  private readonly unresponsivePeers = new Set<string>();
  /** Unresponsive peers with a pending `PROBE`. */
  private readonly probedPeers = new Set<string>();

  constructor(private readonly environment: Environment) {}

  /**
   * Relays a request to one peer and returns its reply; null: there is no connection, the request
   * timed out, or the reply has one of `REFUSAL_STATUSES` without `isProven`.
   */
  request(peer: string, { operation, jobId, body }: RelayRequest): Promise<HttpReply | null> {
    const { environment, pendingRequests } = this;
    return new Promise((resolve) => {
      const id = ++this.requestCount;
      if (
        !environment.sendToPeer(peer, {
          kind: 'relay',
          id,
          operation,
          jobId,
          body,
        })
      ) {
        resolve(null);
        return;
      }
      const cancelTimeout = environment.clock.after(RELAY_TIMEOUT_MS, () => {
        pendingRequests.delete(id);
        this.unresponsivePeers.add(peer);
        resolve(null);
      });
      pendingRequests.set(id, (reply) => {
        cancelTimeout();
        pendingRequests.delete(id);
        this.unresponsivePeers.delete(peer);
        resolve(reply);
      });
    });
  }

  /** Returns the peers to which a connection is open, except the unresponsive ones. */
  responsivePeers(): string[] {
    return this.environment.connectedPeers().filter((peer) => !this.unresponsivePeers.has(peer));
  }

  /** Sends a `PROBE` to each unresponsive peer that has none pending. */
  probeUnresponsivePeers(): void {
    for (const peer of this.unresponsivePeers) {
      if (this.probedPeers.has(peer)) continue;
      this.probedPeers.add(peer);
      void this.request(peer, PROBE).then(() => this.probedPeers.delete(peer));
    }
  }

  /**
   * Relays a request to the connected peers one after the other, unresponsive ones last. The
   * request is sent to the next peer when one gives no acceptable reply, or none within
   * `nextPeerDelayMs`, because that peer's process may be suspended, or a network fault may drop
   * the packets. Returns null if no acceptable reply was received within `timeoutMs`.
   */
  requestFromAny(request: RelayRequest, policy: RelayPolicy): Promise<HttpReply | null> {
    const { clock } = this.environment;
    const { isAcceptable, nextPeerDelayMs, timeoutMs } = policy;
    const peers = this.environment.connectedPeers();
    peers.sort(
      (a, b) => Number(this.unresponsivePeers.has(a)) - Number(this.unresponsivePeers.has(b)),
    );
    return new Promise((resolve) => {
      let pendingCount = 0;
      let isFinished = false;
      let cancelNextAttempt = (): void => undefined;
      const finish = (reply: HttpReply | null): void => {
        isFinished = true;
        cancelNextAttempt();
        cancelTimeout();
        resolve(reply);
      };
      const tryNextPeer = (): void => {
        cancelNextAttempt();
        const peer = peers.shift();
        if (peer === undefined) {
          if (pendingCount === 0) finish(null);
          return;
        }
        pendingCount++;
        cancelNextAttempt = clock.after(nextPeerDelayMs, tryNextPeer);
        void this.request(peer, request).then((reply) => {
          pendingCount--;
          if (isFinished) return;
          if (reply && isAcceptable(reply)) finish(reply);
          else tryNextPeer();
        });
      };
      const cancelTimeout = clock.after(timeoutMs, () => finish(null));
      tryNextPeer();
    });
  }

  /**
   * Passes a peer's reply to the pending request, and ignores it if the request has timed out. A
   * reply with one of `REFUSAL_STATUSES` and without `isProven` counts as no reply, because peers
   * of older versions may refuse a job that was accepted.
   */
  receiveReply({ id, status, body, isProven }: Extract<PeerMessage, { kind: 'relayed' }>): void {
    const isUnproven = REFUSAL_STATUSES.includes(status) && !isProven;
    this.pendingRequests.get(id)?.(isUnproven ? null : { status, body });
  }
}
