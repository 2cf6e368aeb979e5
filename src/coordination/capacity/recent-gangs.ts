/** Gangs that were submitted recently: the next ones may be like them. */

import { GANG_ARRIVAL_WINDOW_MS } from '../../constants/gangs.js';
import type { JobSpec } from '../../protocol/model.js';
import type { Clock } from '../../transport/clock.js';
import { isUrgent } from './priorities.js';

/** CPUs of all tasks of a gang. */
const totalCpus = (spec: JobSpec): number => spec.tasks * spec.cpus;

/** Gangs submitted within `RECENT_GANGS_MS`, in the order in which this controller saw them. */
export class RecentGangs {
  private readonly recent: { submittedAt: number; spec: JobSpec }[] = [];

  constructor(private readonly clock: Clock) {}

  /** Records a gang that was just submitted. */
  add(spec: JobSpec): void {
    this.recent.push({ submittedAt: this.clock.now(), spec });
  }

  /** The largest gang of each class. */
  get largestByClass(): JobSpec[] {
    this.expire();
    const largestByClass = new Map<string, JobSpec>();
    for (const { spec } of this.recent) {
      const largest = largestByClass.get(spec.class);
      if (!largest || totalCpus(largest) < totalCpus(spec)) largestByClass.set(spec.class, spec);
    }
    return [...largestByClass.values()];
  }

  /** The largest gang that may not preempt: capacity is reserved for one like it; null: none. */
  get largestNonUrgent(): JobSpec | null {
    return this.largestByClass
      .filter((spec) => !isUrgent(spec))
      .reduce<JobSpec | null>(
        (best, spec) => (best && totalCpus(best) >= totalCpus(spec) ? best : spec),
        null,
      );
  }

  private expire(): void {
    const now = this.clock.now();
    while (this.recent[0] && now - this.recent[0].submittedAt > GANG_ARRIVAL_WINDOW_MS)
      this.recent.shift();
  }
}
