/** Reserves a shard's machines for gangs that do not fit yet, and for a future gang. */

import { GANG_RESERVATION_FACTOR } from '../../constants/gangs.js';
import type { JobSpec } from '../../protocol/model.js';
import { countFittingTasks } from '../capacity/resources.js';
import { allocate, type Resources } from '../capacity/resources.js';
import type { Assignment } from '../shard-state/assignment.js';
import type { Tasks } from '../shard-state/tasks.js';
import type { CandidateMachine, JobLookup } from './candidates.js';

/** Numbers of a gang's tasks that fit on a machine: now, and once the arrays there have ended. */
interface CandidateFit {
  candidate: CandidateMachine;
  fittingNow: number;
  fittingLater: number;
}

/** Machines selected for a reservation. */
interface Selection {
  selected: CandidateMachine[];
  /** Number of the gang's tasks that will fit on `selected` once the arrays there have ended. */
  fittingLater: number;
}

/** Marks the machines whose free resources are reserved for gangs in this cycle. */
export class GangReservations {
  constructor(
    private readonly tasks: Tasks,
    private readonly findJob: JobLookup,
  ) {}

  /** Keeps arrays off machines that a future gang with the specification `spec` would need. */
  excludeArrays(spec: JobSpec, candidates: readonly CandidateMachine[]): void {
    const { selected } = this.select(spec, candidates, spec.tasks);
    for (const candidate of selected) candidate.excludesArrays = true;
  }

  /**
   * Reserves machines for a gang subset. Returns false and reserves none if the subset would not
   * fit on the candidates even after all arrays there have ended.
   */
  reserve(assignment: Assignment, candidates: readonly CandidateMachine[]): boolean {
    const taskCount = assignment.waitingTasks.size;
    // Capacity for more tasks than the subset has is reserved, so that the gang can start when the
    // first of the arrays have ended. With just enough capacity it would have to wait for all of
    // them.
    const reservedCount = taskCount * GANG_RESERVATION_FACTOR;
    const selection = this.select(assignment.record, candidates, reservedCount);
    // A gang that won't fit even after the arrays have ended must not delay other work.
    if (selection.fittingLater < taskCount) return false;
    for (const candidate of selection.selected) candidate.isReserved = true;
    return true;
  }

  /** Selects machines for `taskCount` tasks, those on which the most tasks fit now first. */
  private select(
    task: Resources,
    candidates: readonly CandidateMachine[],
    taskCount: number,
  ): Selection {
    const candidateFits = candidates.map((candidate) => this.candidateFit(candidate, task));
    candidateFits.sort((a, b) => b.fittingNow - a.fittingNow || b.fittingLater - a.fittingLater);
    const selection: Selection = { selected: [], fittingLater: 0 };
    for (const { candidate, fittingLater } of candidateFits) {
      if (selection.fittingLater >= taskCount) break;
      if (fittingLater === 0) continue;
      selection.selected.push(candidate);
      selection.fittingLater += fittingLater;
    }
    return selection;
  }

  private candidateFit(candidate: CandidateMachine, task: Resources): CandidateFit {
    const freeLater = { ...candidate.free };
    for (const [, assignment] of this.tasks.placedOn(candidate.machine.name)) {
      const isArray = this.findJob(assignment.job)?.spec.kind === 'array';
      if (isArray) allocate(freeLater, assignment.record, -1);
    }
    return {
      candidate,
      fittingNow: countFittingTasks(candidate.free, task),
      fittingLater: countFittingTasks(freeLater, task),
    };
  }
}
