/** Gang layouts: a machine for each task of a gang subset. Finds layouts without preemption. */

import type { JobSpec } from '../../protocol/model.js';
import { countFittingTasks } from '../capacity/resources.js';
import type { Resources } from '../capacity/resources.js';
import type { Assignment } from '../shard-state/assignment.js';
import type { CandidateMachine } from './candidates.js';
import type { MachineVictims } from './preemption.js';

/** A machine for each waiting task of a gang subset, and the preemptions that this requires. */
export interface GangLayout {
  /** One machine per task, in the order of the tasks. */
  targets: CandidateMachine[];
  preemptions: MachineVictims[];
}

/** Returns a layout without preemption; null if there is too little free capacity. */
export function layOutInFreeCapacity(
  spec: JobSpec,
  assignment: Assignment,
  group: readonly CandidateMachine[],
): GangLayout | null {
  const hasImage = ({ machine }: CandidateMachine): boolean => machine.images.has(spec.image);
  // On-demand machines precede spot instances. Among machines of the same kind, those with the
  // gang's image come first, then those in use.
  const preference = (candidate: CandidateMachine): number =>
    (candidate.machine.spot ? 0 : 4) + (hasImage(candidate) ? 2 : 0) + (candidate.isEmpty ? 0 : 1);
  const sorted = [...group].sort((a, b) => preference(b) - preference(a));
  // A gang starts after its last image fetch, so a layout without any fetch is tried first.
  for (const machines of [sorted.filter(hasImage), sorted]) {
    const targets = fillInOrder(machines, assignment.record, assignment.waitingTasks.size);
    if (targets) return { targets, preemptions: [] };
  }
  return null;
}

/**
 * Returns a machine for each of `taskCount` tasks, filling one machine after the other; null if not
 * all tasks fit.
 */
function fillInOrder(
  candidates: readonly CandidateMachine[],
  task: Resources,
  taskCount: number,
): CandidateMachine[] | null {
  const targets: CandidateMachine[] = [];
  for (const candidate of candidates) {
    const count = Math.min(taskCount - targets.length, countFittingTasks(candidate.free, task));
    for (let index = 0; index < count; index++) targets.push(candidate);
    if (targets.length === taskCount) return targets;
  }
  return null;
}
