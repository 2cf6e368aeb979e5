/** Probes that this member makes on behalf of others. */

import { MAX_DELEGATED_PROBES } from './constants.js';
import type { DetectorBody } from './messages.js';

/** Sequence numbers from here on are those of probes for others. */
const DELEGATED_SEQUENCE_BASE = 2 ** 40;

interface DelegatedProbe {
  readonly requester: string;
  /** The requester's sequence number. */
  readonly sequence: number;
  readonly target: string;
  readonly answerBy: number;
}

/** Dependencies of probes for others. */
export interface DelegatedProbesOptions {
  readonly now: () => number;
  /** ms after which the requester is notified that the target could not be reached. */
  readonly answerWithinMs: number;
  readonly send: (member: string, body: DetectorBody) => boolean;
}

/** Pings targets for others and passes the answers on, in time or as a refusal. */
export class DelegatedProbes {
  private readonly pending = new Map<number, DelegatedProbe>();
  /** Numbers from `HELPED_SEQUENCES` on: they differ from those of this member's own probes. */
  private sequence = 0;

  constructor(private readonly options: DelegatedProbesOptions) {}

  /** Number of probes under way. */
  get size(): number {
    return this.pending.size;
  }

  /** Begins a probe for another member; beyond the bound the request is passed over. */
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

  /** Passes a target's answer on; false: the answer is to none of these probes. */
  receiveAck(sequence: number, from: string, instance: string, incarnation: number): boolean {
    const probe = this.pending.get(sequence);
    if (probe?.target !== from) return false;
    this.pending.delete(sequence);
    this.reply(probe, { isReached: true, instance, incarnation });
    return true;
  }

  /** Tells requesters of targets that did not answer in time. */
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
