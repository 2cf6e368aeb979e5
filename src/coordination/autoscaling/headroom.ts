/** Headroom: capacity that the fleet keeps free for future work while jobs are open. */

import { HEADROOM_RELEASE_AFTER_MS } from '../../constants/autoscaling.js';
import type { JobSpec } from '../../protocol/model.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Clock } from '../../transport/clock.js';
import type { FleetSnapshot } from '../capacity/machine-capacity.js';

/**
 * Headroom for urgent work and for gangs like recent ones. It is released once no job has been open
 * for `HEADROOM_RELEASE_AFTER_MS`.
 */
export class Headroom {
  private lastOpenJobAt: number;

  constructor(
    private readonly configuredCpus: number,
    private readonly replica: StoreReplica,
    private readonly clock: Clock,
  ) {
    this.lastOpenJobAt = clock.now();
  }

  /** Records the current time if a job is open; called in each pass. */
  update(): void {
    const [openJob] = this.replica.openJobs();
    if (openJob !== undefined) this.lastOpenJobAt = this.clock.now();
  }

  /** Free CPUs of on-demand machines to be kept for urgent work. */
  get cpus(): number {
    return this.isReleased ? 0 : this.configuredCpus;
  }

  /** Recent gangs; capacity is kept free for future gangs like them. */
  gangs(snapshot: FleetSnapshot): readonly JobSpec[] {
    return this.isReleased ? [] : snapshot.recentGangs;
  }

  private get isReleased(): boolean {
    return this.clock.now() - this.lastOpenJobAt >= HEADROOM_RELEASE_AFTER_MS;
  }
}
