/** Handles the messages of peers. */
import { finalKey, jobKey } from '../../storage/keys.js';
import type { FinalRecord } from '../../storage/records.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { CancelledJob, PeerMessage } from '../../protocol/peer-messages.js';
import type { HttpReply } from '../../transport/http-server.js';
import type { DetectionService } from '../failure-detection/detection-service.js';
import type { PeerRelay } from './peer-relay.js';
import type { UserEndpoint } from './user-endpoint.js';
import type { HeartbeatEndpoint } from './heartbeat-endpoint.js';

type RelayMessage = Extract<PeerMessage, { kind: 'relay' }>;

/** What the entry works with. */
export interface PeerEndpointOptions {
  readonly replica: StoreReplica;
  readonly relay: PeerRelay;
  readonly userEndpoint: UserEndpoint;
  readonly heartbeatEndpoint: HeartbeatEndpoint;
  /** Null: failure detection is off, and its messages are passed over. */
  readonly detection: DetectionService | null;
}

/** The entry point of peers' messages. */
export class PeerEndpoint {
  constructor(private readonly options: PeerEndpointOptions) {}

  /** Handles a message; `answer` sends one back to its sender. */
  receive(message: PeerMessage, answer: (message: PeerMessage) => void): void {
    const { detection, relay, replica } = this.options;
    switch (message.kind) {
      case 'poke':
        if (message.cancelled) this.applyCancellation(message.cancelled, message.revision);
        replica.pollSoon(message.revision);
        return;
      case 'relay':
        void this.replyTo(message).then((reply) => {
          if (!reply) return;
          const { status, body } = reply;
          const text = JSON.stringify(body);
          answer({ kind: 'relayed', id: message.id, status, body: text, isProven: true });
        });
        return;
      case 'relayed':
        relay.settle(message);
        return;
      case 'detector':
      case 'stepDown':
      case 'steppedDown':
        detection?.receive(message, answer);
    }
  }

  /**
   * Applies a cancellation that a peer had confirmed, so that it is final: an owner that can't reach
   * the state service stops the job's tasks now, long before its grace and their leases are over.
   */
  private applyCancellation({ job, tasks }: CancelledJob, revision: number): void {
    const final: FinalRecord = { state: 'cancelled', tasks };
    this.options.replica.applyOwnChanges([
      { key: finalKey(job), value: final, revision },
      { key: jobKey(job), value: undefined, revision },
    ]);
  }

  /** Null: this node can't answer the relayed request. */
  private async replyTo({ ask, about, text }: RelayMessage): Promise<HttpReply | null> {
    const { userEndpoint, heartbeatEndpoint } = this.options;
    if (ask === 'heartbeat') return heartbeatEndpoint.replyToRelayed(text);
    return userEndpoint.serveRelayed({ ask, about, text });
  }
}
