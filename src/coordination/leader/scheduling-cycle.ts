/** Defines the state that the steps of one scheduling cycle use in common. */
import type { MachineCapacity, UnmetDemand } from '../capacity/machine-capacity.js';
import type { ShardZoneQueue } from './shard-queues.js';
import type { NewAssignment } from './assignment-factory.js';

/** One scheduling cycle: its input, and the resulting assignments and unmet demand. */
export interface SchedulingCycle {
  /** Start of the cycle by the steady clock, in ms. */
  readonly startedAt: number;
  /** All machines, including those that are booting or must not get new tasks. */
  readonly fleet: MachineCapacity[];
  /**
   * Healthy machines in shards that may get new tasks. Their free capacity decreases as tasks are
   * assigned.
   */
  readonly machines: readonly MachineCapacity[];
  /** The same machines without those that are reserved for the next gang. */
  readonly unreservedMachines: readonly MachineCapacity[];
  /** Names of the machines that are reserved for the next gang. */
  readonly reservedMachineNames: ReadonlySet<string>;
  /** Queues by the key of their shard zone. */
  readonly queues: ReadonlyMap<string, ShardZoneQueue>;
  /** Tasks without free capacity. */
  readonly unmetDemand: UnmetDemand[];
  /** New assignments, in the scheduling order of their jobs. */
  readonly assignments: NewAssignment[];
  /** Keys of the assignments of urgent work and of gangs. */
  readonly urgentAssignmentKeys: Set<string>;
}
