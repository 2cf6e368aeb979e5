/** What this member knows of one other member. */

import { MAX_ENDED_INSTANCES, MAX_PROBE_TIMES } from './constants.js';
import type { Suspicion } from './suspicion.js';
import type { MemberState } from './types.js';
import { WitnessReports } from './witness-reports.js';

/** An answer to a probe. */
export interface ProbeAnswer {
  readonly instance: string;
  readonly incarnation: number;
  /** Steady time in ms at which the probe was sent: the member lived after it. */
  readonly sentAt: number;
}

/** One other member: its instance, its state and the evidence on it. */
export class RemoteMember {
  state: MemberState = 'unknown';
  /** The instance that answered the latest probe; null: none ever did. */
  instance: string | null = null;
  incarnation = 0;
  suspicion: Suspicion | null = null;
  /** Sending time of the latest probe that was answered, and of the latest that was not. */
  reachedAt: number | null = null;
  unreachedAt: number | null = null;
  /** Steady time of this member's last report about it to others. */
  lastReportedAt = -Infinity;
  readonly reports = new WitnessReports();
  private readonly endedInstances: string[] = [];
  private probeTimes: number[] = [];

  constructor(readonly name: string) {}

  /** Whether an answer is from before the present instance. */
  isOutdated(answer: ProbeAnswer): boolean {
    if (this.endedInstances.includes(answer.instance)) return true;
    const isOther = this.instance !== null && answer.instance !== this.instance;
    return isOther && answer.sentAt < (this.reachedAt ?? -Infinity);
  }

  /** Another process now answers as this member: what was known of the one before is void. */
  replaceInstance(instance: string, incarnation: number): void {
    if (this.instance !== null) this.endedInstances.push(this.instance);
    if (this.endedInstances.length > MAX_ENDED_INSTANCES) this.endedInstances.shift();
    this.instance = instance;
    this.incarnation = incarnation;
    this.suspicion = null;
    this.unreachedAt = null;
    this.reports.clear();
  }

  /** Whether a process is proven to have ended, because a later one answered as this member. */
  hasEnded(instance: string, since: number): boolean {
    if (this.endedInstances.includes(instance)) return true;
    const isOther = this.instance !== null && this.instance !== instance;
    return isOther && (this.reachedAt ?? -Infinity) >= since;
  }

  /** Keeps a round-trip time in ms; the latest are kept. */
  addProbeTime(roundTripMs: number): void {
    this.probeTimes.push(roundTripMs);
    if (this.probeTimes.length > MAX_PROBE_TIMES) this.probeTimes.shift();
  }

  /** The round-trip times that were not collected yet, in ms. */
  takeProbeTimes(): number[] {
    const times = this.probeTimes;
    this.probeTimes = [];
    return times;
  }
}
