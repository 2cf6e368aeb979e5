/** Passes requests of users and workers on to peers and waits for their replies. */
import { RELAY_TIMEOUT_MS } from '../../constants/controller.js';
import type { Ask, PeerMessage } from '../../protocol/peer-messages.js';
import type { HttpReply } from '../../transport/http-server.js';
import type { Environment } from '../../protocol/environment.js';

/** A request to be relayed. */
export interface RelayRequest {
  readonly ask: Ask;
  /** Id of the job that is asked about, or ''. */
  readonly about: string;
  readonly text: string;
}

/** Replies that say for good that there is no such job, or that it can't be accepted. */
const REFUSALS: readonly number[] = [400, 404, 422];

/** A question that every version replies to at once: no job has this id. */
const PROBE: RelayRequest = { ask: 'poll', about: '', text: '' };

/** How peers are asked one after the other. */
export interface RelayAttempts {
  /** ms after which the next peer is asked as well. */
  readonly hedgeMs: number;
  /** ms after which no reply is waited for any more. */
  readonly limitMs: number;
  /** Whether a reply is good enough; otherwise the next peer is asked. */
  readonly accepts: (reply: HttpReply) => boolean;
}

/** The requests that were relayed and are not answered yet. */
export class PeerRelay {
  private readonly pending = new Map<number, (reply: HttpReply | null) => void>();
  private requestCount = 0;
  /** Peers that left a request without a reply, and have not replied since. */
  private readonly silent = new Set<string>();
  /** Silent peers that are being asked whether they reply again. */
  private readonly probed = new Set<string>();

  constructor(private readonly environment: Environment) {}

  /** The peer's reply; null: there is no connection to it, or no reply came in time. */
  request(peer: string, { ask, about, text }: RelayRequest): Promise<HttpReply | null> {
    const { environment, pending } = this;
    return new Promise((resolve) => {
      const id = ++this.requestCount;
      if (!environment.sendToPeer(peer, { kind: 'relay', id, ask, about, text })) {
        resolve(null);
        return;
      }
      const cancelTimeout = environment.clock.after(RELAY_TIMEOUT_MS, () => {
        pending.delete(id);
        this.silent.add(peer);
        resolve(null);
      });
      pending.set(id, (reply) => {
        cancelTimeout();
        pending.delete(id);
        this.silent.delete(peer);
        resolve(reply);
      });
    });
  }

  /** Peers to which a connection is open, without those that have left a request without a reply. */
  answeringPeers(): string[] {
    return this.environment.connectedPeers().filter((peer) => !this.silent.has(peer));
  }

  /** Asks silent peers whether they reply again, each once at a time. */
  probeSilent(): void {
    for (const peer of this.silent) {
      if (this.probed.has(peer)) continue;
      this.probed.add(peer);
      void this.request(peer, PROBE).then(() => this.probed.delete(peer));
    }
  }

  /**
   * Asks the connected peers one after the other, those that were silent last. The next one is asked
   * as soon as one refuses or is slow: it may be suspended, or behind a cut that drops packets.
   * Null: none gave a good reply in time.
   */
  requestAny(request: RelayRequest, attempts: RelayAttempts): Promise<HttpReply | null> {
    const { clock } = this.environment;
    const { accepts, hedgeMs, limitMs } = attempts;
    const peers = this.environment.connectedPeers();
    peers.sort((a, b) => Number(this.silent.has(a)) - Number(this.silent.has(b)));
    return new Promise((resolve) => {
      let outstanding = 0;
      let finished = false;
      let cancelHedge = (): void => undefined;
      const finish = (reply: HttpReply | null): void => {
        finished = true;
        cancelHedge();
        cancelLimit();
        resolve(reply);
      };
      const askNext = (): void => {
        cancelHedge();
        const peer = peers.shift();
        if (peer === undefined) {
          if (outstanding === 0) finish(null);
          return;
        }
        outstanding++;
        cancelHedge = clock.after(hedgeMs, askNext);
        void this.request(peer, request).then((reply) => {
          outstanding--;
          if (finished) return;
          if (reply && accepts(reply)) finish(reply);
          else askNext();
        });
      };
      const cancelLimit = clock.after(limitMs, () => finish(null));
      askNext();
    });
  }

  /**
   * Handles a peer's reply; one that came too late is ignored. A refusal without a proof counts as no
   * reply: versions before this one may refuse a job that was accepted.
   */
  settle({ id, status, body, isProven }: Extract<PeerMessage, { kind: 'relayed' }>): void {
    const isUnproven = REFUSALS.includes(status) && !isProven;
    this.pending.get(id)?.(isUnproven ? null : { status, body });
  }
}
