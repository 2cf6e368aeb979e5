/** The queue of updates that are piggybacked on messages, each a limited number of times. */

import { RETRANSMIT_FACTOR, MAX_UPDATES_PER_MESSAGE, MAX_QUEUED_UPDATES } from './constants.js';
import type { MemberUpdate } from './messages.js';

interface QueuedUpdate {
  readonly update: MemberUpdate;
  sendCount: number;
}

/** Queue of updates; a newer update replaces an older one of the same member and witness. */
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

  /** Queues an update for the next messages. */
  add(update: MemberUpdate): void {
    const key = `${update.member} ${update.witness}`;
    this.queue.delete(key);
    this.queue.set(key, { update, sendCount: 0 });
    const [oldest] = this.queue.keys();
    if (this.queue.size > MAX_QUEUED_UPDATES && oldest !== undefined) this.queue.delete(oldest);
  }

  /** Removes the updates about older incarnations or other instances of a member. */
  removeSuperseded(member: string, instance: string, incarnation: number): void {
    for (const [key, { update }] of this.queue) {
      if (update.member !== member) continue;
      if (update.instance !== instance || update.incarnation < incarnation) this.queue.delete(key);
    }
  }

  /**
   * Returns the updates of the next message: those about its receiver first, then those that were sent
   * the fewest times. An update that has been sent `maxSends` times is removed.
   */
  takeUpdatesFor(receiver: string): MemberUpdate[] {
    const receiverFirst = (entry: QueuedUpdate): number => Number(entry.update.member !== receiver);
    const selected = [...this.queue.entries()]
      .sort(([, a], [, b]) => receiverFirst(a) - receiverFirst(b) || a.sendCount - b.sendCount)
      .slice(0, MAX_UPDATES_PER_MESSAGE);
    for (const [key, entry] of selected) {
      entry.sendCount++;
      if (entry.sendCount >= this.maxSends) this.queue.delete(key);
    }
    return selected.map(([, { update }]) => update);
  }
}
