/** What the leader remembers of gangs: their attempts, how long they wait, and where images are. */

import { ATTEMPT_STEP, SHARDS_PER_TERM } from '../../constants/election.js';
import {
  GANG_IMAGE_HISTORY_SIZE,
  GANG_RESERVATION_MS,
  GANG_RESERVATION_DELAY_MS,
  GANG_RETRY_MAX_MS,
  GANG_RETRY_MIN_MS,
} from '../../constants/gangs.js';
import type { GangShare } from './gang-plan.js';
import { shardZoneKey } from '../capacity/shard-zone.js';
import { TermNumbers } from '../election/term-numbers.js';

/** How often a gang was handed out, and when last. */
interface AssignmentTries {
  count: number;
  lastTriedAt: number;
}

/** The leader's memory of gangs in one term; times are of the steady clock, in ms. */
export class GangHistory {
  private readonly attempts: TermNumbers;
  private readonly triesByJob = new Map<string, AssignmentTries>();
  /** Since when a gang waits, by job. */
  private readonly waitingSince = new Map<string, number>();
  /** Where a gang with an image was last, in the order of use. */
  private readonly shardZoneByImage = new Map<string, string>();

  constructor(term: number) {
    const range = term * SHARDS_PER_TERM + SHARDS_PER_TERM - 1;
    this.attempts = new TermNumbers(range * ATTEMPT_STEP, ATTEMPT_STEP);
  }

  /** The leader needs a new term before it has used all attempts of this one. */
  get isRunningOut(): boolean {
    return this.attempts.isRunningOut;
  }

  /** A new attempt for all tasks of a gang: numbers of no part, and never used again. */
  nextAttempt(job: string, now: number): number {
    this.triesByJob.set(job, {
      count: (this.triesByJob.get(job)?.count ?? 0) + 1,
      lastTriedAt: now,
    });
    this.waitingSince.delete(job);
    return this.attempts.next();
  }

  /** The place that had a gang with an image last; null: none is remembered. */
  lastShardZoneOf(image: string): string | null {
    return this.shardZoneByImage.get(image) ?? null;
  }

  /** Remembers the place of a gang with this image; the image that was unused longest is dropped. */
  recordPlacement(image: string, share: GangShare): void {
    this.shardZoneByImage.delete(image);
    this.shardZoneByImage.set(image, shardZoneKey(share.shard, share.zone));
    const oldest = this.shardZoneByImage.keys().next();
    if (this.shardZoneByImage.size > GANG_IMAGE_HISTORY_SIZE && !oldest.done) {
      this.shardZoneByImage.delete(oldest.value);
    }
  }

  /** Whether a gang may be handed out: one that came back again and again waits longer each time. */
  isRetryDue(job: string, now: number): boolean {
    const { count, lastTriedAt } = this.triesByJob.get(job) ?? { count: 0, lastTriedAt: -Infinity };
    return now - lastTriedAt >= Math.min(GANG_RETRY_MAX_MS, GANG_RETRY_MIN_MS * 2 ** count);
  }

  /**
   * Whether room is reserved for a gang that waits: after some seconds and for a time, then for as
   * long not, so that what can't start soon doesn't block other work for ever.
   */
  reservesCapacity(job: string, now: number): boolean {
    const waitingSinceMs = this.waitingSince.get(job) ?? now;
    this.waitingSince.set(job, waitingSinceMs);
    const waited = now - waitingSinceMs - GANG_RESERVATION_DELAY_MS;
    return waited >= 0 && waited % (2 * GANG_RESERVATION_MS) < GANG_RESERVATION_MS;
  }

  /** Forgets the gangs whose jobs are over. */
  forgetClosed(isOpen: (job: string) => boolean): void {
    for (const entries of [this.triesByJob, this.waitingSince]) {
      for (const job of entries.keys()) if (!isOpen(job)) entries.delete(job);
    }
  }
}
