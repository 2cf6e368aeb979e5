/** Computes and allocates the free and the reclaimable capacity of machines. */
import type { MachineHealth } from '../../storage/records.js';
import type { JobSpec } from '../../protocol/model.js';
import { isUrgent } from './priorities.js';
import { resourcesOf, type Resources } from './resources.js';

/**
 * Resources of a machine (the free ones in `MachineCapacity`, the used ones in `MachineUsage`), and
 * resources of its placed tasks that other work may reclaim.
 */
export interface MachineResources extends Resources {
  /** Number of placed tasks. */
  tasks: number;
  /** CPUs and memory of tasks with a priority below `high`, which urgent work may preempt. */
  preemptibleCpus: number;
  preemptibleMemoryGb: number;
  /** CPUs and memory of tasks of arrays, which become free when these tasks end. */
  arrayCpus: number;
  arrayMemoryGb: number;
}

/**
 * A machine in the leader's accounting. Its `cpus`, `gpus` and `memoryGb` are those that are free.
 */
export interface MachineCapacity extends MachineResources {
  name: string;
  shard: string;
  type: string;
  zone: string;
  spot: boolean;
  health: MachineHealth | 'booting';
}

/** Tasks of a job that have no capacity. */
export interface UnmetDemand {
  spec: JobSpec;
  count: number;
  /** Wall-clock time in ms at which the job was accepted. */
  acceptedAt: number;
}

/** The machines after the last scheduling cycle, and the demand that they do not meet. */
export interface FleetSnapshot {
  machines: MachineCapacity[];
  unmetDemand: UnmetDemand[];
  /** CPUs that non-urgent arrays are expected to need if they arrive at their recent rate. */
  expectedCpus: number;
  /** The non-urgent array that arrived last; null: none has arrived. */
  lastArray: JobSpec | null;
  /** The largest recently submitted gang of each class. */
  recentGangs: JobSpec[];
}

/**
 * Returns whether a job's tasks may run on a machine, according to the machine's type, its zone,
 * and whether it is a spot instance. Free capacity is not considered.
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
 * Way in which capacity is reclaimed. `preemptArrays`: by preempting non-urgent arrays; `preempt`:
 * by preempting any non-urgent work; `awaitCompletion`: by waiting until tasks of arrays end.
 * Urgent work uses the first two, other work the third.
 */
export type ReclaimMode = 'preemptArrays' | 'preempt' | 'awaitCompletion';

/** Returns the mode by which the most capacity can be reclaimed for a job. */
export const broadestReclaimMode = (spec: JobSpec): ReclaimMode =>
  isUrgent(spec) ? 'preempt' : 'awaitCompletion';

/**
 * Returns the modes in which a job may reclaim capacity, the cheapest first. Preempting a task of
 * an array loses the work of that task, preempting a task of a gang loses the work of the whole
 * gang.
 */
export const reclaimModesByCost = (spec: JobSpec): readonly ReclaimMode[] =>
  broadestReclaimMode(spec) === 'preempt' ? ['preemptArrays', 'preempt'] : ['awaitCompletion'];

/** Returns the CPUs and memory that reclaiming in this mode frees on a machine. */
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
      // The sums for arrays include urgent arrays, which are not preempted. The smaller of the
      // preemptible sum and the array sum therefore limits what can be freed.
      return {
        cpus: Math.min(preemptibleCpus, arrayCpus),
        memoryGb: Math.min(preemptibleMemoryGb, arrayMemoryGb),
      };
  }
}

/** Returns the resources that are free on a machine after reclaiming. */
export function reclaimableCapacity(machine: MachineCapacity, mode: ReclaimMode): Resources {
  const { cpus, memoryGb } = reclaimableAmounts(machine, mode);
  return {
    cpus: machine.cpus + cpus,
    gpus: machine.gpus,
    memoryGb: machine.memoryGb + memoryGb,
  };
}

/** Allocates tasks on a machine, from its free resources first and then from reclaimable ones. */
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

/** Allocates tasks on a machine from its free resources. */
export function allocateTasks(machine: MachineCapacity, spec: JobSpec, count: number): void {
  const allocated = resourcesOf(spec, count);
  machine.cpus -= allocated.cpus;
  machine.gpus -= allocated.gpus;
  machine.memoryGb -= allocated.memoryGb;
  machine.tasks += count;
}
