/** The machines that may take tasks in one round of placing. */

import type { JobSpec } from '../../protocol/model.js';
import { isEligible } from '../capacity/machine-capacity.js';
import type { Machine } from '../shard-state/machine.js';
import type { Machines } from '../shard-state/machines.js';
import { allocate, type Resources } from '../capacity/resources.js';
import type { Assignment, Task, Tasks } from '../shard-state/tasks.js';

/** A machine that may take tasks, and what is left of it in this round. */
export interface Candidate {
  machine: Machine;
  /** The room that is left on it. */
  free: Resources;
  /** Whether it holds no tasks. */
  empty: boolean;
  /** Its room is reserved for a gang that does not fit yet. */
  reserved: boolean;
  /** Its room is reserved for the next gang: most arrays may not use it. */
  excludesArrays: boolean;
}

/** A placed task that may be stopped for another one. */
export type Victim = [Task, Assignment];

/** Looks up a job's description and the time of day of its acceptance; null: it is over. */
export type JobLookup = (id: string) => { spec: JobSpec; at: number } | null;

/** The healthy machines of a part in their fixed order, with the room that their tasks leave. */
export function listCandidates(machines: Machines, tasks: Tasks): Candidate[] {
  const candidates: Candidate[] = [];
  for (const machine of machines.inOrder()) {
    if (machine.isConsolidating || !machines.isSchedulable(machine)) continue;
    if (machines.health(machine) !== 'ok') continue;
    const free = machines.capacity(machine.type);
    const placed = tasks.placedOn(machine.name);
    for (const [task, assignment] of placed)
      if (!task.isStopping) allocate(free, assignment.record);
    const empty = placed.size === 0;
    candidates.push({ machine, free, empty, reserved: false, excludesArrays: false });
  }
  return candidates;
}

/** Whether tasks of a chunk may run on a machine: in its zone, and as its job's user allows. */
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
