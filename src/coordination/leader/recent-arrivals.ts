/** The work that arrived lately: what the fleet should expect. */
import { ARRIVALS_MS } from '../../constants/leader.js';
import { rankOf, type JobSpec } from '../../protocol/model.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Clock } from '../../transport/clock.js';
import { RecentGangs } from '../capacity/recent-gangs.js';
import { URGENT } from '../capacity/priorities.js';

/** ms; for a shorter time than this no figure is given: too little was observed. */
const LEAST_SPAN_MS = ARRIVALS_MS / 3;

/** The work of an array that arrived. */
interface ArrayArrival {
  readonly at: number;
  /** CPU seconds. */
  readonly work: number;
}

/** Arrays and gangs that arrived in the last minutes: the fleet should be ready for as much again. */
export class RecentArrivals {
  private readonly known = new Set<string>();
  private readonly recent: ArrayArrival[] = [];
  /** The gangs among them. */
  readonly gangs: RecentGangs;
  private readonly startedAt: number;
  /** The array of lower work that arrived last; null: there was none. */
  last: JobSpec | null = null;

  constructor(
    private readonly replica: StoreReplica,
    private readonly clock: Clock,
  ) {
    this.startedAt = clock.now();
    this.gangs = new RecentGangs(clock);
    // Jobs that are already there arrived some time ago: they are known, but not counted.
    for (const { spec } of replica.openJobs()) this.known.add(spec.id);
  }

  /** A job is new or has changed, or its record is gone. */
  changed(job: string): void {
    const spec = this.replica.job(job)?.spec;
    if (!spec) {
      this.known.delete(job);
      return;
    }
    if (this.known.has(job)) return;
    this.known.add(job);
    if (spec.kind === 'gang') this.gangs.add(spec);
    if (spec.kind === 'array' && rankOf(spec.priority) < URGENT) this.addArray(spec);
  }

  /** CPUs that arrays of lower work need all the time if they go on arriving like this. */
  get cpus(): number {
    const now = this.clock.now();
    while (this.recent[0] && now - this.recent[0].at > ARRIVALS_MS) this.recent.shift();
    const span = Math.min(ARRIVALS_MS, now - this.startedAt);
    if (span < LEAST_SPAN_MS) return 0;
    return this.recent.reduce((sum, { work }) => sum + work, 0) / (span / 1000);
  }

  private addArray(spec: JobSpec): void {
    this.last = spec;
    const work = spec.tasks * spec.cpus * Math.max(1, spec.estimateS);
    this.recent.push({ at: this.clock.now(), work });
  }
}
