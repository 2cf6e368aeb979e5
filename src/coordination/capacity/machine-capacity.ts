/** Free and reclaimable capacity of machines. */
import type { MachineHealth } from '../../storage/records.js';
import type { JobSpec } from '../../protocol/model.js';
import { isUrgent } from './priorities.js';
import { resourcesOf, type Resources } from './resources.js';

/** Resources of a machine, and those of tasks that other work may reclaim. */
export interface MachineResources extends Resources {
  /** Number of placed tasks. */
  tasks: number;
  /** CPUs and memory of tasks that rank below `high`: urgent work may preempt them. */
  preemptibleCpus: number;
  preemptibleMemoryGb: number;
  /** CPUs and memory of arrays: they become free when these end. */
  arrayCpus: number;
  arrayMemoryGb: number;
}

/** A machine as the leader counts it: the resources are those that are free. */
export interface MachineCapacity extends MachineResources {
  name: string;
  shard: string;
  type: string;
  zone: string;
  spot: boolean;
  health: MachineHealth | 'booting';
}

/** Tasks of a job without capacity. */
export interface UnmetDemand {
  spec: JobSpec;
  count: number;
  /** Wall-clock time of acceptance of the job, in ms. */
  acceptedAt: number;
}

/** The fleet after the last scheduling cycle, and the demand that it does not meet. */
export interface FleetSnapshot {
  machines: MachineCapacity[];
  unmetDemand: UnmetDemand[];
  /** CPUs that non-urgent arrays are expected to need, by their recent rate of arrival. */
  expectedCpus: number;
  /** The non-urgent array that arrived last; null: none did. */
  lastArray: JobSpec | null;
  /** The largest gang of each class that arrived recently. */
  recentGangs: JobSpec[];
}

/**
 * Whether a job's tasks may run on a machine, by its type and zone and whether it is a spot
 * instance.
 */
export function isEligible(
  spec: JobSpec,
  machine: { type: string; zone: string; spot: boolean },
): boolean {
  return (
    (spec.types === null || spec.types.includes(machine.type)) &&
    (spec.zone === null || spec.zone === machine.zone) &&
    (spec.spot || !machine.spot)
  );
}

/**
 * How capacity is reclaimed: urgent work preempts arrays alone or any non-urgent work, other work
 * waits for arrays to complete.
 */
export type ReclaimMode = 'preemptArrays' | 'preempt' | 'awaitCompletion';

/** The mode by which the leader counts on capacity to be reclaimed for a job. */
export const broadestReclaimMode = (spec: JobSpec): ReclaimMode =>
  isUrgent(spec) ? 'preempt' : 'awaitCompletion';

/**
 * The modes for a job, the cheapest first: a preempted task of an array loses its own work, one of
 * a gang the work of the whole gang.
 */
export const reclaimModesByCost = (spec: JobSpec): readonly ReclaimMode[] =>
  broadestReclaimMode(spec) === 'preempt' ? ['preemptArrays', 'preempt'] : ['awaitCompletion'];

/** What reclaiming frees on a machine. */
function reclaimableAmounts(
  machine: MachineCapacity,
  mode: ReclaimMode,
): { cpus: number; memoryGb: number } {
  const { preemptibleCpus, preemptibleMemoryGb, arrayCpus, arrayMemoryGb } = machine;
  switch (mode) {
    case 'preempt':
      return { cpus: preemptibleCpus, memoryGb: preemptibleMemoryGb };
    case 'awaitCompletion':
      return { cpus: arrayCpus, memoryGb: arrayMemoryGb };
    case 'preemptArrays':
      // Arrays may be urgent themselves: these are not preempted.
      return {
        cpus: Math.min(preemptibleCpus, arrayCpus),
        memoryGb: Math.min(preemptibleMemoryGb, arrayMemoryGb),
      };
  }
}

/** What a machine has free after reclaiming. */
export function reclaimableCapacity(machine: MachineCapacity, mode: ReclaimMode): Resources {
  const { cpus, memoryGb } = reclaimableAmounts(machine, mode);
  return {
    cpus: machine.cpus + cpus,
    gpus: machine.gpus,
    memoryGb: machine.memoryGb + memoryGb,
  };
}

/** Allocates tasks on a machine: what is free, and the rest from reclaimed capacity. */
export function allocateReclaimable(machine: MachineCapacity, spec: JobSpec, count: number): void {
  const allocated = resourcesOf(spec, count);
  const cpus = Math.max(0, allocated.cpus - Math.max(0, machine.cpus));
  const memoryGb = Math.max(0, allocated.memoryGb - Math.max(0, machine.memoryGb));
  allocateTasks(machine, spec, count);
  machine.cpus += cpus;
  machine.memoryGb += memoryGb;
  machine.preemptibleCpus -= cpus;
  machine.preemptibleMemoryGb -= memoryGb;
  machine.arrayCpus -= cpus;
  machine.arrayMemoryGb -= memoryGb;
}

/** Allocates tasks on a machine from what is free. */
export function allocateTasks(machine: MachineCapacity, spec: JobSpec, count: number): void {
  const allocated = resourcesOf(spec, count);
  machine.cpus -= allocated.cpus;
  machine.gpus -= allocated.gpus;
  machine.memoryGb -= allocated.memoryGb;
  machine.tasks += count;
}
