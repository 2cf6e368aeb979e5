/** Resources that a shard reserves: for a gang that does not fit yet, and for the next one. */

import { GANG_RESERVATION_FACTOR } from '../../constants/gangs.js';
import type { JobSpec } from '../../protocol/model.js';
import { countFittingTasks } from '../capacity/resources.js';
import { allocate, type Resources } from '../capacity/resources.js';
import type { Assignment } from '../shard-state/assignment.js';
import type { Tasks } from '../shard-state/tasks.js';
import type { Candidate, JobLookup } from './candidates.js';

/** How many of a gang's tasks fit on a machine: now, and once the arrays there have ended. */
interface CandidateFit {
  candidate: Candidate;
  fitNow: number;
  fitLater: number;
}

/** Machines chosen for a reservation. */
interface Selection {
  selected: Candidate[];
  /** How many tasks will fit on them once the arrays there have ended. */
  fitCount: number;
}

/** Marks the machines whose free resources are reserved for gangs in this cycle. */
export class GangReservations {
  constructor(
    private readonly tasks: Tasks,
    private readonly findJob: JobLookup,
  ) {}

  /** Reserves resources against arrays for the next gang, assuming that it is like this one. */
  excludeArrays(spec: JobSpec, candidates: readonly Candidate[]): void {
    const { selected } = this.select(spec, candidates, spec.tasks);
    for (const candidate of selected) candidate.excludesArrays = true;
  }

  /** Reserves machines where a gang will fit once arrays there have ended; false: there are none. */
  reserve(assignment: Assignment, candidates: readonly Candidate[]): boolean {
    const taskCount = assignment.waitingTasks.size;
    // More than it needs, since it waits for what ends first, not for all that runs there now.
    const reservedCount = taskCount * GANG_RESERVATION_FACTOR;
    const selection = this.select(assignment.record, candidates, reservedCount);
    // Where it will not fit in any case, it delays no other work.
    if (selection.fitCount < taskCount) return false;
    for (const candidate of selection.selected) candidate.isReserved = true;
    return true;
  }

  /** The machines on which most such tasks fit, as many machines as so many tasks need. */
  private select(task: Resources, candidates: readonly Candidate[], taskCount: number): Selection {
    const fits = candidates.map((candidate) => this.fitOn(candidate, task));
    fits.sort((a, b) => b.fitNow - a.fitNow || b.fitLater - a.fitLater);
    const selection: Selection = { selected: [], fitCount: 0 };
    for (const { candidate, fitLater } of fits) {
      if (selection.fitCount >= taskCount) break;
      if (fitLater === 0) continue;
      selection.selected.push(candidate);
      selection.fitCount += fitLater;
    }
    return selection;
  }

  private fitOn(candidate: Candidate, task: Resources): CandidateFit {
    const freeLater = { ...candidate.free };
    for (const [, assignment] of this.tasks.placedOn(candidate.machine.name)) {
      const isArray = this.findJob(assignment.job)?.spec.kind === 'array';
      if (isArray) allocate(freeLater, assignment.record, -1);
    }
    return {
      candidate,
      fitNow: countFittingTasks(candidate.free, task),
      fitLater: countFittingTasks(freeLater, task),
    };
  }
}
