/** Room that a part reserves on its machines: for a gang that does not fit yet, and for the next one. */

import { GANG_KEEP_TIMES } from '../../constants/gangs.js';
import type { JobSpec } from '../../protocol/model.js';
import type { Candidate, JobLookup } from './candidates.js';
import { fitCount } from '../capacity/machine-capacity.js';
import { allocate, type Resources } from '../capacity/resources.js';
import type { Assignment, Tasks } from '../shard-state/tasks.js';

/** How many of a gang's tasks fit on a machine: at present, and once the arrays there have ended. */
interface CandidateFit {
  candidate: Candidate;
  now: number;
  later: number;
}

/** Marks the machines whose room is reserved for gangs in this round. */
export class GangReservations {
  constructor(
    private readonly tasks: Tasks,
    private readonly job: JobLookup,
  ) {}

  /** Reserves room against arrays for the next gang, if it is like this one. */
  excludeArrays(spec: JobSpec, candidates: readonly Candidate[]): void {
    const { selected } = this.select(spec, candidates, spec.tasks);
    for (const candidate of selected) candidate.excludesArrays = true;
  }

  /** Reserves room where a gang will fit once arrays there have ended; false: nowhere. */
  reserve(assignment: Assignment, candidates: readonly Candidate[]): boolean {
    const tasks = assignment.waitingTasks.size;
    // More than it needs, since it waits for what ends first, not for all that runs there now.
    const { selected, free } = this.select(assignment.record, candidates, tasks * GANG_KEEP_TIMES);
    // Where it will not fit in any case, it delays no other work.
    if (free < tasks) return false;
    for (const candidate of selected) candidate.reserved = true;
    return true;
  }

  /** The machines with the most room for such tasks, up to so many tasks, and how many fit there. */
  private select(
    task: Resources,
    candidates: readonly Candidate[],
    tasks: number,
  ): { selected: Candidate[]; free: number } {
    const fits = candidates.map((candidate) => this.fitOn(candidate, task));
    fits.sort((a, b) => b.now - a.now || b.later - a.later);
    const selected: Candidate[] = [];
    let free = 0;
    for (const { candidate, later } of fits) {
      if (free >= tasks) break;
      if (later === 0) continue;
      selected.push(candidate);
      free += later;
    }
    return { selected, free };
  }

  private fitOn(candidate: Candidate, task: Resources): CandidateFit {
    const later = { ...candidate.free };
    for (const [, assignment] of this.tasks.placedOn(candidate.machine.name)) {
      if (this.job(assignment.job)?.spec.kind === 'array') allocate(later, assignment.record, -1);
    }
    return { candidate, now: fitCount(candidate.free, task), later: fitCount(later, task) };
  }
}
