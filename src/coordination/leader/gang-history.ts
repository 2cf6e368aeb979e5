/** What the leader remembers of gangs: their attempts, how long they wait, and where images are. */

import { ATTEMPT_STEP, SHARDS_PER_TERM } from '../../constants/election.js';
import {
  GANG_IMAGES,
  GANG_KEEP_FOR_MS,
  GANG_KEEP_FROM_MS,
  GANG_RETRY_MOST_MS,
  GANG_RETRY_MS,
} from '../../constants/gangs.js';
import type { Share } from './gang-plan.js';
import { shardZoneKey } from '../capacity/priorities.js';
import { TermNumbers } from '../election/term-numbers.js';

/** How often a gang was handed out, and when last. */
interface Tries {
  count: number;
  at: number;
}

/** The leader's memory of gangs in one term; times are of the steady clock, in ms. */
export class GangHistory {
  private readonly attempts: TermNumbers;
  private readonly tries = new Map<string, Tries>();
  /** Since when a gang waits, by job. */
  private readonly waitingSince = new Map<string, number>();
  /** Where a gang with an image was last, in the order of use. */
  private readonly placeByImage = new Map<string, string>();

  constructor(term: number) {
    const range = term * SHARDS_PER_TERM + SHARDS_PER_TERM - 1;
    this.attempts = new TermNumbers(range * ATTEMPT_STEP, ATTEMPT_STEP);
  }

  /** The leader needs a new term before it has used all attempts of this one. */
  get isRunningOut(): boolean {
    return this.attempts.isRunningOut;
  }

  /** A new attempt for all tasks of a gang: numbers of no part, and never used again. */
  attempt(job: string, now: number): number {
    this.tries.set(job, { count: (this.tries.get(job)?.count ?? 0) + 1, at: now });
    this.waitingSince.delete(job);
    return this.attempts.next();
  }

  /** The place that had a gang with an image last; null: none is remembered. */
  placeOf(image: string): string | null {
    return this.placeByImage.get(image) ?? null;
  }

  /** Remembers the place of a gang with this image; the image that was unused longest is dropped. */
  placed(image: string, share: Share): void {
    this.placeByImage.delete(image);
    this.placeByImage.set(image, shardZoneKey(share.shard, share.zone));
    const oldest = this.placeByImage.keys().next();
    if (this.placeByImage.size > GANG_IMAGES && !oldest.done) {
      this.placeByImage.delete(oldest.value);
    }
  }

  /** Whether a gang may be handed out: one that came back again and again waits longer each time. */
  mayTry(job: string, now: number): boolean {
    const { count, at } = this.tries.get(job) ?? { count: 0, at: -Infinity };
    return now - at >= Math.min(GANG_RETRY_MOST_MS, GANG_RETRY_MS * 2 ** count);
  }

  /**
   * Whether room is reserved for a gang that waits: after some seconds and for a time, then for as
   * long not, so that what can't start soon doesn't block other work for ever.
   */
  reservesCapacity(job: string, now: number): boolean {
    const since = this.waitingSince.get(job) ?? now;
    this.waitingSince.set(job, since);
    const waited = now - since - GANG_KEEP_FROM_MS;
    return waited >= 0 && waited % (2 * GANG_KEEP_FOR_MS) < GANG_KEEP_FOR_MS;
  }

  /** Forgets the gangs whose jobs are over. */
  forget(isOpen: (job: string) => boolean): void {
    for (const entries of [this.tries, this.waitingSince]) {
      for (const job of entries.keys()) if (!isOpen(job)) entries.delete(job);
    }
  }
}
