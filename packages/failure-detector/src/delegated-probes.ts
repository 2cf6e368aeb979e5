/**
 * Probes that this member sends on behalf of other members: a requester asks this member to ping a
 * target that did not answer the requester's own ping.
 */

import { MAX_DELEGATED_PROBES } from './constants.js';
import type { DetectorBody } from './messages.js';

/** Sequence numbers above this one belong to probes for others, lower ones to own probes. */
const DELEGATED_SEQUENCE_BASE = 2 ** 40;

interface DelegatedProbe {
  readonly requester: string;
  /** Sequence number that the requester has given its own probe. */
  readonly sequence: number;
  readonly target: string;
  /**
   * Monotonic time in ms at which this member reports to the requester that the target was not
   * reached, if the target has not answered the ping by then.
   */
  readonly answerBy: number;
}

/** Dependencies of `DelegatedProbes`. */
export interface DelegatedProbesOptions {
  readonly now: () => number;
  /**
   * Time in ms for the target to answer the ping. After it, this member reports to the requester
   * that the target was not reached.
   */
  readonly answerWithinMs: number;
  readonly send: (member: string, body: DetectorBody) => boolean;
}

/**
 * Pings targets for other members and reports to these requesters whether the target answered the
 * ping in time.
 */
export class DelegatedProbes {
  private readonly pending = new Map<number, DelegatedProbe>();
  /** Number of probes that were begun; added to `DELEGATED_SEQUENCE_BASE` for a sequence number. */
  private sequence = 0;

  constructor(private readonly options: DelegatedProbesOptions) {}

  /** Number of probes that wait for the target's answer. */
  get size(): number {
    return this.pending.size;
  }

  /** Probes a target for another member, unless `MAX_DELEGATED_PROBES` are under way. */
  begin(requester: string, sequence: number, target: string): void {
    if (this.pending.size >= MAX_DELEGATED_PROBES) return;
    const { answerWithinMs, now, send } = this.options;
    const ownSequence = this.nextSequence();
    this.pending.set(ownSequence, {
      requester,
      sequence,
      target,
      answerBy: now() + answerWithinMs,
    });
    if (!send(target, { kind: 'ping', sequence: ownSequence })) this.refuse(ownSequence);
  }

  /**
   * Handles an answer to a ping. If a pending delegated probe has this sequence number and target,
   * its requester is sent the report that the target was reached; false: there is no such probe.
   */
  receiveAck(sequence: number, from: string, instance: string, incarnation: number): boolean {
    const probe = this.pending.get(sequence);
    if (probe?.target !== from) return false;
    this.pending.delete(sequence);
    this.reply(probe, { isReached: true, instance, incarnation });
    return true;
  }

  /** Reports to the requesters of timed-out probes that the target was not reached. */
  refuseTimedOut(): void {
    const now = this.options.now();
    for (const [sequence, probe] of this.pending) {
      if (now >= probe.answerBy) this.refuse(sequence);
    }
  }

  private nextSequence(): number {
    this.sequence++;
    return DELEGATED_SEQUENCE_BASE + this.sequence;
  }

  private refuse(sequence: number): void {
    const probe = this.pending.get(sequence);
    this.pending.delete(sequence);
    if (probe) this.reply(probe, { isReached: false, instance: '-', incarnation: 0 });
  }

  private reply(
    { requester, sequence, target }: DelegatedProbe,
    answer: { isReached: boolean; instance: string; incarnation: number },
  ): void {
    this.options.send(requester, { kind: 'indirectAck', sequence, target, ...answer });
  }
}
