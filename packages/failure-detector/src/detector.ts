/** The failure detector of one member: SWIM's probes and rumours, with Lifeguard's additions. */

import { HELPER_TIMEOUT_FRACTION, MEMBERS_MAX, TICKS_PER_INTERVAL } from './constants.js';
import { DelegatedProbes } from './helped-probes.js';
import { zeroCounts, type DetectorCounts } from './history.js';
import { LocalHealth } from './local-health.js';
import { MemberTable } from './member-table.js';
import {
  dropReasonOf,
  type DetectorBody,
  type DetectorMessage,
  type DropReason,
} from './messages.js';
import { ProbeSchedule } from './probe-schedule.js';
import { Probes } from './probes.js';
import type { ProbeAnswer } from './remote-member.js';
import { Gossip } from './rumours.js';
import type { FailureDetectorOptions, MemberState } from './types.js';
import { quorumOf, type Verdict } from './verdict.js';

/** Round-trip times of one member's direct probes, in ms. */
export interface ProbeTimes {
  readonly member: string;
  readonly roundTripsMs: readonly number[];
}

/** Answers with which a message is sent back over the connection that it came on. */
export type Reply = (message: DetectorMessage) => void;

/** Monitors the other members. It reports a process as ended only if a later one proves it. */
export class FailureDetector {
  /** Events since the start. */
  readonly counts: DetectorCounts = zeroCounts();
  private readonly localHealth = new LocalHealth();
  private readonly memberNames: ReadonlySet<string>;
  private readonly memberTable: MemberTable;
  private readonly probeSchedule: ProbeSchedule;
  private readonly probes: Probes;
  private readonly delegatedProbes: DelegatedProbes;
  private readonly gossip: Gossip;
  private cancelTick: (() => void) | null = null;
  private tickDueAt = 0;
  private nextProbeAt: number;

  constructor(private readonly options: FailureDetectorOptions) {
    const { clock, members, random, self, timing } = options;
    if (members.length > MEMBERS_MAX) throw new RangeError(`more than ${MEMBERS_MAX} members`);
    const others = members.filter((member) => member !== self);
    const quorum = options.quorum ?? quorumOf(members.length);
    const send = (member: string, body: DetectorBody): boolean => this.send(member, body);
    const now = (): number => clock.now();
    this.memberNames = new Set(members);
    this.memberTable = new MemberTable({ ...options, others, quorum, counts: this.counts });
    this.probeSchedule = new ProbeSchedule(others, random);
    this.gossip = this.createGossip();
    const answerWithinMs = timing.probeTimeoutMs * HELPER_TIMEOUT_FRACTION;
    this.delegatedProbes = new DelegatedProbes({ now, answerWithinMs, send });
    this.probes = new Probes({
      now,
      timeoutMs: timing.probeTimeoutMs,
      health: this.localHealth,
      schedule: this.probeSchedule,
      send,
      results: {
        onReached: (member, answer, roundTripMs) => this.onReached(member, answer, roundTripMs),
        onUnreached: (member, sentAt) => this.onUnreached(member, sentAt),
      },
    });
    // Members that start together must not probe in lockstep.
    this.nextProbeAt = clock.now() + random() * timing.probeIntervalMs;
  }

  /** Begins to probe. */
  start(): void {
    this.scheduleTick();
  }

  /** Stops all probing. */
  stop(): void {
    this.cancelTick?.();
    this.cancelTick = null;
  }

  /** The state of a member in the view of this one. */
  stateOf(member: string): MemberState {
    return this.memberTable.get(member)?.state ?? 'unknown';
  }

  /** Steady time in ms since which a member is suspected; null: it is not. */
  suspectedSince(member: string): number | null {
    return this.memberTable.get(member)?.suspicion?.startedAt ?? null;
  }

  /** The verdict on an instance by the evidence; proofs of life count from `since` on. */
  verdict(member: string, instance: string, since: number): Verdict | null {
    const known = this.memberTable.get(member);
    return known ? this.memberTable.verdict(known, instance, since) : null;
  }

  /** Probes a member now, out of its turn. */
  probe(member: string): void {
    if (this.memberTable.get(member)) this.probes.begin(member);
  }

  /** Local health score: how far this member trusts itself; 0: fully. */
  get localHealthScore(): number {
    return this.localHealth.score;
  }

  /** Probes that were sent and that failed. */
  get probeCounts(): { readonly sent: number; readonly failed: number } {
    return this.probes.counts;
  }

  /** Round-trip times since the last call, which clears them. */
  takeProbeTimes(): ProbeTimes[] {
    return [...this.memberTable.all()].map((member) => ({
      member: member.name,
      roundTripsMs: member.takeProbeTimes(),
    }));
  }

  /** A message that could not be read came. */
  receiveMalformed(): void {
    this.countDropped('malformed');
  }

  /** Handles a message; what can't be used is counted and passed over. */
  receive(message: DetectorMessage, reply: Reply): void {
    const { cluster, self } = this.options;
    const objection = dropReasonOf(message, cluster, this.memberNames);
    if (objection) {
      this.countDropped(objection);
      return;
    }
    if (message.from === self) return;
    this.counts.messagesReceived++;
    for (const update of message.updates) this.gossip.apply(update);
    this.handleBody(message, reply);
  }

  private handleBody({ body, from, instance, incarnation }: DetectorMessage, reply: Reply): void {
    const { sequence } = body;
    switch (body.kind) {
      case 'ping':
        this.counts.messagesSent++;
        reply(this.createMessage(from, { kind: 'ack', sequence }));
        return;
      case 'ack':
        if (this.delegatedProbes.receiveAck(sequence, from, instance, incarnation)) return;
        this.probes.receiveAck(sequence, from, instance, incarnation);
        return;
      case 'indirectPing':
        if (body.target === this.options.self) return;
        this.delegatedProbes.begin(from, sequence, body.target);
        return;
      case 'indirectAck':
        this.probes.receiveIndirectAck(from, body);
    }
  }

  private createGossip(): Gossip {
    return new Gossip({
      detector: this.options,
      names: this.memberNames,
      table: this.memberTable,
      health: this.localHealth,
      onDropped: (reason) => this.countDropped(reason),
      // Each member probes for itself: one slow witness cannot make a member fail.
      onReported: (member) => this.probes.begin(member),
    });
  }

  private scheduleTick(): void {
    const { clock, timing } = this.options;
    const delayMs = timing.probeIntervalMs / TICKS_PER_INTERVAL;
    this.tickDueAt = clock.now() + delayMs;
    this.cancelTick = clock.after(delayMs, () => this.tick());
  }

  private tick(): void {
    const { clock, timing } = this.options;
    const now = clock.now();
    const latenessMs = now - this.tickDueAt;
    // What came while this process was paused is unread yet: its silence was this member's own.
    if (this.localHealth.onTick(latenessMs)) this.probes.extendDeadlines(latenessMs);
    this.probes.processDeadlines();
    this.delegatedProbes.refuseTimedOut();
    this.memberTable.failTimedOutSuspicions();
    if (now >= this.nextProbeAt) {
      this.nextProbeAt = now + timing.probeIntervalMs;
      const member = this.probeSchedule.next();
      if (member !== null) this.probes.begin(member);
    }
    this.scheduleTick();
  }

  private onReached(name: string, answer: ProbeAnswer, roundTripMs: number | null): void {
    const member = this.memberTable.get(name);
    if (!member) return;
    if (!this.memberTable.recordReached(member, answer)) {
      this.countDropped('other instance');
      return;
    }
    if (roundTripMs !== null) member.addProbeTime(roundTripMs);
    this.gossip.onProbeAnswered(name, answer.instance, answer.incarnation);
  }

  private onUnreached(name: string, sentAt: number): void {
    const member = this.memberTable.get(name);
    if (!member) return;
    this.memberTable.recordUnreached(member, sentAt);
    this.gossip.reportUnreached(member);
  }

  private countDropped(reason: DropReason): void {
    this.counts.dropped[reason]++;
  }

  private send(member: string, body: DetectorBody): boolean {
    const isSent = this.options.transport.send(member, this.createMessage(member, body));
    if (isSent) this.counts.messagesSent++;
    return isSent;
  }

  private createMessage(receiver: string, body: DetectorBody): DetectorMessage {
    const { cluster, instance, self } = this.options;
    const updates = this.gossip.takeUpdatesFor(receiver);
    const { incarnation } = this.gossip;
    return { cluster, from: self, instance, incarnation, updates, body };
  }
}
