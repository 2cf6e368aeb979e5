/** The failure detector of one member: SWIM's probes and gossip with Lifeguard's extensions. */

import { HELPER_TIMEOUT_FRACTION, MEMBERS_MAX, TICKS_PER_INTERVAL } from './constants.js';
import { DelegatedProbes } from './delegated-probes.js';
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
import { Gossip } from './gossip.js';
import type { FailureDetectorOptions, MemberState } from './types.js';
import { quorumOf, type Verdict } from './verdict.js';

/** Round-trip times, in ms, of the direct probes of one member. */
export interface ProbeTimes {
  readonly member: string;
  readonly roundTripsMs: readonly number[];
}

/** Answers a received message with `message`, over the connection on which the former came. */
export type Reply = (message: DetectorMessage) => void;

/**
 * Monitors the other members. A process counts as ended, rather than failed, only after a later process
 * of the same member has answered.
 */
export class FailureDetector {
  /** Numbers of events since this detector was created. */
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
    if (members.length > MEMBERS_MAX)
      throw new RangeError(`members: expected ${MEMBERS_MAX} names at the most`);
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
      localHealth: this.localHealth,
      probeSchedule: this.probeSchedule,
      send,
      callbacks: {
        onReached: (member, answer, roundTripMs) => this.onReached(member, answer, roundTripMs),
        onUnreached: (member, sentAt) => this.onUnreached(member, sentAt),
      },
    });
    // A random delay, so that members that start together do not all probe at the same times.
    this.nextProbeAt = clock.now() + random() * timing.probeIntervalMs;
  }

  /** Starts probing. */
  start(): void {
    this.scheduleTick();
  }

  /** Stops all probing. */
  stop(): void {
    this.cancelTick?.();
    this.cancelTick = null;
  }

  /** Returns the state of a member as this member sees it. */
  stateOf(member: string): MemberState {
    return this.memberTable.get(member)?.state ?? 'unknown';
  }

  /** Returns the monotonic time in ms since which a member is suspected; null: it is not suspected. */
  suspectedSince(member: string): number | null {
    return this.memberTable.get(member)?.suspicion?.startedAt ?? null;
  }

  /**
   * Returns the verdict on an instance; null: no such other member. An answered probe makes the instance
   * reachable only if it was sent at `since`, a monotonic time in ms, or later.
   */
  verdict(member: string, instance: string, since: number): Verdict | null {
    const remoteMember = this.memberTable.get(member);
    return remoteMember ? this.memberTable.verdict(remoteMember, instance, since) : null;
  }

  /** Probes a member at once, unless a probe of it is pending already. */
  probe(member: string): void {
    if (this.memberTable.get(member)) this.probes.begin(member);
  }

  /** Local health score; 0: this member's own observations are reliable. */
  get localHealthScore(): number {
    return this.localHealth.score;
  }

  /** Numbers of probes that were started, also without a connection, and that failed. */
  get probeCounts(): { readonly sent: number; readonly failed: number } {
    return this.probes.counts;
  }

  /** Returns the round-trip times of the direct probes since the last call, by probed member. */
  takeProbeTimes(): ProbeTimes[] {
    return [...this.memberTable.all()].map((member) => ({
      member: member.name,
      roundTripsMs: member.takeProbeTimes(),
    }));
  }

  /** Counts a received message that could not be decoded. */
  receiveMalformed(): void {
    this.countDropped('malformed');
  }

  /** Handles a message. Invalid messages and updates are counted and dropped. */
  receive(message: DetectorMessage, reply: Reply): void {
    const { cluster, self } = this.options;
    const dropReason = dropReasonOf(message, cluster, this.memberNames);
    if (dropReason) {
      this.countDropped(dropReason);
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
      detectorOptions: this.options,
      memberNames: this.memberNames,
      memberTable: this.memberTable,
      localHealth: this.localHealth,
      onDropped: (reason) => this.countDropped(reason),
      // Every member probes the suspected one itself, so that one slow witness is not enough
      // for a failure.
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
    // Answers that arrived while this process was paused are not read yet, so that its probes must not
    // time out now.
    if (this.localHealth.onTick(latenessMs)) this.probes.extendDeadlines(latenessMs);
    this.probes.processDeadlines();
    this.delegatedProbes.refuseTimedOut();
    this.memberTable.failTimedOutSuspicions();
    if (now >= this.nextProbeAt) {
      this.nextProbeAt = now + timing.probeIntervalMs;
      const member = this.probeSchedule.nextMember();
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
