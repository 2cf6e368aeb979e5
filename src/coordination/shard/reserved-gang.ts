/** Selects the gang for which a shard reserves free capacity. */
import { RESERVING_SHARD_CHECK_MS } from '../../constants/gangs.js';
import type { JobSpec } from '../../protocol/model.js';
import { reservingShardZone } from '../capacity/gang-capacity.js';
import { healthyMachines } from '../capacity/machine-inventory.js';
import { shardZoneKey } from '../capacity/shard-zone.js';
import type { ShardContext } from './shard-context.js';
import { RecentGangs } from '../capacity/recent-gangs.js';

/**
 * The reservation of free capacity for the next gang, which is expected to be like the largest
 * recent gang that is not urgent. Only the shard that has the most machines for such a gang in one
 * zone reserves capacity.
 */
export class ReservedGang {
  private readonly recentGangs: RecentGangs;
  private reserved: JobSpec | null = null;
  private nextCheckAt = -Infinity;

  constructor(private readonly context: ShardContext) {
    this.recentGangs = new RecentGangs(context.clock);
  }

  /** Records a job that is new or has changed; jobs that are not gangs are ignored. */
  recordJob(spec: JobSpec | null): void {
    if (spec?.kind === 'gang') this.recentGangs.add(spec);
  }

  /** The gang for which this shard reserves capacity; null: the shard reserves none. */
  next(): JobSpec | null {
    const now = this.context.clock.now();
    if (now < this.nextCheckAt) return this.reserved;
    this.nextCheckAt = now + RESERVING_SHARD_CHECK_MS;
    this.reserved = this.findReserved();
    return this.reserved;
  }

  private findReserved(): JobSpec | null {
    const { machines, options, replica } = this.context;
    const next = this.recentGangs.largestNonUrgent;
    if (!next) return null;
    const shardZone = reservingShardZone(next, healthyMachines(replica));
    const isReservingShard = machines
      .inOrder()
      .some(({ zone }) => shardZoneKey(options.shard, zone) === shardZone);
    return isReservingShard ? next : null;
  }
}
