/** The state of one other member, and the evidence on it. */

import { MAX_ENDED_INSTANCES, MAX_PROBE_TIMES } from './constants.js';
import type { Suspicion } from './suspicion.js';
import type { MemberState } from './types.js';
import { WitnessReports } from './witness-reports.js';

/** Another member's answer to a probe of this member. */
export interface ProbeAnswer {
  readonly instance: string;
  readonly incarnation: number;
  /** Monotonic time in ms at which the probe was sent; the instance was alive after this time. */
  readonly sentAt: number;
}

/** Another member as this one sees it: its current instance, its state and the evidence on it. */
export class RemoteMember {
  state: MemberState = 'unknown';
  /**
   * The current instance of the member: the process that last answered a probe of this member, late
   * answers of ended processes aside; null: the member has never answered.
   */
  instance: string | null = null;
  incarnation = 0;
  suspicion: Suspicion | null = null;
  /** Monotonic time in ms at which the latest answered probe was sent; null: there is none. */
  reachedAt: number | null = null;
  /** Monotonic time in ms at which the latest failed probe was sent; null: there is none. */
  unreachedAt: number | null = null;
  /** Monotonic time in ms of the last report to others that this member was not reached. */
  lastReportedAt = -Infinity;
  readonly reports = new WitnessReports();
  private readonly endedInstances: string[] = [];
  private probeTimes: number[] = [];

  constructor(readonly name: string) {}

  /**
   * Returns whether an answer came from an instance before the current one: from one that has
   * ended, or from another one to a probe that was sent before the latest probe that the current
   * one answered.
   */
  isOutdated(answer: ProbeAnswer): boolean {
    if (this.endedInstances.includes(answer.instance)) return true;
    const isOther = this.instance !== null && answer.instance !== this.instance;
    return isOther && answer.sentAt < (this.reachedAt ?? -Infinity);
  }

  /** Replaces the current instance, and clears the evidence on the previous one. */
  replaceInstance(instance: string, incarnation: number): void {
    if (this.instance !== null) this.endedInstances.push(this.instance);
    if (this.endedInstances.length > MAX_ENDED_INSTANCES) this.endedInstances.shift();
    this.instance = instance;
    this.incarnation = incarnation;
    this.suspicion = null;
    this.unreachedAt = null;
    this.reports.clear();
  }

  /**
   * Returns whether an instance has certainly ended, because another one of this member answered
   * after it, or answered a probe that was sent at `since` or later.
   */
  hasEnded(instance: string, since: number): boolean {
    if (this.endedInstances.includes(instance)) return true;
    const isOther = this.instance !== null && this.instance !== instance;
    return isOther && (this.reachedAt ?? -Infinity) >= since;
  }

  /** Adds a round-trip time in ms; the oldest is dropped beyond `MAX_PROBE_TIMES`. */
  addProbeTime(roundTripMs: number): void {
    this.probeTimes.push(roundTripMs);
    if (this.probeTimes.length > MAX_PROBE_TIMES) this.probeTimes.shift();
  }

  /** Returns the round-trip times in ms since the last call, and clears them. */
  takeProbeTimes(): number[] {
    const times = this.probeTimes;
    this.probeTimes = [];
    return times;
  }
}
