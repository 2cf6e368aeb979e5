/** The gangs that were submitted lately: the next ones may be like them. */

import { RECENT_GANGS_MS } from '../../constants/gangs.js';
import type { JobSpec } from '../../protocol/model.js';
import type { Clock } from '../../transport/clock.js';
import { isUrgent } from './priorities.js';

/** CPUs of all tasks of a gang. */
const totalCpus = (spec: JobSpec): number => spec.tasks * spec.cpus;

/** The gangs of the last while, in the order in which a leader or a part learned of them. */
export class RecentGangs {
  private readonly recent: { submittedAt: number; spec: JobSpec }[] = [];

  constructor(private readonly clock: Clock) {}

  /** Records a gang that was submitted now. */
  add(spec: JobSpec): void {
    this.recent.push({ submittedAt: this.clock.now(), spec });
  }

  /** The largest of each class: the next may be like it. */
  get largestByClass(): JobSpec[] {
    this.expire();
    const largestByClass = new Map<string, JobSpec>();
    for (const { spec } of this.recent) {
      const known = largestByClass.get(spec.class);
      if (!known || totalCpus(known) < totalCpus(spec)) largestByClass.set(spec.class, spec);
    }
    return [...largestByClass.values()];
  }

  /** The largest that can't stop other work: room is reserved for one like it; null: none. */
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
    while (this.recent[0] && now - this.recent[0].submittedAt > RECENT_GANGS_MS)
      this.recent.shift();
  }
}
