/** The gangs that were submitted lately: the next ones may be like them. */

import { GANGS_MS } from '../../constants/gangs.js';
import { rankOf, type JobSpec } from '../../protocol/model.js';
import type { Clock } from '../../transport/clock.js';
import { URGENT } from './priorities.js';

/** CPUs of all tasks of a gang. */
const totalCpus = (spec: JobSpec): number => spec.tasks * spec.cpus;

/** The gangs of the last while, in the order in which a leader or a part learned of them. */
export class RecentGangs {
  private readonly recent: { at: number; spec: JobSpec }[] = [];

  constructor(private readonly clock: Clock) {}

  /** Records a gang that was submitted now. */
  add(spec: JobSpec): void {
    this.recent.push({ at: this.clock.now(), spec });
  }

  /** The largest of each class: the next may be like it. */
  get largest(): JobSpec[] {
    this.dropOld();
    const largest = new Map<string, JobSpec>();
    for (const { spec } of this.recent) {
      const known = largest.get(spec.class);
      if (!known || totalCpus(known) < totalCpus(spec)) largest.set(spec.class, spec);
    }
    return [...largest.values()];
  }

  /** The largest that can't stop other work: room is reserved for one like it; null: none. */
  get largestNotUrgent(): JobSpec | null {
    return this.largest
      .filter((spec) => rankOf(spec.priority) < URGENT)
      .reduce<JobSpec | null>(
        (best, spec) => (best && totalCpus(best) >= totalCpus(spec) ? best : spec),
        null,
      );
  }

  private dropOld(): void {
    const now = this.clock.now();
    while (this.recent[0] && now - this.recent[0].at > GANGS_MS) this.recent.shift();
  }
}
