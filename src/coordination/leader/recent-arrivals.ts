/** The work that arrived lately: what the fleet should expect. */
import { RECENT_ARRIVALS_MS } from '../../constants/leader.js';
import type { JobSpec } from '../../protocol/model.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Clock } from '../../transport/clock.js';
import { RecentGangs } from '../capacity/recent-gangs.js';
import { isUrgent } from '../capacity/priorities.js';

/** ms; for a shorter time than this no figure is given: too little was observed. */
const MIN_OBSERVED_MS = RECENT_ARRIVALS_MS / 3;

/** The work of an array that arrived. */
interface ArrayArrival {
  readonly arrivedAt: number;
  /** CPU seconds. */
  readonly workCpuS: number;
}

/** Arrays and gangs that arrived in the last minutes: the fleet should be ready for as much again. */
export class RecentArrivals {
  private readonly knownJobs = new Set<string>();
  private readonly recentArrays: ArrayArrival[] = [];
  /** The gangs among them. */
  readonly recentGangs: RecentGangs;
  private readonly startedAt: number;
  /** The array of lower work that arrived last; null: there was none. */
  lastArray: JobSpec | null = null;

  constructor(
    private readonly replica: StoreReplica,
    private readonly clock: Clock,
  ) {
    this.startedAt = clock.now();
    this.recentGangs = new RecentGangs(clock);
    // Jobs that are already there arrived some time ago: they are known, but not counted.
    for (const { spec } of replica.openJobs()) this.knownJobs.add(spec.id);
  }

  /** A job is new or has changed, or its record is gone. */
  changed(job: string): void {
    const spec = this.replica.job(job)?.spec;
    if (!spec) {
      this.knownJobs.delete(job);
      return;
    }
    if (this.knownJobs.has(job)) return;
    this.knownJobs.add(job);
    if (spec.kind === 'gang') this.recentGangs.add(spec);
    if (spec.kind === 'array' && !isUrgent(spec)) this.addArray(spec);
  }

  /** CPUs that arrays of lower work need all the time if they go on arriving like this. */
  get expectedCpus(): number {
    const now = this.clock.now();
    while (this.recentArrays[0] && now - this.recentArrays[0].arrivedAt > RECENT_ARRIVALS_MS)
      this.recentArrays.shift();
    const observedMs = Math.min(RECENT_ARRIVALS_MS, now - this.startedAt);
    if (observedMs < MIN_OBSERVED_MS) return 0;
    return this.recentArrays.reduce((sum, { workCpuS }) => sum + workCpuS, 0) / (observedMs / 1000);
  }

  private addArray(spec: JobSpec): void {
    this.lastArray = spec;
    const workCpuS = spec.tasks * spec.cpus * Math.max(1, spec.estimateS);
    this.recentArrays.push({ arrivedAt: this.clock.now(), workCpuS });
  }
}
