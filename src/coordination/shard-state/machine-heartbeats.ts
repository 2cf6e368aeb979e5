/** Orders the heartbeats of machines and tracks which machines receive the answers to them. */
import type { Command, Heartbeat } from '../../protocol/model.js';
import type { Clock } from '../../transport/clock.js';
import type { FencingTokens } from './fencing-tokens.js';
import type { Machine } from './machine.js';

/** The length of a worker's lease and the interval of its heartbeats, in seconds. */
export interface HeartbeatTimes {
  leaseS: number;
  heartbeatIntervalS: number;
}

/**
 * Whether a heartbeat is older than the newest one of its machine, newer, or newer and of a later
 * worker epoch.
 */
export type HeartbeatFreshness = 'older' | 'newer' | 'newEpoch';

/**
 * Clears a machine's unconfirmed direct call if the heartbeat shows that the call's worker epoch
 * has ended or that a token has fenced the call.
 */
function clearEndedCall(machine: Machine, heartbeat: Heartbeat): void {
  const { unconfirmedCall } = machine;
  if (!unconfirmedCall) return;
  const isFenced =
    unconfirmedCall.fencedBy !== null && heartbeat.fencingToken >= unconfirmedCall.fencedBy;
  if (heartbeat.workerEpoch > unconfirmedCall.workerEpoch || isFenced)
    machine.unconfirmedCall = null;
}

/**
 * Clears a machine's unconfirmed answer if the worker can no longer receive it. A worker waits for
 * the answer to a heartbeat before it sends the next one on its own. In between it may answer direct
 * calls, which does not show whether it has received the answer.
 */
function clearEndedAnswer(machine: Machine, heartbeat: Heartbeat, isOwn: boolean): void {
  const { unconfirmedAnswer } = machine;
  if (!unconfirmedAnswer) return;
  const isDropped =
    heartbeat.workerEpoch > unconfirmedAnswer.workerEpoch ||
    heartbeat.fencingToken > unconfirmedAnswer.fencingToken;
  if (isOwn || isDropped) machine.unconfirmedAnswer = null;
}

/**
 * Orders heartbeats and acknowledges machines. A heartbeat lists the tasks that were on the machine
 * when it was sent. It proves that the machine receives this holder's answers only if it shows the
 * required fencing token. The required token is raised whenever answers may have been lost, and
 * until a heartbeat shows it no new tasks are placed on the machine.
 */
export class MachineHeartbeats {
  constructor(
    private readonly times: HeartbeatTimes,
    private readonly fencingTokens: FencingTokens,
    private readonly clock: Clock,
  ) {}

  /**
   * Applies a heartbeat if it is newer than the newest one of its machine. `callSentAt`: steady
   * time of the direct call that the heartbeat answers; null: the worker sent it on its own.
   */
  apply(machine: Machine, heartbeat: Heartbeat, callSentAt: number | null): HeartbeatFreshness {
    const order =
      heartbeat.workerEpoch - machine.workerEpoch || heartbeat.sequence - machine.sequence;
    const acknowledgesMachine =
      heartbeat.fencingToken >= this.fencingTokens.base + machine.requiredFencingOffset;
    // A machine that restarted at once may number its heartbeats from 1 again, so that they look
    // like late duplicates. A duplicate can neither show a token that was issued after the newest
    // heartbeat, nor answer a call that was made after it.
    const isProvenNewer =
      (acknowledgesMachine && !machine.isAcknowledged) ||
      (callSentAt !== null && machine.observedAt <= callSentAt);
    if (order <= 0 && !isProvenNewer) {
      this.requireAcknowledgementIfSilent(machine);
      return 'older';
    }
    const hasNewEpoch = machine.workerEpoch > 0 && heartbeat.workerEpoch > machine.workerEpoch;
    this.storeHeartbeat(machine, heartbeat, acknowledgesMachine);
    if (callSentAt === null) machine.heartbeatAt = machine.observedAt;
    clearEndedCall(machine, heartbeat);
    clearEndedAnswer(machine, heartbeat, callSentAt === null);
    // The worker's lease expired although its heartbeats were answered, so answers may be lost.
    if (hasNewEpoch) this.fencingTokens.requireAcknowledgement(machine);
    return hasNewEpoch ? 'newEpoch' : 'newer';
  }

  /**
   * Requires an acknowledgement if only older heartbeats have arrived for two heartbeat intervals,
   * because the machine may have restarted and may number its heartbeats from 1 again.
   */
  private requireAcknowledgementIfSilent(machine: Machine): void {
    const silentMs = this.clock.now() - machine.observedAt;
    if (machine.isAcknowledged && silentMs > 2 * this.times.heartbeatIntervalS * 1000)
      this.fencingTokens.requireAcknowledgement(machine);
  }

  /** Stores a newer heartbeat. `acknowledgesMachine`: the heartbeat acknowledges the machine. */
  private storeHeartbeat(
    machine: Machine,
    heartbeat: Heartbeat,
    acknowledgesMachine: boolean,
  ): void {
    const now = this.clock.now();
    const { base } = this.fencingTokens;
    machine.workerEpoch = heartbeat.workerEpoch;
    machine.sequence = heartbeat.sequence;
    machine.observedAt = now;
    machine.hasShownTokenOfEntry = heartbeat.fencingToken >= base + machine.initialFencingOffset;
    if (machine.hasShownTokenOfEntry) {
      machine.fencingOffset = Math.max(machine.fencingOffset, heartbeat.fencingToken - base);
    }
    machine.isAcknowledged = acknowledgesMachine;
    if (!acknowledgesMachine) return;
    machine.acknowledgedAt = now;
    machine.unacknowledgedAnswers = 0;
  }

  /** Records that a heartbeat is answered with 200, which may renew the worker's lease. */
  recordAnswer(machine: Machine, freshness: HeartbeatFreshness): void {
    const now = this.clock.now();
    // An older heartbeat was sent before the newest one arrived, so the lease that its answer
    // renews starts no later than that arrival.
    const renewedAt = freshness === 'older' ? machine.observedAt : now;
    machine.answeredAt = Math.max(machine.answeredAt, renewedAt);
    if (machine.isAcknowledged) return;
    if (machine.unacknowledgedAnswers++ === 0) machine.unacknowledgedSince = now;
  }

  /**
   * Records the starts in the answer to the newest heartbeat. They may be carried out until the
   * worker sends its next heartbeat on its own.
   */
  recordStarts(machine: Machine, commands: readonly Command[]): void {
    const starts = commands.filter(({ op }) => op === 'start');
    if (starts.length === 0) return;
    machine.unconfirmedAnswer = {
      workerEpoch: machine.workerEpoch,
      fencingToken: this.fencingTokens.tokenOf(machine),
      attempts: new Set(starts.map(({ attempt }) => attempt)),
    };
  }

  /**
   * Whether the machine's heartbeats may be answered. Once the machine has been answered for a
   * whole lease without being acknowledged, it is no longer answered, so that its lease expires.
   * The expiry proves that its tasks have ended.
   */
  mayAnswer(machine: Machine): boolean {
    const { leaseS, heartbeatIntervalS } = this.times;
    if (machine.isAcknowledged) return true;
    if (machine.unacknowledgedAnswers <= Math.ceil(leaseS / heartbeatIntervalS)) return true;
    return this.clock.now() - machine.unacknowledgedSince < leaseS * 1000;
  }
}
