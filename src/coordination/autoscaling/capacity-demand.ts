/** Computes the demand, in tasks and CPUs, that exceeds the capacity of the fleet. */

import {
  EXPECTED_WORK_FRACTION,
  RUN_ESTIMATE_FACTOR,
  LATE_TASK_BOOT_FACTOR,
  ASSUMED_REMAINING_RUN_S,
} from '../../constants/autoscaling.js';
import { rankOf, type JobSpec, type MachineType } from '../../protocol/model.js';
import type { FleetSnapshot, MachineCapacity, UnmetDemand } from '../capacity/machine-capacity.js';

/** A number of tasks with the same requirements. */
export interface TaskDemand {
  readonly spec: JobSpec;
  readonly count: number;
}

/** The state from which the demand beyond the fleet's capacity is computed. */
export interface DemandInput {
  readonly snapshot: FleetSnapshot;
  /** Rented machines that no shard has reported yet. */
  readonly booting: readonly MachineCapacity[];
  readonly types: readonly MachineType[];
  /** Wall-clock time in ms. */
  readonly wallMs: number;
}

/** The fleet's capacity, and the work that precedes a job in the queue. */
interface QueueState {
  /** CPUs of the fleet, booting machines included. */
  readonly fleetCpus: number;
  /** Seconds that the machine type with the fastest boot takes to boot. */
  readonly bootS: number;
  /** Wall-clock time in ms. */
  readonly wallMs: number;
  /** CPU seconds of the work that precedes the job. */
  readonly precedingCpuS: number;
}

/** Seconds that the type with the fastest boot takes to boot; Infinity if there is no type. */
function fastestBootS(types: readonly MachineType[]): number {
  return types.reduce((least, type) => Math.min(least, type.bootS), Infinity);
}

/** CPU seconds that the running preemptible tasks are assumed to need until they end. */
function remainingCpuS({ machines }: FleetSnapshot): number {
  let cpuS = 0;
  for (const machine of machines) cpuS += machine.preemptibleCpus * ASSUMED_REMAINING_RUN_S;
  return cpuS;
}

/**
 * CPUs that preemptible work needs on average from now until `LATE_TASK_BOOT_FACTOR` boot times
 * later, when machines rented now have been running for a while. The work consists of running
 * tasks, waiting tasks, and as many new tasks as the recent rate of arrivals predicts. New tasks
 * count in advance because many deadlines are shorter than a boot.
 */
export function neededCpus(snapshot: FleetSnapshot, types: readonly MachineType[]): number {
  let workCpuS = remainingCpuS(snapshot);
  for (const { spec, count } of snapshot.unmetDemand) {
    if (spec.kind !== 'service') workCpuS += count * spec.cpus * Math.max(1, spec.estimateS);
  }
  const periodS = fastestBootS(types) * LATE_TASK_BOOT_FACTOR;
  return workCpuS / periodS + snapshot.expectedCpus * EXPECTED_WORK_FRACTION;
}

/**
 * Returns those of the waiting tasks that the fleet can't finish in time. Tasks that the fleet can
 * finish by their deadlines wait for its capacity, because a new machine takes as long to boot as
 * many tasks run. Services and jobs without a deadline count in full. Tasks that the recent rate
 * of arrivals predicts come last.
 */
export function demandBeyondFleet(input: DemandInput): TaskDemand[] {
  const { snapshot, booting, types, wallMs } = input;
  const fleetCpus = cpusOfFleet(snapshot, booting);
  const bootS = fastestBootS(types);
  const demand: TaskDemand[] = [];
  let precedingCpuS = remainingCpuS(snapshot);
  for (const unmet of sortByUrgency(snapshot.unmetDemand)) {
    const { spec, count } = unmet;
    if (spec.kind === 'service' || spec.deadlineS === null || spec.cpus <= 0) {
      demand.push({ spec, count });
      continue;
    }
    const countBeyond = countTasksBeyondFleet(unmet, {
      fleetCpus,
      bootS,
      wallMs,
      precedingCpuS,
    });
    if (countBeyond > 0) demand.push({ spec, count: countBeyond });
    precedingCpuS += count * spec.cpus * estimatedRunS(spec);
  }
  const expected = expectedDemand(input, fleetCpus, demand);
  return expected ? [...demand, expected] : demand;
}

/**
 * Number of a job's tasks that rented machines should run at the same time, because the fleet can't
 * finish them by the job's deadline; 0: the fleet can.
 */
function countTasksBeyondFleet(unmet: UnmetDemand, queue: QueueState): number {
  const { spec, count } = unmet;
  const { fleetCpus, bootS, wallMs, precedingCpuS } = queue;
  const runS = estimatedRunS(spec);
  // Tasks that would be late even on a machine rented now don't justify renting at any price. They
  // are planned as if they had to start `LATE_TASK_BOOT_FACTOR` boot times from now.
  const untilLatestStartS = (dueAt(unmet) - wallMs) / 1000 - runS;
  const slackS = Math.max(untilLatestStartS, bootS * LATE_TASK_BOOT_FACTOR);
  const workCpuS = count * spec.cpus * runS;
  const inTimeCpuS = Math.max(0, fleetCpus * slackS - precedingCpuS);
  const lateCount = Math.min(count, Math.ceil((workCpuS - inTimeCpuS) / (spec.cpus * runS)));
  if (lateCount <= 0) return 0;
  // A rented machine runs several tasks in sequence if the deadline leaves enough time.
  const tasksInSequence = Math.max(1, Math.floor((slackS - bootS) / runS) + 1);
  return Math.ceil(lateCount / tasksInSequence);
}

/** Expected run time of a task in seconds, with a margin for estimates that are too low. */
function estimatedRunS(spec: JobSpec): number {
  return Math.max(1, spec.estimateS) * RUN_ESTIMATE_FACTOR;
}

/**
 * Returns tasks like those of the array that arrived last, enough to use the CPUs by which
 * `neededCpus` exceeds the CPUs of the fleet and of `demand`. Null if it does not exceed them, or
 * if no array has arrived.
 */
function expectedDemand(
  { snapshot, types }: DemandInput,
  fleetCpus: number,
  demand: readonly TaskDemand[],
): TaskDemand | null {
  const { lastArray } = snapshot;
  if (!lastArray) return null;
  const cpus = demand.reduce((sum, { spec, count }) => sum + count * spec.cpus, fleetCpus);
  const missingCpus = neededCpus(snapshot, types) - cpus;
  if (missingCpus <= 0) return null;
  return { spec: lastArray, count: Math.ceil(missingCpus / lastArray.cpus) };
}

/** CPUs of healthy machines, free or used by preemptible work, and of booting machines. */
function cpusOfFleet(snapshot: FleetSnapshot, booting: readonly MachineCapacity[]): number {
  let cpus = 0;
  for (const machine of snapshot.machines) {
    if (machine.health === 'ok') cpus += Math.max(0, machine.cpus) + machine.preemptibleCpus;
  }
  for (const machine of booting) cpus += machine.cpus;
  return cpus;
}

/** Wall-clock time in ms by which a job is due; -Infinity for a job without a deadline. */
function dueAt({ spec, acceptedAt }: UnmetDemand): number {
  return spec.deadlineS === null ? -Infinity : acceptedAt + spec.deadlineS * 1000;
}

/** Sorts by descending priority, then by deadline; jobs without a deadline come first. */
function sortByUrgency(unmet: readonly UnmetDemand[]): UnmetDemand[] {
  return [...unmet].sort(
    (a, b) => rankOf(b.spec.priority) - rankOf(a.spec.priority) || dueAt(a) - dueAt(b),
  );
}
