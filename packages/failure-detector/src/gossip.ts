/** Gossip: the handling of received updates, and the choice of updates for outgoing messages. */

import { REPORT_REPEAT_INTERVALS, MAX_UPDATES_PER_MESSAGE } from './constants.js';
import { Dissemination } from './dissemination.js';
import type { LocalHealth } from './local-health.js';
import type { MemberTable } from './member-table.js';
import type { DropReason, MemberUpdate } from './messages.js';
import type { RemoteMember } from './remote-member.js';
import type { FailureDetectorOptions } from './types.js';

/** Dependencies of `Gossip`. */
export interface GossipOptions {
  readonly detectorOptions: FailureDetectorOptions;
  readonly memberNames: ReadonlySet<string>;
  readonly memberTable: MemberTable;
  readonly localHealth: LocalHealth;
  readonly onDropped: (reason: DropReason) => void;
  /** Called when the report of a witness starts or confirms a suspicion of the member. */
  readonly onReported: (member: string) => void;
}

/** Applies received updates to the member table, and queues those that others have to receive. */
export class Gossip {
  private readonly dissemination: Dissemination;
  private readonly self: string;
  private readonly instance: string;
  /** This member's incarnation, which increases with each refutation. */
  private ownIncarnation = 0;

  constructor(private readonly options: GossipOptions) {
    const { instance, members, self } = options.detectorOptions;
    this.dissemination = new Dissemination(members.length);
    this.self = self;
    this.instance = instance;
  }

  /** This member's incarnation. */
  get incarnation(): number {
    return this.ownIncarnation;
  }

  /** Applies an update; invalid ones are reported to `onDropped`. */
  apply(update: MemberUpdate): void {
    if (update.member === this.self) {
      this.refute(update);
      return;
    }
    const member = this.options.memberTable.get(update.member);
    const dropReason = member ? this.dropReasonOf(update, member) : 'unknown member';
    if (!member || dropReason) this.options.onDropped(dropReason ?? 'unknown member');
    else if (update.state === 'alive') this.applyAlive(update, member);
    else this.applySuspicion(update, member);
  }

  /**
   * Removes the queued updates that a member's answer to a probe supersedes: those about another
   * instance of the member or about a lower incarnation than the answer's.
   */
  onProbeAnswered(member: string, instance: string, incarnation: number): void {
    this.dissemination.removeSuperseded(member, instance, incarnation);
  }

  /**
   * Queues a report that this member could not reach another one, unless its last report on that member
   * is less than `REPORT_REPEAT_INTERVALS` probe intervals old.
   */
  reportUnreached(member: RemoteMember): void {
    const { clock, timing } = this.options.detectorOptions;
    const { incarnation, instance } = member;
    if (instance === null) return;
    if (clock.now() - member.lastReportedAt < REPORT_REPEAT_INTERVALS * timing.probeIntervalMs)
      return;
    member.lastReportedAt = clock.now();
    this.dissemination.add(this.createReport(member.name, instance, incarnation));
  }

  /**
   * Returns the updates of the next message. If the receiver is suspected, an update about this is
   * always among them, so that the receiver can refute the suspicion.
   */
  takeUpdatesFor(receiver: string): MemberUpdate[] {
    const updates = this.dissemination.takeUpdatesFor(receiver);
    const member = this.options.memberTable.get(receiver);
    if (!member?.suspicion || member.instance === null) return updates;
    if (updates.some((update) => update.member === receiver)) return updates;
    const { incarnation } = member.suspicion;
    const suspicion = this.createReport(receiver, member.instance, incarnation);
    return [suspicion, ...updates.slice(0, MAX_UPDATES_PER_MESSAGE - 1)];
  }

  private createReport(member: string, instance: string, incarnation: number): MemberUpdate {
    const storeAnswers = this.options.detectorOptions.storeAnswers();
    return { member, instance, incarnation, state: 'suspect', witness: this.self, storeAnswers };
  }

  private dropReasonOf(update: MemberUpdate, member: RemoteMember): DropReason | null {
    // A new instance is accepted only by its own answer to a probe, because an update about another
    // instance does not show whether that instance is older or newer.
    if (update.instance !== member.instance) return 'other instance';
    if (update.incarnation < member.incarnation) return 'old incarnation';
    const { witness } = update;
    const isWitness = this.options.memberNames.has(witness) && witness !== member.name;
    if (update.state === 'suspect' && !isWitness) return 'no witness';
    return null;
  }

  private applyAlive(update: MemberUpdate, member: RemoteMember): void {
    if (update.incarnation <= member.incarnation) return;
    this.options.memberTable.applyIncarnation(member, update.incarnation);
    this.dissemination.removeSuperseded(member.name, update.instance, update.incarnation);
    this.dissemination.add(update);
  }

  private applySuspicion(update: MemberUpdate, member: RemoteMember): void {
    if (update.witness === this.self) return;
    if (!this.options.memberTable.recordReport(member, update)) return;
    this.dissemination.add(update);
    this.options.onReported(member.name);
  }

  /** Refutes a suspicion of this member by an update with a higher incarnation. */
  private refute(update: MemberUpdate): void {
    if (update.state !== 'suspect' || update.instance !== this.instance) return;
    if (update.incarnation < this.ownIncarnation) return;
    this.ownIncarnation = update.incarnation + 1;
    this.options.localHealth.onSuspected();
    this.dissemination.add({
      member: this.self,
      instance: this.instance,
      incarnation: this.ownIncarnation,
      state: 'alive',
      witness: this.self,
      storeAnswers: this.options.detectorOptions.storeAnswers(),
    });
  }
}
