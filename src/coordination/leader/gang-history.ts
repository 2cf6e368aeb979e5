/** Keeps the leader's history of gangs: attempts, waiting times, and where images were used. */

import { ATTEMPT_RANGE_SIZE, SHARDS_PER_TERM } from '../../constants/election.js';
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

/** Number of times that a gang was assigned, and the time of its last assignment. */
interface AssignmentTries {
  count: number;
  lastTriedAt: number;
}

/** History of gangs in one term. Times are of the steady clock, in ms. */
export class GangHistory {
  private readonly attempts: TermNumbers;
  private readonly triesByJob = new Map<string, AssignmentTries>();
  /** Time at which each gang began to wait for capacity, by job. */
  private readonly waitingSince = new Map<string, number>();
  /**
   * Key of the shard zone to which a gang was last assigned, by image; least recently used first.
   */
  private readonly shardZoneByImage = new Map<string, string>();

  constructor(term: number) {
    const range = term * SHARDS_PER_TERM + SHARDS_PER_TERM - 1;
    this.attempts = new TermNumbers(range * ATTEMPT_RANGE_SIZE, ATTEMPT_RANGE_SIZE);
  }

  /**
   * Whether half of this term's attempt numbers are used, so that the leader should continue under
   * a new term.
   */
  get needsTermRenewal(): boolean {
    return this.attempts.isRunningOut;
  }

  /**
   * Records an assignment of a gang, and returns a new attempt number for all of its tasks. No
   * shard issues this number, and it is never reused.
   */
  nextAttempt(job: string, now: number): number {
    this.triesByJob.set(job, {
      count: (this.triesByJob.get(job)?.count ?? 0) + 1,
      lastTriedAt: now,
    });
    this.waitingSince.delete(job);
    return this.attempts.next();
  }

  /**
   * Returns the key of the shard zone to which a gang with this image was last assigned; null:
   * unknown.
   */
  lastShardZoneOf(image: string): string | null {
    return this.shardZoneByImage.get(image) ?? null;
  }

  /**
   * Stores the shard zone to which a gang with this image was assigned, and evicts the least
   * recently used image if there are more than `GANG_IMAGE_HISTORY_MAX_IMAGES`.
   */
  recordPlacement(image: string, subset: GangSubset): void {
    this.shardZoneByImage.delete(image);
    this.shardZoneByImage.set(image, shardZoneKey(subset.shard, subset.zone));
    const oldest = this.shardZoneByImage.keys().next();
    if (this.shardZoneByImage.size > GANG_IMAGE_HISTORY_MAX_IMAGES && !oldest.done) {
      this.shardZoneByImage.delete(oldest.value);
    }
  }

  /**
   * Returns whether the pause after a gang's last assignment has passed; true if it was never
   * assigned. The pause is twice `GANG_RETRY_MIN_MS` after the first assignment and doubles with
   * each further one, up to `GANG_RETRY_MAX_MS`.
   */
  isRetryDue(job: string, now: number): boolean {
    const { count, lastTriedAt } = this.triesByJob.get(job) ?? { count: 0, lastTriedAt: -Infinity };
    return now - lastTriedAt >= Math.min(GANG_RETRY_MAX_MS, GANG_RETRY_MIN_MS * 2 ** count);
  }

  /**
   * Returns whether capacity is reserved for a waiting gang now. The first call starts its waiting
   * time. After `GANG_RESERVATION_DELAY_MS`, periods with and without a reservation alternate, each
   * `GANG_RESERVATION_MS` long, so that a gang that cannot start soon does not block other work
   * permanently.
   */
  reservesCapacity(job: string, now: number): boolean {
    const waitingSince = this.waitingSince.get(job) ?? now;
    this.waitingSince.set(job, waitingSince);
    const pastDelayMs = now - waitingSince - GANG_RESERVATION_DELAY_MS;
    return pastDelayMs >= 0 && pastDelayMs % (2 * GANG_RESERVATION_MS) < GANG_RESERVATION_MS;
  }

  /** Removes gangs whose jobs are no longer open. */
  forgetClosed(isOpen: (job: string) => boolean): void {
    for (const entries of [this.triesByJob, this.waitingSince]) {
      for (const job of entries.keys()) if (!isOpen(job)) entries.delete(job);
    }
  }
}
