/** State that the steps of one scheduling cycle share. */
import type { MachineCapacity, UnmetDemand } from '../capacity/machine-capacity.js';
import type { ShardZoneQueue } from './shard-queues.js';
import type { NewAssignment } from './assignment-factory.js';

/** One scheduling cycle: its input, and the assignments and unmet demand that it results in. */
export interface SchedulingCycle {
  /** Start of the cycle on the monotonic clock, in ms. */
  readonly startedAt: number;
  /** All machines, including those that boot or accept no new tasks. */
  readonly fleet: MachineCapacity[];
  /** Healthy machines; their free capacity decreases as tasks are assigned. */
  readonly machines: readonly MachineCapacity[];
  /** The healthy machines without those reserved for the next gang. */
  readonly unreservedMachines: readonly MachineCapacity[];
  /** Names of the machines reserved for the next gang. */
  readonly reservedMachineNames: ReadonlySet<string>;
  /** Queues by the key of their shard zone. */
  readonly queues: ReadonlyMap<string, ShardZoneQueue>;
  /** Tasks for which there is no capacity. */
  readonly unmetDemand: UnmetDemand[];
  /** New assignments, in the scheduling order of their jobs. */
  readonly assignments: NewAssignment[];
  /** Keys of the assignments of urgent work. */
  readonly urgentAssignmentKeys: Set<string>;
}
