/** The order of machines' heartbeats, and what they and the answers to them prove. */
import type { Heartbeat } from '../../protocol/model.js';
import type { Clock } from '../../transport/clock.js';
import type { FencingTokens } from './fencing-tokens.js';
import type { Machine } from './machine.js';

/** The workers' times: seconds of their lease, and between two of their heartbeats. */
export interface HeartbeatTimes {
  leaseS: number;
  heartbeatIntervalS: number;
}

/** Whether a heartbeat is older than what is known, newer, or newer and of a later agent epoch. */
export type HeartbeatFreshness = 'older' | 'newer' | 'newEpoch';

/** Direct commands are over once their agent epoch has ended, or once a token has fenced them. */
function confirmDirectCalls(machine: Machine, heartbeat: Heartbeat): void {
  const { directCalls } = machine;
  if (!directCalls) return;
  const isFenced = directCalls.fencedBy !== null && heartbeat.fencingToken >= directCalls.fencedBy;
  if (heartbeat.agentEpoch > directCalls.agentEpoch || isFenced) machine.directCalls = null;
}

/**
 * Orders heartbeats, and notes what they prove. A heartbeat shows what was on the machine when it
 * was sent. That the machine hears this holder it shows only by the latest fencing token, which is
 * raised whenever there is doubt; until then nothing new goes there.
 */
export class MachineHeartbeats {
  constructor(
    private readonly times: HeartbeatTimes,
    private readonly fencingTokens: FencingTokens,
    private readonly clock: Clock,
  ) {}

  /**
   * Takes over a heartbeat if it is newer than what is known of its machine. `askedAt`: steady time
   * of the direct call that it answers; null: it came by itself.
   */
  apply(machine: Machine, heartbeat: Heartbeat, askedAt: number | null): HeartbeatFreshness {
    const order =
      heartbeat.agentEpoch - machine.agentEpoch || heartbeat.sequence - machine.sequence;
    const isProof =
      heartbeat.fencingToken >= this.fencingTokens.base + machine.requiredFencingOffset;
    // A machine that is back at once may count anew. Its heartbeats then look like late copies, but
    // a copy can't show a token that was first given out after everything known, nor answer a call.
    const isSurelyNew =
      (isProof && !machine.isAcknowledged) || (askedAt !== null && machine.observedAt <= askedAt);
    if (order <= 0 && !isSurelyNew) {
      this.requireAcknowledgementIfSilent(machine);
      return 'older';
    }
    const hasNewEpoch = machine.agentEpoch > 0 && heartbeat.agentEpoch > machine.agentEpoch;
    this.adopt(machine, heartbeat, isProof);
    if (askedAt === null) machine.heartbeatAt = machine.observedAt;
    confirmDirectCalls(machine, heartbeat);
    // Its lease expired although its heartbeats were answered: perhaps it does not hear us.
    if (hasNewEpoch) this.fencingTokens.requireAcknowledgement(machine);
    return hasNewEpoch ? 'newEpoch' : 'newer';
  }

  /** Where only late copies come for two intervals, the machine may have begun to count anew. */
  private requireAcknowledgementIfSilent(machine: Machine): void {
    const silentMs = this.clock.now() - machine.observedAt;
    if (machine.isAcknowledged && silentMs > 2 * this.times.heartbeatIntervalS * 1000)
      this.fencingTokens.requireAcknowledgement(machine);
  }

  /** `isProof`: the heartbeat shows a token that proves that the machine hears us. */
  private adopt(machine: Machine, heartbeat: Heartbeat, isProof: boolean): void {
    const now = this.clock.now();
    const { base } = this.fencingTokens;
    machine.agentEpoch = heartbeat.agentEpoch;
    machine.sequence = heartbeat.sequence;
    machine.observedAt = now;
    machine.hasShownOurToken = heartbeat.fencingToken >= base + machine.initialFencingOffset;
    if (machine.hasShownOurToken) {
      machine.fencingOffset = Math.max(machine.fencingOffset, heartbeat.fencingToken - base);
    }
    machine.isAcknowledged = isProof;
    if (!isProof) return;
    machine.acknowledgedAt = now;
    machine.unacknowledgedAnswers = 0;
  }

  /** Notes that a heartbeat is answered with 200, which may renew the worker's lease. */
  noteAnswer(machine: Machine, freshness: HeartbeatFreshness): void {
    const now = this.clock.now();
    // An older heartbeat was sent before the newest one came: its answer renews to that at the most.
    const renewedAt = freshness === 'older' ? machine.observedAt : now;
    machine.answeredAt = Math.max(machine.answeredAt, renewedAt);
    if (machine.isAcknowledged) return;
    if (machine.unacknowledgedAnswers++ === 0) machine.unacknowledgedSince = now;
  }

  /**
   * False for a machine that sends heartbeats for a whole lease and never shows that an answer got
   * through. It is no longer answered, so that its lease expires and that proves the end of its tasks.
   */
  mayAnswer(machine: Machine): boolean {
    const { leaseS, heartbeatIntervalS } = this.times;
    if (machine.isAcknowledged) return true;
    if (machine.unacknowledgedAnswers <= Math.ceil(leaseS / heartbeatIntervalS)) return true;
    return this.clock.now() - machine.unacknowledgedSince < leaseS * 1000;
  }
}
