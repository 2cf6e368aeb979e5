/**
 * Handles the messages of peers: notices of changes in the key-value store, relayed requests and
 * their replies, and messages of failure detection.
 */
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

/** Dependencies of the endpoint. */
export interface PeerEndpointOptions {
  readonly replica: StoreReplica;
  readonly peerRelay: PeerRelay;
  readonly userEndpoint: UserEndpoint;
  readonly heartbeatEndpoint: HeartbeatEndpoint;
  /** Null: failure detection is disabled, and its messages are ignored. */
  readonly detection: DetectionService | null;
}

/** The endpoint of peers' messages. */
export class PeerEndpoint {
  constructor(private readonly options: PeerEndpointOptions) {}

  /** Handles a message; `respond` sends a message back to its sender. */
  receive(message: PeerMessage, respond: (message: PeerMessage) => void): void {
    const { detection, peerRelay, replica } = this.options;
    switch (message.kind) {
      case 'storeChanged':
        if (message.cancelled) this.applyCancellation(message.cancelled, message.revision);
        replica.watchSoon(message.revision);
        return;
      case 'relay':
        void this.handleRelayed(message).then((reply) => {
          if (!reply) return;
          const { status, body } = reply;
          const encodedBody = JSON.stringify(body);
          respond({ kind: 'relayed', id: message.id, status, body: encodedBody, isProven: true });
        });
        return;
      case 'relayed':
        peerRelay.receiveReply(message);
        return;
      case 'detector':
      case 'stepDown':
      case 'steppedDown':
        detection?.receive(message, respond);
    }
  }

  /**
   * Applies a cancellation to the replica. The cancellation is final, because peers send it only
   * after its commit. A holder that can't reach the key-value store thus stops the job's tasks now.
   * Otherwise the tasks would stop only after the holder's grace and the worker's lease have expired.
   */
  private applyCancellation({ job, tasks }: CancelledJob, revision: number): void {
    const final: FinalRecord = { state: 'cancelled', tasks };
    this.options.replica.applyOwnChanges([
      { key: finalKey(job), value: final, revision },
      { key: jobKey(job), value: undefined, revision },
    ]);
  }

  /** Serves a relayed request; null: this controller can't answer it, so no reply is sent. */
  private async handleRelayed({ operation, jobId, body }: RelayMessage): Promise<HttpReply | null> {
    const { userEndpoint, heartbeatEndpoint } = this.options;
    if (operation === 'heartbeat') return heartbeatEndpoint.handleRelayed(body);
    return userEndpoint.handleRelayed({ operation, jobId, body });
  }
}
