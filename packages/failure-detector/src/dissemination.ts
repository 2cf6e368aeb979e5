/** Updates piggybacked on messages until each was sent often enough to have reached all members. */

import { RETRANSMIT_FACTOR, UPDATES_PER_MESSAGE, UPDATES_WAITING } from './constants.js';
import type { MemberUpdate } from './messages.js';

interface WaitingUpdate {
  readonly update: MemberUpdate;
  sends: number;
}

/** The updates queued for sending; a newer one about the same member replaces an older one. */
export class Dissemination {
  private readonly waiting = new Map<string, WaitingUpdate>();
  private readonly sendsMost: number;

  constructor(memberCount: number) {
    this.sendsMost = Math.ceil(RETRANSMIT_FACTOR * Math.log2(memberCount + 1));
  }

  /** Number of queued updates. */
  get size(): number {
    return this.waiting.size;
  }

  /** Sends an update with the next messages. */
  add(update: MemberUpdate): void {
    const key = `${update.member} ${update.witness}`;
    this.waiting.delete(key);
    this.waiting.set(key, { update, sends: 0 });
    const [oldest] = this.waiting.keys();
    if (this.waiting.size > UPDATES_WAITING && oldest !== undefined) this.waiting.delete(oldest);
  }

  /** Drops updates about a member at older incarnations, or about another instance. */
  supersede(member: string, instance: string, incarnation: number): void {
    for (const [key, { update }] of this.waiting) {
      if (update.member !== member) continue;
      if (update.instance !== instance || update.incarnation < incarnation)
        this.waiting.delete(key);
    }
  }

  /** The updates of the next message: about its receiver first, then those that were sent least. */
  next(receiver: string): MemberUpdate[] {
    const aboutReceiver = (entry: WaitingUpdate): number =>
      Number(entry.update.member !== receiver);
    const chosen = [...this.waiting.entries()]
      .sort(([, a], [, b]) => aboutReceiver(a) - aboutReceiver(b) || a.sends - b.sends)
      .slice(0, UPDATES_PER_MESSAGE);
    for (const [key, entry] of chosen) {
      entry.sends++;
      if (entry.sends >= this.sendsMost) this.waiting.delete(key);
    }
    return chosen.map(([, { update }]) => update);
  }
}
