/** The states of the other members, and their changes by probes and reports. */

import { REPORT_VALIDITY_INTERVALS } from './constants.js';
import type { DetectorCounts } from './history.js';
import { RemoteMember, type ProbeAnswer } from './remote-member.js';
import { Suspicion } from './suspicion.js';
import type {
  DetectorClock,
  DetectorObserver,
  DetectorTiming,
  MemberState,
  TransitionReason,
} from './types.js';
import { verdictOf, type Verdict } from './verdict.js';

/** Dependencies of the member table. */
export interface MemberTableOptions {
  readonly self: string;
  readonly others: readonly string[];
  readonly quorum: number;
  readonly timing: DetectorTiming;
  readonly clock: DetectorClock;
  readonly observer: DetectorObserver;
  readonly storeAnswers: () => boolean;
  readonly counts: DetectorCounts;
}

/** A report that a witness could not reach a member. */
export interface WitnessReport {
  readonly witness: string;
  readonly incarnation: number;
  readonly storeAnswers: boolean;
}

/** The states of all members but this one. */
export class MemberTable {
  private readonly members: ReadonlyMap<string, RemoteMember>;

  constructor(private readonly options: MemberTableOptions) {
    this.members = new Map(options.others.map((name) => [name, new RemoteMember(name)]));
  }

  /** Returns a member by its name; null: no other member has this name. */
  get(name: string): RemoteMember | null {
    return this.members.get(name) ?? null;
  }

  /** Returns all other members. */
  all(): IterableIterator<RemoteMember> {
    return this.members.values();
  }

  /** Records an answered probe; false: ignored, as the answer came from an earlier instance. */
  recordReached(member: RemoteMember, answer: ProbeAnswer): boolean {
    if (member.isOutdated(answer)) return false;
    const isOtherInstance = answer.instance !== member.instance;
    if (isOtherInstance) {
      const isFirst = member.instance === null;
      member.replaceInstance(answer.instance, answer.incarnation);
      member.reachedAt = answer.sentAt;
      this.changeState(member, 'alive', isFirst ? 'answered' : 'new instance');
      return true;
    }
    member.reachedAt = Math.max(member.reachedAt ?? -Infinity, answer.sentAt);
    this.applyIncarnation(member, answer.incarnation);
    return true;
  }

  /** Records a member's incarnation. A newer one refutes suspicions and failures of older ones. */
  applyIncarnation(member: RemoteMember, incarnation: number): void {
    if (incarnation <= member.incarnation) return;
    member.incarnation = incarnation;
    member.reports.removeRefuted(incarnation);
    if (member.state !== 'suspect' && member.state !== 'failed') return;
    const { counts } = this.options;
    if (member.state === 'suspect') counts.refutations++;
    else counts.falseFailures++;
    member.suspicion = null;
    this.changeState(member, 'alive', 'refuted');
  }

  /** Records that this member's own probe failed, and suspects the probed member. */
  recordUnreached(member: RemoteMember, sentAt: number): void {
    member.unreachedAt = Math.max(member.unreachedAt ?? -Infinity, sentAt);
    if (member.state === 'unknown') return;
    this.suspect(member, this.options.self, 'probe failed');
  }

  /**
   * Records that another member's probe failed. Returns whether the report starts a suspicion, or is the
   * first one by which this witness confirms it.
   */
  recordReport(member: RemoteMember, report: WitnessReport): boolean {
    const { witness, incarnation, storeAnswers } = report;
    const at = this.options.clock.now();
    member.reports.add({ kind: 'witness', witness, at, storeAnswers }, incarnation);
    return this.suspect(member, witness, 'reported by a witness');
  }

  /** Marks the members as failed whose suspicion has timed out. */
  failTimedOutSuspicions(): void {
    const now = this.options.clock.now();
    for (const member of this.members.values()) {
      if (member.state !== 'suspect' || !member.suspicion) continue;
      if (now >= member.suspicion.endsAt) this.fail(member);
    }
  }

  /**
   * Returns the verdict on an instance of a member. An answered probe makes the instance reachable only
   * if it was sent at `since`, a monotonic time in ms, or later.
   */
  verdict(member: RemoteMember, instance: string, since: number): Verdict {
    const { quorum, self, storeAnswers } = this.options;
    const isReplaced = member.hasEnded(instance, since);
    const isCurrent = member.instance === instance;
    const newerInstance = isReplaced
      ? { instance: member.instance ?? '', at: member.reachedAt ?? since }
      : null;
    return verdictOf({
      self,
      quorum,
      isSupported: member.state !== 'unknown',
      newerInstance,
      reachedAt: isCurrent ? member.reachedAt : null,
      unreachedAt: member.unreachedAt,
      reports: isCurrent ? this.validReportsOf(member) : [],
      since,
      storeAnswers: storeAnswers(),
    });
  }

  /** Returns the reports that have not expired, without those of witnesses that have failed. */
  private validReportsOf(
    member: RemoteMember,
  ): ReturnType<RemoteMember['reports']['receivedSince']> {
    const { clock, timing } = this.options;
    const validFrom = clock.now() - REPORT_VALIDITY_INTERVALS * timing.probeIntervalMs;
    return member.reports
      .receivedSince(validFrom)
      .filter(({ witness }) => this.get(witness)?.state !== 'failed');
  }

  private suspect(member: RemoteMember, witness: string, reason: TransitionReason): boolean {
    if (member.state === 'failed') return false;
    if (member.suspicion === null) {
      member.suspicion = this.newSuspicion(member);
      this.options.counts.suspicions++;
      this.changeState(member, 'suspect', reason);
    }
    return member.suspicion.confirm(witness);
  }

  private newSuspicion(member: RemoteMember): Suspicion {
    const { clock, quorum, timing } = this.options;
    return new Suspicion(member.incarnation, clock.now(), {
      leastMs: timing.suspicionLeastMs,
      mostMs: timing.suspicionMostMs,
      expectedConfirmations: quorum - 1,
    });
  }

  private fail(member: RemoteMember): void {
    const { clock, counts } = this.options;
    counts.failures++;
    counts.detectionMs += clock.now() - (member.reachedAt ?? clock.now());
    this.changeState(member, 'failed', 'suspicion timed out');
  }

  private changeState(member: RemoteMember, to: MemberState, reason: TransitionReason): void {
    const { clock, observer, self } = this.options;
    const from = member.state;
    member.state = to;
    const { reachedAt } = member;
    observer.changed({
      at: clock.wall(),
      observer: self,
      member: member.name,
      instance: member.instance ?? '',
      incarnation: member.incarnation,
      from,
      to,
      reason,
      evidence: this.verdict(member, member.instance ?? '', clock.now()).evidence,
      silentMs: reachedAt === null ? null : clock.now() - reachedAt,
    });
  }
}
