/** Gossip about members: what is received, and what is piggybacked on this member's messages. */

import { REPORT_REPEAT_INTERVALS, MAX_UPDATES_PER_MESSAGE } from './constants.js';
import { Dissemination } from './dissemination.js';
import type { LocalHealth } from './local-health.js';
import type { MemberTable } from './member-table.js';
import type { DropReason, MemberUpdate } from './messages.js';
import type { RemoteMember } from './remote-member.js';
import type { FailureDetectorOptions } from './types.js';

/** Dependencies of the handling of rumours. */
export interface GossipOptions {
  readonly detector: FailureDetectorOptions;
  readonly names: ReadonlySet<string>;
  readonly table: MemberTable;
  readonly health: LocalHealth;
  readonly onDropped: (reason: DropReason) => void;
  /** A member was reported by a witness for the first time: this member probes it itself. */
  readonly onReported: (member: string) => void;
}

/** Applies rumours to the table and chooses those to pass on. */
export class Gossip {
  private readonly dissemination: Dissemination;
  private readonly self: string;
  private readonly instance: string;
  /** This member's incarnation: grows with each refutation. */
  private ownIncarnation = 0;

  constructor(private readonly options: GossipOptions) {
    const { instance, members, self } = options.detector;
    this.dissemination = new Dissemination(members.length);
    this.self = self;
    this.instance = instance;
  }

  /** This member's incarnation. */
  get incarnation(): number {
    return this.ownIncarnation;
  }

  /** Applies a rumour; what can't be used is counted and passed over. */
  apply(update: MemberUpdate): void {
    if (update.member === this.self) {
      this.refute(update);
      return;
    }
    const member = this.options.table.get(update.member);
    const objection = member ? this.dropReasonOf(update, member) : 'unknown member';
    if (!member || objection) this.options.onDropped(objection ?? 'unknown member');
    else if (update.state === 'alive') this.applyAlive(update, member);
    else this.applySuspicion(update, member);
  }

  /** A probe was answered: older rumours are not passed on any more. */
  onProbeAnswered(member: string, instance: string, incarnation: number): void {
    this.dissemination.removeSuperseded(member, instance, incarnation);
  }

  /** Tells others that this member could not reach another, again after a while. */
  reportUnreached(member: RemoteMember): void {
    const { clock, timing } = this.options.detector;
    const { incarnation, instance } = member;
    if (instance === null) return;
    if (clock.now() - member.lastReportedAt < REPORT_REPEAT_INTERVALS * timing.probeIntervalMs)
      return;
    member.lastReportedAt = clock.now();
    this.dissemination.add(this.createReport(member.name, instance, incarnation));
  }

  /** The rumours of the next message; a suspected receiver always hears of it, so that it can refute. */
  takeUpdatesFor(receiver: string): MemberUpdate[] {
    const updates = this.dissemination.takeUpdatesFor(receiver);
    const member = this.options.table.get(receiver);
    if (!member?.suspicion || member.instance === null) return updates;
    if (updates.some((update) => update.member === receiver)) return updates;
    const { incarnation } = member.suspicion;
    const suspicion = this.createReport(receiver, member.instance, incarnation);
    return [suspicion, ...updates.slice(0, MAX_UPDATES_PER_MESSAGE - 1)];
  }

  private createReport(member: string, instance: string, incarnation: number): MemberUpdate {
    const storeAnswers = this.options.detector.storeAnswers();
    return { member, instance, incarnation, state: 'suspect', witness: this.self, storeAnswers };
  }

  private dropReasonOf(update: MemberUpdate, member: RemoteMember): DropReason | null {
    // An instance is only learned from its own answers: a rumour about another may be older or newer.
    if (update.instance !== member.instance) return 'other instance';
    if (update.incarnation < member.incarnation) return 'old incarnation';
    const { witness } = update;
    const isWitness = this.options.names.has(witness) && witness !== member.name;
    if (update.state === 'suspect' && !isWitness) return 'no witness';
    return null;
  }

  private applyAlive(update: MemberUpdate, member: RemoteMember): void {
    if (update.incarnation <= member.incarnation) return;
    this.options.table.applyIncarnation(member, update.incarnation);
    this.dissemination.removeSuperseded(member.name, update.instance, update.incarnation);
    this.dissemination.add(update);
  }

  private applySuspicion(update: MemberUpdate, member: RemoteMember): void {
    if (update.witness === this.self) return;
    if (!this.options.table.recordReport(member, update)) return;
    this.dissemination.add(update);
    this.options.onReported(member.name);
  }

  /** This member is suspected: it refutes that, under a higher incarnation. */
  private refute(update: MemberUpdate): void {
    if (update.state !== 'suspect' || update.instance !== this.instance) return;
    if (update.incarnation < this.ownIncarnation) return;
    this.ownIncarnation = update.incarnation + 1;
    this.options.health.onSuspected();
    this.dissemination.add({
      member: this.self,
      instance: this.instance,
      incarnation: this.ownIncarnation,
      state: 'alive',
      witness: this.self,
      storeAnswers: this.options.detector.storeAnswers(),
    });
  }
}
