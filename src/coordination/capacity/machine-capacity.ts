/** Room on machines: what tasks take, what is left, and what other work could free. */
import type { MachineHealth } from '../../storage/records.js';
import type { JobSpec } from '../../protocol/model.js';
import { isUrgent } from './priorities.js';
import { resourcesOf, type Resources } from './resources.js';

/** Amounts on a machine, with what other work there could leave to more. */
export interface MachineResources extends Resources {
  /** Tasks placed on it. */
  tasks: number;
  /** CPUs and memory of tasks that rank below `high`: what urgent work could take. */
  preemptibleCpus: number;
  preemptibleMemoryGb: number;
  /** CPUs and memory of arrays: what ends there by itself. */
  arrayCpus: number;
  arrayMemoryGb: number;
}

/** A machine as the leader counts it: the amounts are those that are free. */
export interface MachineCapacity extends MachineResources {
  name: string;
  shard: string;
  type: string;
  zone: string;
  spot: boolean;
  health: MachineHealth | 'booting';
}

/** Tasks of a job for which no room was found. */
export interface UnmetDemand {
  spec: JobSpec;
  count: number;
  /** Time of day of its acceptance in ms. */
  acceptedAt: number;
}

/** The fleet as the leader's last round left it, with the demand that it does not meet. */
export interface FleetSnapshot {
  machines: MachineCapacity[];
  unmetDemand: UnmetDemand[];
  /** CPUs that lower work will take if it goes on arriving as it did lately. */
  expectedCpus: number;
  /** The array of lower work that arrived last. */
  lastArray: JobSpec | null;
  /** The largest gang of each class that arrived lately. */
  recentGangs: JobSpec[];
}

/** Whether a job's tasks may run on a machine, by its type, its zone and whether it is spot. */
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

/** What makes room on a machine: urgent work stops lower work, other work waits for arrays to end. */
export type ReclaimMode = 'preemptArrays' | 'preempt' | 'awaitCompletion';

/** How the leader counts on room being made for a job. */
export const reclaimModeFor = (spec: JobSpec): ReclaimMode =>
  isUrgent(spec) ? 'preempt' : 'awaitCompletion';

/**
 * The ways to make room for a job, the least costly first: a task of an array that is stopped loses
 * its own work, one of a gang that of the whole gang.
 */
export const reclaimModesFor = (spec: JobSpec): readonly ReclaimMode[] =>
  reclaimModeFor(spec) === 'preempt' ? ['preemptArrays', 'preempt'] : ['awaitCompletion'];

/** What other work leaves on a machine when it makes room. */
function reclaimableAmounts(
  machine: MachineCapacity,
  mode: ReclaimMode,
): { cpus: number; memoryGb: number } {
  const {
    preemptibleCpus,
    preemptibleMemoryGb,
    arrayCpus: endingCpus,
    arrayMemoryGb: endingMemoryGb,
  } = machine;
  switch (mode) {
    case 'preempt':
      return { cpus: preemptibleCpus, memoryGb: preemptibleMemoryGb };
    case 'awaitCompletion':
      return { cpus: endingCpus, memoryGb: endingMemoryGb };
    case 'preemptArrays':
      // Arrays may be urgent themselves.
      return {
        cpus: Math.min(preemptibleCpus, endingCpus),
        memoryGb: Math.min(preemptibleMemoryGb, endingMemoryGb),
      };
  }
}

/** The room that a machine has once other work has made some. */
export function reclaimableCapacity(machine: MachineCapacity, mode: ReclaimMode): Resources {
  const { cpus, memoryGb } = reclaimableAmounts(machine, mode);
  return {
    cpus: machine.cpus + cpus,
    gpus: machine.gpus,
    memoryGb: machine.memoryGb + memoryGb,
  };
}

/** Takes the room of so many tasks from a machine: what is free, and the rest from other work. */
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

/** Takes the room of so many tasks of a job from a machine. */
export function allocateTasks(machine: MachineCapacity, spec: JobSpec, count: number): void {
  const allocated = resourcesOf(spec, count);
  machine.cpus -= allocated.cpus;
  machine.gpus -= allocated.gpus;
  machine.memoryGb -= allocated.memoryGb;
  machine.tasks += count;
}
