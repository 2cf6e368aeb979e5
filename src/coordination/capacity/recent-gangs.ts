/** Keeps the gangs that were submitted recently, as an estimate of the next ones. */

import { GANG_ARRIVAL_WINDOW_MS } from '../../constants/gangs.js';
import type { JobSpec } from '../../protocol/model.js';
import type { Clock } from '../../transport/clock.js';
import { isUrgent } from './priorities.js';

/** Returns the CPUs of all tasks of a gang together. */
const totalCpus = (spec: JobSpec): number => spec.tasks * spec.cpus;

/**
 * Gangs submitted within the last `GANG_ARRIVAL_WINDOW_MS`, in the order in which this controller
 * read their records.
 */
export class RecentGangs {
  private readonly recent: { submittedAt: number; spec: JobSpec }[] = [];

  constructor(private readonly clock: Clock) {}

  /** Adds a gang that was just submitted. */
  add(spec: JobSpec): void {
    this.recent.push({ submittedAt: this.clock.now(), spec });
  }

  /** The largest recent gang of each class, by CPUs. */
  get largestByClass(): JobSpec[] {
    this.expire();
    const largestByClass = new Map<string, JobSpec>();
    for (const { spec } of this.recent) {
      const largest = largestByClass.get(spec.class);
      if (!largest || totalCpus(largest) < totalCpus(spec)) largestByClass.set(spec.class, spec);
    }
    return [...largestByClass.values()];
  }

  /**
   * The largest recent gang that is not urgent; null: there is none. Capacity is reserved for a
   * gang of this size, because a non-urgent gang cannot preempt other work.
   */
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
