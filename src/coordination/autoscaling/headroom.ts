/** Capacity kept free for work to come: none once there has been no work for a while. */

import { HEADROOM_RELEASE_AFTER_MS } from '../../constants/autoscaling.js';
import type { JobSpec } from '../../protocol/model.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Clock } from '../../transport/clock.js';
import type { FleetSnapshot } from '../capacity/machine-capacity.js';

/** Headroom for urgent work and for gangs like recent ones, as long as jobs are open. */
export class Headroom {
  private lastWorkAt: number;

  constructor(
    private readonly configuredCpus: number,
    private readonly replica: StoreReplica,
    private readonly clock: Clock,
  ) {
    this.lastWorkAt = clock.now();
  }

  /** Notes whether a job is open; called in each pass. */
  update(): void {
    const [openJob] = this.replica.openJobs();
    if (openJob !== undefined) this.lastWorkAt = this.clock.now();
  }

  /** Free CPUs on ordinary machines that are kept for urgent work. */
  get cpus(): number {
    return this.isQuiet ? 0 : this.configuredCpus;
  }

  /** The gangs for whose like capacity is kept free. */
  gangs(snapshot: FleetSnapshot): readonly JobSpec[] {
    return this.isQuiet ? [] : snapshot.recentGangs;
  }

  private get isQuiet(): boolean {
    return this.clock.now() - this.lastWorkAt >= HEADROOM_RELEASE_AFTER_MS;
  }
}
