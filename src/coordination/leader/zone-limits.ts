/** Limits how many tasks of a job each zone may get, by the job's `oneZone` and `spread`. */
import type { StoreReplica } from '../../storage/store-replica.js';
import type { OpenJob } from './scheduling-order.js';

/** Number of tasks of a job for which a zone, or a part of it, has capacity. */
export interface ZoneCapacity {
  readonly zone: string;
  readonly count: number;
}

/** Returns the numbers of assigned tasks of a job that are not done, by zone. */
function activeTasks(job: string, replica: StoreReplica): Map<string, number> {
  const active = new Map<string, number>();
  for (const assignment of replica.assignmentsOf(job)) {
    const count = assignment.ids.length - assignment.done;
    if (count > 0) active.set(assignment.zone, (active.get(assignment.zone) ?? 0) + count);
  }
  return active;
}

function capacityByZone(free: readonly ZoneCapacity[]): Map<string, number> {
  const freeByZone = new Map<string, number>();
  for (const { zone, count } of free) freeByZone.set(zone, (freeByZone.get(zone) ?? 0) + count);
  return freeByZone;
}

/**
 * Returns the zone of a job that must stay in one zone: the zone of its assigned tasks, or if there
 * are none, the zone with the most capacity; undefined: no zone has capacity.
 */
function onlyZone(
  active: ReadonlyMap<string, number>,
  free: ReadonlyMap<string, number>,
): string | undefined {
  const occupiedZone = active.keys().next();
  if (!occupiedZone.done) return occupiedZone.value;
  const [best] = [...free].sort(([, a], [, b]) => b - a);
  return best?.[0];
}

/**
 * Number of further tasks of a job that each zone with capacity may get. With `spread`, a zone has
 * at most half of the job's tasks at a time, rounded up. With `oneZone`, only one zone gets any.
 */
export class ZoneLimits {
  private readonly limits = new Map<string, number>();

  constructor(job: OpenJob, allowed: number, free: readonly ZoneCapacity[], replica: StoreReplica) {
    const { spec } = job;
    const active = activeTasks(job.id, replica);
    const freeByZone = capacityByZone(free);
    const maxPerZone = Math.ceil(spec.tasks / 2);
    for (const zone of freeByZone.keys()) {
      this.limits.set(zone, spec.spread ? maxPerZone - (active.get(zone) ?? 0) : allowed);
    }
    if (!spec.oneZone) return;
    const onlyAllowedZone = onlyZone(active, freeByZone);
    for (const zone of this.limits.keys()) {
      if (zone !== onlyAllowedZone) this.limits.set(zone, 0);
    }
  }

  /** Returns how many further tasks a zone may get. */
  remaining(zone: string): number {
    return this.limits.get(zone) ?? 0;
  }

  /** Deducts tasks that were assigned to a zone. */
  use(zone: string, count: number): void {
    this.limits.set(zone, this.remaining(zone) - count);
  }
}
