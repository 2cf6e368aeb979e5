/** Passes requests of users and workers on to peers and waits for their replies. */
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

/** Replies that say for good that there is no such job, or that it can't be accepted. */
const REFUSAL_STATUSES: readonly number[] = [400, 404, 422];

/** A request that every version replies to at once: no job has this id. */
const PROBE: RelayRequest = { operation: 'poll', jobId: '', body: '' };

/** How peers are asked one after the other. */
export interface RelayPolicy {
  /** ms after which the next peer is asked as well. */
  readonly nextPeerDelayMs: number;
  /** ms after which no reply is waited for any more. */
  readonly timeoutMs: number;
  /** Whether a reply may be passed on; otherwise the next peer is asked. */
  readonly isAcceptable: (reply: HttpReply) => boolean;
}

/** Relays requests, and matches peers' replies to those that are pending. */
export class PeerRelay {
  private readonly pendingRequests = new Map<number, (reply: HttpReply | null) => void>();
  private requestCount = 0;
  /** Peers that left a request without a reply, and have not replied since. */
  private readonly unresponsivePeers = new Set<string>();
  /** Unresponsive peers that are being asked whether they reply again. */
  private readonly probedPeers = new Set<string>();

  constructor(private readonly environment: Environment) {}

  /** The peer's reply; null: there is no connection to it, or no reply came in time. */
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

  /**
   * Peers to which a connection is open, without those that have left a request without a reply.
   */
  responsivePeers(): string[] {
    return this.environment.connectedPeers().filter((peer) => !this.unresponsivePeers.has(peer));
  }

  /** Probes unresponsive peers, each once at a time. */
  probeUnresponsivePeers(): void {
    for (const peer of this.unresponsivePeers) {
      if (this.probedPeers.has(peer)) continue;
      this.probedPeers.add(peer);
      void this.request(peer, PROBE).then(() => this.probedPeers.delete(peer));
    }
  }

  /**
   * Asks the connected peers one after the other, unresponsive ones last. The next one is asked
   * as soon as one refuses or is slow: it may be suspended, or behind a cut that drops packets.
   * Null: none gave an acceptable reply in time.
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
   * Handles a peer's reply; one that came too late is ignored. A refusal without a proof counts
   * as no reply: versions before this one may refuse a job that was accepted.
   */
  receiveReply({ id, status, body, isProven }: Extract<PeerMessage, { kind: 'relayed' }>): void {
    const isUnproven = REFUSAL_STATUSES.includes(status) && !isProven;
    this.pendingRequests.get(id)?.(isUnproven ? null : { status, body });
  }
}
