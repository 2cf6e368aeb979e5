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

  /** If a job is open, records that one is open now; called in each pass of the autoscaler. */
  update(): void {
    const [openJob] = this.replica.openJobs();
    if (openJob !== undefined) this.lastOpenJobAt = this.clock.now();
  }

  /**
   * Free CPUs of on-demand machines to be kept for urgent work; 0 once the headroom is released, or
   * if none is configured.
   */
  get cpus(): number {
    return this.isReleased ? 0 : this.configuredCpus;
  }

  /**
   * Recent gangs, for which capacity is kept free because future gangs may be like them; empty once
   * the headroom is released.
   */
  gangs(snapshot: FleetSnapshot): readonly JobSpec[] {
    return this.isReleased ? [] : snapshot.recentGangs;
  }

  private get isReleased(): boolean {
    return this.clock.now() - this.lastOpenJobAt >= HEADROOM_RELEASE_AFTER_MS;
  }
}
