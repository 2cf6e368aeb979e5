/** What the leader remembers of gangs: attempts, waiting times and where images were used. */

import { ATTEMPT_STEP, SHARDS_PER_TERM } from '../../constants/election.js';
import {
  GANG_IMAGE_HISTORY_MAX_IMAGES,
  GANG_RESERVATION_MS,
  GANG_RESERVATION_DELAY_MS,
  GANG_RETRY_MAX_MS,
  GANG_RETRY_MIN_MS,
} from '../../constants/gangs.js';
import type { GangSubset } from './gang-plan.js';
import { shardZoneKey } from '../capacity/shard-zone.js';
import { TermNumbers } from '../election/term-numbers.js';

/** How often a gang was assigned, and when last. */
interface AssignmentTries {
  count: number;
  lastTriedAt: number;
}

/** History of gangs in one term; times are of the monotonic clock, in ms. */
export class GangHistory {
  private readonly attempts: TermNumbers;
  private readonly triesByJob = new Map<string, AssignmentTries>();
  /** Since when each gang waits, by job. */
  private readonly waitingSince = new Map<string, number>();
  /** Key of the shard zone in which a gang with each image ran last; least recently used first. */
  private readonly shardZoneByImage = new Map<string, string>();

  constructor(term: number) {
    const range = term * SHARDS_PER_TERM + SHARDS_PER_TERM - 1;
    this.attempts = new TermNumbers(range * ATTEMPT_STEP, ATTEMPT_STEP);
  }

  /** The leader needs a new term before the attempt numbers of this one are used up. */
  get needsTermRenewal(): boolean {
    return this.attempts.isRunningOut;
  }

  /** A new attempt number for all tasks of a gang: no shard issues it, and it is never reused. */
  nextAttempt(job: string, now: number): number {
    this.triesByJob.set(job, {
      count: (this.triesByJob.get(job)?.count ?? 0) + 1,
      lastTriedAt: now,
    });
    this.waitingSince.delete(job);
    return this.attempts.next();
  }

  /** Key of the shard zone in which a gang with this image ran last; null: not remembered. */
  lastShardZoneOf(image: string): string | null {
    return this.shardZoneByImage.get(image) ?? null;
  }

  /** Remembers where a gang with this image went, and drops the least recently used image. */
  recordPlacement(image: string, subset: GangSubset): void {
    this.shardZoneByImage.delete(image);
    this.shardZoneByImage.set(image, shardZoneKey(subset.shard, subset.zone));
    const oldest = this.shardZoneByImage.keys().next();
    if (this.shardZoneByImage.size > GANG_IMAGE_HISTORY_MAX_IMAGES && !oldest.done) {
      this.shardZoneByImage.delete(oldest.value);
    }
  }

  /** Whether a gang may be assigned: the pause doubles each time that it is returned. */
  isRetryDue(job: string, now: number): boolean {
    const { count, lastTriedAt } = this.triesByJob.get(job) ?? { count: 0, lastTriedAt: -Infinity };
    return now - lastTriedAt >= Math.min(GANG_RETRY_MAX_MS, GANG_RETRY_MIN_MS * 2 ** count);
  }

  /**
   * Whether capacity is reserved for a waiting gang: after a delay for a time, then for as long
   * not, so that a gang that cannot start soon does not block other work for ever.
   */
  reservesCapacity(job: string, now: number): boolean {
    const waitingSince = this.waitingSince.get(job) ?? now;
    this.waitingSince.set(job, waitingSince);
    const waitedPastDelayMs = now - waitingSince - GANG_RESERVATION_DELAY_MS;
    return (
      waitedPastDelayMs >= 0 && waitedPastDelayMs % (2 * GANG_RESERVATION_MS) < GANG_RESERVATION_MS
    );
  }

  /** Forgets gangs whose jobs are no longer open. */
  forgetClosed(isOpen: (job: string) => boolean): void {
    for (const entries of [this.triesByJob, this.waitingSince]) {
      for (const job of entries.keys()) if (!isOpen(job)) entries.delete(job);
    }
  }
}
