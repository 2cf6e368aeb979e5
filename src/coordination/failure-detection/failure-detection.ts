/** Connects the failure detector with a controller's peer links, failover policy and records. */

import { FailureDetector, type DetectorCounts } from '@mothbank/failure-detector';
import { PROBE_TIMES_PERIOD_MS, STORE_REACHABLE_MS } from '../../constants/failure-detection.js';
import { decodeDetectorMessage, encodeDetectorMessage } from '../../protocol/detector-codec.js';
import type { SuspicionSettings } from '../../protocol/settings.js';
import type { PeerMessage } from '../../protocol/peer-messages.js';
import type { DetectionService, DetectionServiceOptions } from './detection-service.js';
import { hash } from '../election/rendezvous-hashing.js';
import { shardRole } from '../election/role-election.js';
import type { FailoverPolicy } from '../election/failover-policy.js';
import { ConfirmedFailover } from './confirmed-failover.js';
import { DetectionRecords } from './detection-records.js';
import { StepDownRequests } from './step-down-requests.js';

type SendReply = (message: PeerMessage) => void;

/** Monitors a controller's peers and decides when a role may fail over from one of them. */
export class FailureDetection implements DetectionService {
  readonly policy: FailoverPolicy;
  bytesSent = 0;
  private readonly detector: FailureDetector;
  private readonly stepDownRequests: StepDownRequests;
  private readonly records: DetectionRecords;
  private probeTimesRecordedAt = -Infinity;

  constructor(
    private readonly options: DetectionServiceOptions,
    private readonly suspicion: SuspicionSettings,
  ) {
    const { environment, log } = options;
    this.records = new DetectionRecords(suspicion.historySize, log);
    this.detector = this.createDetector();
    this.stepDownRequests = this.createStepDownRequests();
    this.policy = new ConfirmedFailover({
      detector: this.detector,
      stepDownRequests: this.stepDownRequests,
      clock: environment.clock,
      confirmWithinMs: suspicion.confirmWithinMs,
      onDecision: (decision) => {
        const { clock } = environment;
        const { node } = options;
        this.records.add({ type: 'decision', at: clock.wall(), observer: node, ...decision });
      },
    });
  }

  get counts(): DetectorCounts {
    return this.detector.counts;
  }

  get probeCounts(): { readonly sent: number; readonly failed: number } {
    return this.detector.probeCounts;
  }

  get localHealthScore(): number {
    return this.detector.localHealthScore;
  }

  start(): void {
    this.detector.start();
  }

  stop(): void {
    this.detector.stop();
  }

  receive(message: PeerMessage, sendReply: SendReply): void {
    if (message.kind === 'detector') this.receiveDetector(message.payload, sendReply);
    else if (message.kind === 'stepDown') this.stepDownRequests.onRequest(message, sendReply);
    else if (message.kind === 'steppedDown') this.stepDownRequests.onConfirmation(message);
  }

  /**
   * Returns false while the shard's holder is suspected, for at most `holdNewWorkMs`. During this
   * time the shard keeps its tasks but gets no new ones.
   */
  acceptsNewWork(shard: string): boolean {
    const { environment, node, roles } = this.options;
    const holder = roles().holderOf(shardRole(shard));
    if (holder === null || holder === node) return true;
    const suspectedSince = this.detector.suspectedSince(holder);
    if (suspectedSince === null) return true;
    return environment.clock.now() - suspectedSince >= this.suspicion.holdNewWorkMs;
  }

  recordProbeTimesIfDue(): void {
    const { clock } = this.options.environment;
    if (clock.now() - this.probeTimesRecordedAt < PROBE_TIMES_PERIOD_MS) return;
    this.probeTimesRecordedAt = clock.now();
    const localHealth = this.detector.localHealthScore;
    for (const times of this.detector.takeProbeTimes()) {
      if (times.roundTripsMs.length === 0) continue;
      const observer = this.options.node;
      this.records.add({ type: 'probeTimes', at: clock.wall(), observer, localHealth, ...times });
    }
  }

  export(): string {
    return this.records.export();
  }

  private createDetector(): FailureDetector {
    const { environment, incarnation, members, node, random } = this.options;
    const names = members.map((member) => member.node);
    return new FailureDetector({
      self: node,
      instance: incarnation,
      members: names,
      cluster: String(hash([...names].sort().join(' '))),
      timing: this.suspicion,
      quorum: this.suspicion.quorum,
      clock: environment.clock,
      random,
      transport: {
        send: (peer, message) => {
          const payload = encodeDetectorMessage(message);
          const isSent = environment.sendToPeer(peer, { kind: 'detector', payload });
          if (isSent) this.bytesSent += payload.length;
          return isSent;
        },
      },
      observer: {
        changed: (transition) => {
          this.records.add({ type: 'transition', ...transition });
          this.options.onChanged();
        },
      },
      storeAnswers: () => this.isStoreReachable(),
    });
  }

  private createStepDownRequests(): StepDownRequests {
    const { environment, incarnation, log, members, node } = this.options;
    return new StepDownRequests({
      node,
      incarnation,
      members: new Set(members.map((member) => member.node)),
      clock: environment.clock,
      log,
      send: (peer, message) => environment.sendToPeer(peer, message),
      isStoreReachable: () => this.isStoreReachable(),
      roles: this.options.roles,
      onSteppedDown: () => this.options.onSteppedDown(),
      onConfirmed: () => this.options.onChanged(),
    });
  }

  private isStoreReachable(): boolean {
    const { environment, replica } = this.options;
    return environment.clock.now() - replica.knownCurrentAt < STORE_REACHABLE_MS;
  }

  private receiveDetector(payload: Uint8Array, sendReply: SendReply): void {
    const message = decodeDetectorMessage(payload);
    if (message === null) {
      this.detector.receiveMalformed();
      return;
    }
    this.detector.receive(message, (reply) => {
      const encoded = encodeDetectorMessage(reply);
      this.bytesSent += encoded.length;
      sendReply({ kind: 'detector', payload: encoded });
    });
  }
}
