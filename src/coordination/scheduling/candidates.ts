/** The machines that may take tasks in one scheduling cycle. */

import type { JobSpec } from '../../protocol/model.js';
import { isEligible } from '../capacity/machine-capacity.js';
import { allocate, type Resources } from '../capacity/resources.js';
import type { Assignment } from '../shard-state/assignment.js';
import type { Machine } from '../shard-state/machine.js';
import type { Machines } from '../shard-state/machines.js';
import type { Tasks } from '../shard-state/tasks.js';

/** A machine that may take tasks, and its state in this scheduling cycle. */
export interface CandidateMachine {
  machine: Machine;
  /** Free resources, reduced by each task that the cycle assigns. */
  free: Resources;
  /** Whether no task is placed on the machine. */
  isEmpty: boolean;
  /** Whether the machine's free resources are reserved for a waiting gang that does not fit yet. */
  isReserved: boolean;
  /**
   * Whether the machine's free resources are kept for a gang that is expected but has not arrived
   * yet. Then arrays may use them only after a long wait.
   */
  excludesArrays: boolean;
}

/** Returns a job's specification and the wall-clock time of its acceptance; null once it ended. */
export type JobLookup = (id: string) => { spec: JobSpec; at: number } | null;

/**
 * Lists the healthy machines of a shard that may get new tasks, in their fixed order. Machines that
 * consolidation is emptying are left out. The resources of tasks that are being stopped count as
 * free.
 */
export function listCandidates(machines: Machines, tasks: Tasks): CandidateMachine[] {
  const candidates: CandidateMachine[] = [];
  for (const machine of machines.inOrder()) {
    if (machine.isConsolidating || !machines.isSchedulable(machine)) continue;
    if (machines.health(machine) !== 'ok') continue;
    const free = machines.capacity(machine.type);
    const placed = tasks.placedOn(machine.name);
    for (const [task, assignment] of placed) {
      if (!task.isStopping) allocate(free, assignment.record);
    }
    const isEmpty = placed.size === 0;
    candidates.push({ machine, free, isEmpty, isReserved: false, excludesArrays: false });
  }
  return candidates;
}

/**
 * Whether a machine is in an assignment's zone, and the job may run there by the machine's type,
 * zone and whether it is a spot instance.
 */
export function mayRunOn(machine: Machine, spec: JobSpec, assignment: Assignment): boolean {
  return machine.zone === assignment.record.zone && isEligible(spec, machine);
}

/** Counts the placed tasks by machine type. */
export function countTasksByType(machines: Machines, tasks: Tasks): Map<string, number> {
  const counts = new Map<string, number>();
  for (const name of tasks.occupiedMachines()) {
    const type = machines.all.get(name)?.type;
    if (type) counts.set(type, (counts.get(type) ?? 0) + tasks.placedOn(name).size);
  }
  return counts;
}
