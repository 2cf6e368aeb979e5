/** Updates piggybacked on messages until each was sent often enough to have reached all members. */

import { RETRANSMIT_FACTOR, MAX_UPDATES_PER_MESSAGE, MAX_QUEUED_UPDATES } from './constants.js';
import type { MemberUpdate } from './messages.js';

interface QueuedUpdate {
  readonly update: MemberUpdate;
  sendCount: number;
}

/** The updates queued for sending; a newer one about the same member replaces an older one. */
export class Dissemination {
  private readonly queue = new Map<string, QueuedUpdate>();
  private readonly maxSends: number;

  constructor(memberCount: number) {
    this.maxSends = Math.ceil(RETRANSMIT_FACTOR * Math.log2(memberCount + 1));
  }

  /** Number of queued updates. */
  get size(): number {
    return this.queue.size;
  }

  /** Sends an update with the next messages. */
  add(update: MemberUpdate): void {
    const key = `${update.member} ${update.witness}`;
    this.queue.delete(key);
    this.queue.set(key, { update, sendCount: 0 });
    const [oldest] = this.queue.keys();
    if (this.queue.size > MAX_QUEUED_UPDATES && oldest !== undefined) this.queue.delete(oldest);
  }

  /** Drops updates about a member at older incarnations, or about another instance. */
  removeSuperseded(member: string, instance: string, incarnation: number): void {
    for (const [key, { update }] of this.queue) {
      if (update.member !== member) continue;
      if (update.instance !== instance || update.incarnation < incarnation) this.queue.delete(key);
    }
  }

  /** The updates of the next message: about its receiver first, then those that were sent least. */
  takeUpdatesFor(receiver: string): MemberUpdate[] {
    const receiverFirst = (entry: QueuedUpdate): number => Number(entry.update.member !== receiver);
    const chosen = [...this.queue.entries()]
      .sort(([, a], [, b]) => receiverFirst(a) - receiverFirst(b) || a.sendCount - b.sendCount)
      .slice(0, MAX_UPDATES_PER_MESSAGE);
    for (const [key, entry] of chosen) {
      entry.sendCount++;
      if (entry.sendCount >= this.maxSends) this.queue.delete(key);
    }
    return chosen.map(([, { update }]) => update);
  }
}
