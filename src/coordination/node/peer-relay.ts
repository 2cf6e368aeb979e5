/** Passes requests of users and workers on to peers and waits for their replies. */
import { RELAY_TIMEOUT_MS } from '../../constants.js';
import type { Ask, PeerMessage } from '../../protocol/peer-messages.js';
import type { HttpReply } from '../../transport/http-server.js';
import type { Environment } from './environment.js';

/** A request to be relayed. */
export interface RelayRequest {
  readonly ask: Ask;
  /** Id of the job that is asked about, or ''. */
  readonly about: string;
  readonly text: string;
}

/** The requests that were relayed and are not answered yet. */
export class PeerRelay {
  private readonly pending = new Map<number, (reply: HttpReply) => void>();
  private requestCount = 0;

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
        resolve(null);
      });
      pending.set(id, (reply) => {
        cancelTimeout();
        pending.delete(id);
        resolve(reply);
      });
    });
  }

  /** Handles a peer's reply; one that came too late is ignored. */
  settle({ id, status, body }: Extract<PeerMessage, { kind: 'relayed' }>): void {
    this.pending.get(id)?.({ status, body });
  }
}
