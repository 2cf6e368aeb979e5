/** Work that arrived recently: a forecast of what the fleet should expect. */
import { ARRIVAL_WINDOW_MS } from '../../constants/leader.js';
import type { JobSpec } from '../../protocol/model.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Clock } from '../../transport/clock.js';
import { RecentGangs } from '../capacity/recent-gangs.js';
import { isUrgent } from '../capacity/priorities.js';

/** ms; no forecast is made from a shorter observation. */
const MIN_OBSERVED_MS = ARRIVAL_WINDOW_MS / 3;

/** An array that arrived. */
interface ArrayArrival {
  readonly arrivedAt: number;
  /** CPU seconds. */
  readonly workCpuS: number;
}

/**
 * Arrays and gangs that arrived within `RECENT_ARRIVALS_MS`: the fleet should be ready for as much
 * again.
 */
export class RecentArrivals {
  private readonly knownJobs = new Set<string>();
  private readonly recentArrays: ArrayArrival[] = [];
  /** Gangs that arrived recently. */
  readonly recentGangs: RecentGangs;
  private readonly startedAt: number;
  /** The non-urgent array that arrived last; null: none did. */
  lastArray: JobSpec | null = null;

  constructor(
    private readonly replica: StoreReplica,
    private readonly clock: Clock,
  ) {
    this.startedAt = clock.now();
    this.recentGangs = new RecentGangs(clock);
    // Jobs that exist already arrived at an unknown time: they are known, but not counted.
    for (const { spec } of replica.openJobs()) this.knownJobs.add(spec.id);
  }

  /** Handles a job record that was created, changed or removed. */
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

  /** CPUs that non-urgent arrays occupy on average if they go on arriving at this rate. */
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
