/** Keeps recently arrived jobs, and forecasts the work that the fleet should expect from them. */
import { ARRIVAL_WINDOW_MS } from '../../constants/leader.js';
import type { JobSpec } from '../../protocol/model.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Clock } from '../../transport/clock.js';
import { RecentGangs } from '../capacity/recent-gangs.js';
import { isUrgent } from '../capacity/priorities.js';

/** ms; minimum period of observation. Before it has passed, no CPUs are forecast. */
const MIN_OBSERVED_MS = ARRIVAL_WINDOW_MS / 3;

/** Arrival of a non-urgent array, at `arrivedAt` of the steady clock in ms. */
interface ArrayArrival {
  readonly arrivedAt: number;
  /** Estimated work of all its tasks, in CPU seconds. */
  readonly workCpuS: number;
}

/**
 * Non-urgent arrays that arrived within the last `ARRIVAL_WINDOW_MS`, and gangs within the last
 * `GANG_ARRIVAL_WINDOW_MS`. The fleet should have capacity for as many again.
 */
export class RecentArrivals {
  private readonly knownJobs = new Set<string>();
  private readonly recentArrays: ArrayArrival[] = [];
  /** Gangs that arrived within the last `GANG_ARRIVAL_WINDOW_MS`. */
  readonly recentGangs: RecentGangs;
  private readonly startedAt: number;
  /** The non-urgent array that arrived last; null: none has arrived. */
  lastArray: JobSpec | null = null;

  constructor(
    private readonly replica: StoreReplica,
    private readonly clock: Clock,
  ) {
    this.startedAt = clock.now();
    this.recentGangs = new RecentGangs(clock);
    // Jobs that exist already are not counted as arrivals, because they may have arrived long ago.
    for (const { spec } of replica.openJobs()) this.knownJobs.add(spec.id);
  }

  /** Updates the arrivals after a job record was created, changed or removed. */
  onJobChanged(job: string): void {
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

  /** CPUs that non-urgent arrays use on average if they continue to arrive at the recent rate. */
  get expectedCpus(): number {
    const now = this.clock.now();
    while (this.recentArrays[0] && now - this.recentArrays[0].arrivedAt > ARRIVAL_WINDOW_MS)
      this.recentArrays.shift();
    const observedMs = Math.min(ARRIVAL_WINDOW_MS, now - this.startedAt);
    if (observedMs < MIN_OBSERVED_MS) return 0;
    return this.recentArrays.reduce((sum, { workCpuS }) => sum + workCpuS, 0) / (observedMs / 1000);
  }

  private addArray(spec: JobSpec): void {
    this.lastArray = spec;
    const workCpuS = spec.tasks * spec.cpus * Math.max(1, spec.estimateS);
    this.recentArrays.push({ arrivedAt: this.clock.now(), workCpuS });
  }
}
