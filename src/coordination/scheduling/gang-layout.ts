/** A gang's layout: the machines of all tasks of a shard's share, and its search without preemption. */

import type { JobSpec } from '../../protocol/model.js';
import { countFittingTasks } from '../capacity/resources.js';
import type { Resources } from '../capacity/resources.js';
import type { Assignment } from '../shard-state/assignment.js';
import type { Candidate } from './candidates.js';
import type { MachineVictims } from './preemption.js';

/** Where a gang's tasks go, in the order of the tasks, once the victims have left. */
export interface GangLayout {
  targets: Candidate[];
  preemptions: MachineVictims[];
}

/** A layout that stops nothing; null: there is not enough free. */
export function layOutInFreeCapacity(
  spec: JobSpec,
  assignment: Assignment,
  group: readonly Candidate[],
): GangLayout | null {
  const hasImage = ({ machine }: Candidate): boolean => machine.images.has(spec.image);
  // Ordinary machines before spot ones, then those with the image, then those in use.
  const preference = (candidate: Candidate): number =>
    (candidate.machine.spot ? 0 : 4) + (hasImage(candidate) ? 2 : 0) + (candidate.isEmpty ? 0 : 1);
  const sorted = [...group].sort((a, b) => preference(b) - preference(a));
  // All wait for the last fetch, so images help most where every machine has it.
  for (const machines of [sorted.filter(hasImage), sorted]) {
    const targets = fillInOrder(machines, assignment.record, assignment.waitingTasks.size);
    if (targets) return { targets, preemptions: [] };
  }
  return null;
}

/** The machines for so many tasks, filled one after the other; null: not all of them fit. */
function fillInOrder(
  candidates: readonly Candidate[],
  task: Resources,
  taskCount: number,
): Candidate[] | null {
  const targets: Candidate[] = [];
  for (const candidate of candidates) {
    const count = Math.min(taskCount - targets.length, countFittingTasks(candidate.free, task));
    for (let placed = 0; placed < count; placed++) targets.push(candidate);
    if (targets.length === taskCount) return targets;
  }
  return null;
}
