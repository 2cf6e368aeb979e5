/** The machines that may take tasks in one scheduling cycle. */

import type { JobSpec } from '../../protocol/model.js';
import { isEligible } from '../capacity/machine-capacity.js';
import { allocate, type Resources } from '../capacity/resources.js';
import type { Assignment } from '../shard-state/assignment.js';
import type { Machine } from '../shard-state/machine.js';
import type { Machines } from '../shard-state/machines.js';
import type { Tasks } from '../shard-state/tasks.js';

/** A machine that may take tasks, and what is left of it in this cycle. */
export interface Candidate {
  machine: Machine;
  /** Its free resources. */
  free: Resources;
  /** Whether no task is placed on it. */
  isEmpty: boolean;
  /** Its free resources are reserved for a gang that does not fit yet. */
  isReserved: boolean;
  /** Its free resources are reserved for the next gang: most arrays may not use them. */
  excludesArrays: boolean;
}

/** Looks up a job's description and the time of day of its acceptance; null: it is over. */
export type JobLookup = (id: string) => { spec: JobSpec; at: number } | null;

/** The healthy machines of a shard in their fixed order, with what their tasks leave free. */
export function listCandidates(machines: Machines, tasks: Tasks): Candidate[] {
  const candidates: Candidate[] = [];
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

/** Whether tasks of an assignment may run on a machine: in its zone, and as its job allows. */
export function mayRunOn(machine: Machine, spec: JobSpec, assignment: Assignment): boolean {
  return machine.zone === assignment.record.zone && isEligible(spec, machine);
}

/** Queued and running tasks by machine type. */
export function countTasksByType(machines: Machines, tasks: Tasks): Map<string, number> {
  const counts = new Map<string, number>();
  for (const name of tasks.occupiedMachines()) {
    const type = machines.all.get(name)?.type;
    if (type) counts.set(type, (counts.get(type) ?? 0) + tasks.placedOn(name).size);
  }
  return counts;
}
