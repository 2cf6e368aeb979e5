/** What the pieces of one assigning round share. */
import type { MachineCapacity, UnmetDemand } from '../capacity/machine-capacity.js';
import type { Queue } from './shard-queues.js';
import type { NewAssignment } from './assignment-factory.js';

/** One assigning round: what it works on, and what comes of it. */
export interface SchedulingCycle {
  /** Time at which the round started, in ms. */
  readonly startedAt: number;
  /** All machines, also those that boot or take no new tasks. */
  readonly fleet: MachineCapacity[];
  /** Healthy machines; the room left on them decreases as tasks are assigned. */
  readonly machines: readonly MachineCapacity[];
  /** The healthy machines without those whose room is reserved for the next gang. */
  readonly unreservedMachines: readonly MachineCapacity[];
  /** Names of the machines whose room is reserved for the next gang. */
  readonly reservedMachineNames: ReadonlySet<string>;
  /** The queues of the parts, by place. */
  readonly queues: ReadonlyMap<string, Queue>;
  /** Tasks for which no room was found. */
  readonly unmetDemand: UnmetDemand[];
  /** Chunks that assign tasks to parts, in the order of the jobs' turns. */
  readonly assignments: NewAssignment[];
  /** Keys of the chunks that hold urgent work. */
  readonly urgentKeys: Set<string>;
}
