/**
 * This member's own probes: a ping to the probed member and, if that is not answered in time,
 * requests to other members (helpers) to ping it.
 */

import { INDIRECT_PROBE_HELPERS, MAX_TIMED_OUT_PROBES } from './constants.js';
import type { LocalHealth } from './local-health.js';
import type { ProbeSchedule } from './probe-schedule.js';
import type { DetectorBody } from './messages.js';
import type { ProbeAnswer } from './remote-member.js';

/** Callbacks for the outcome of a probe. */
interface ProbeCallbacks {
  /** `roundTripMs`: null if the answer came through a helper. */
  onReached(member: string, answer: ProbeAnswer, roundTripMs: number | null): void;
  /** `sentAt`: monotonic time in ms at which the direct probe was sent. */
  onUnreached(member: string, sentAt: number): void;
}

/** Dependencies of `Probes`. */
export interface ProbesOptions {
  readonly now: () => number;
  readonly timeoutMs: number;
  readonly localHealth: LocalHealth;
  readonly probeSchedule: ProbeSchedule;
  readonly send: (member: string, body: DetectorBody) => boolean;
  readonly callbacks: ProbeCallbacks;
}

interface Probe {
  readonly member: string;
  /** Monotonic time in ms. */
  readonly sentAt: number;
  /** Monotonic time in ms at which helpers are asked; null: they have been asked. */
  askHelpersAt: number | null;
  /** Monotonic time in ms at which the probe times out. */
  failsAt: number;
  /** Helpers that were asked and have not answered yet. */
  readonly unansweredHelpers: Set<string>;
}

/** This member's pending probes by sequence number, at most one for each member. */
export class Probes {
  private readonly pending = new Map<number, Probe>();
  /** Timed-out probes by sequence number, kept because a late answer still counts. */
  private readonly timedOut = new Map<number, { member: string; sentAt: number }>();
  private sequence = 0;
  /** Numbers of probes that were started, also without a connection, and that failed. */
  readonly counts = { sent: 0, failed: 0 };

  constructor(private readonly options: ProbesOptions) {}

  /** Probes a member, unless a probe of this member is pending. */
  begin(member: string): void {
    if ([...this.pending.values()].some((probe) => probe.member === member)) return;
    const { localHealth, now, send, timeoutMs } = this.options;
    const sequence = ++this.sequence;
    const sentAt = now();
    const directTimeoutMs = localHealth.scaledTimeoutMs(timeoutMs);
    const isSent = send(member, { kind: 'ping', sequence });
    this.counts.sent++;
    this.pending.set(sequence, {
      member,
      sentAt,
      // Helpers are asked at the next tick if there is no connection to the member.
      askHelpersAt: isSent ? sentAt + directTimeoutMs : sentAt,
      failsAt: sentAt + 2 * directTimeoutMs,
      unansweredHelpers: new Set(),
    });
  }

  /** Handles the probed member's answer to the direct ping, in time or late. */
  receiveAck(sequence: number, from: string, instance: string, incarnation: number): void {
    const probe = this.pending.get(sequence) ?? this.timedOut.get(sequence);
    if (probe?.member !== from) return;
    const roundTripMs = this.options.now() - probe.sentAt;
    this.succeed(sequence, { instance, incarnation, sentAt: probe.sentAt }, roundTripMs);
  }

  /** Handles a helper's report whether its ping reached the probed member. */
  receiveIndirectAck(helper: string, body: Extract<DetectorBody, { kind: 'indirectAck' }>): void {
    const { incarnation, instance, isReached, sequence, target } = body;
    const probe = this.pending.get(sequence);
    if (probe?.member !== target || !probe.unansweredHelpers.delete(helper)) return;
    if (isReached) this.succeed(sequence, { instance, incarnation, sentAt: probe.sentAt }, null);
  }

  /** Asks helpers and fails probes whose deadlines have passed. */
  processDeadlines(): void {
    const now = this.options.now();
    for (const [sequence, probe] of this.pending) {
      if (probe.askHelpersAt !== null && now >= probe.askHelpersAt)
        this.askHelpers(sequence, probe);
      if (now >= probe.failsAt) this.fail(sequence, probe);
    }
  }

  /** Extends all deadlines by the time for which this process was paused. */
  extendDeadlines(byMs: number): void {
    for (const probe of this.pending.values()) {
      probe.failsAt += byMs;
      if (probe.askHelpersAt !== null) probe.askHelpersAt += byMs;
    }
  }

  private askHelpers(sequence: number, probe: Probe): void {
    const { probeSchedule, send } = this.options;
    probe.askHelpersAt = null;
    for (const helper of probeSchedule.helpersFor(probe.member, INDIRECT_PROBE_HELPERS)) {
      const isSent = send(helper, { kind: 'indirectPing', sequence, target: probe.member });
      if (isSent) probe.unansweredHelpers.add(helper);
    }
  }

  private succeed(sequence: number, answer: ProbeAnswer, roundTripMs: number | null): void {
    const member = (this.pending.get(sequence) ?? this.timedOut.get(sequence))?.member ?? '';
    const isInTime = this.pending.delete(sequence);
    this.timedOut.delete(sequence);
    if (isInTime) this.options.localHealth.onProbeAnswered();
    this.options.callbacks.onReached(member, answer, roundTripMs);
  }

  private fail(sequence: number, probe: Probe): void {
    const { localHealth, callbacks } = this.options;
    this.pending.delete(sequence);
    this.timedOut.set(sequence, { member: probe.member, sentAt: probe.sentAt });
    const [oldest] = this.timedOut.keys();
    if (this.timedOut.size > MAX_TIMED_OUT_PROBES && oldest !== undefined)
      this.timedOut.delete(oldest);
    this.counts.failed++;
    localHealth.onProbeFailed(probe.unansweredHelpers.size);
    callbacks.onUnreached(probe.member, probe.sentAt);
  }
}
