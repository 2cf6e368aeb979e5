/** Computes for which tasks, and for how many CPUs, the present fleet does not suffice. */

import {
  EXPECTED_WORK_SHARE,
  ESTIMATE_MARGIN,
  LATE_TASK_BOOT_TIMES,
  ASSUMED_REMAINING_RUN_S,
} from '../../constants/autoscaling.js';
import { rankOf, type JobSpec, type MachineType } from '../../protocol/model.js';
import type { FleetSnapshot, MachineCapacity, UnmetDemand } from '../capacity/machine-capacity.js';

/** Tasks of one kind. */
export interface TaskDemand {
  readonly spec: JobSpec;
  readonly count: number;
}

/** What the demand is computed from. */
export interface DemandInput {
  readonly snapshot: FleetSnapshot;
  /** Machines that were rented and are not up yet. */
  readonly booting: readonly MachineCapacity[];
  readonly types: readonly MachineType[];
  /** Time of day in ms. */
  readonly wall: number;
}

/** What is ahead of a job in the queue, and what will work on it. */
interface QueueState {
  /** CPUs of the fleet, booting machines included. */
  readonly fleetCpus: number;
  /** Boot time of the machine type that boots fastest. */
  readonly bootS: number;
  /** Time of day in ms. */
  readonly wall: number;
  /** CPU seconds of work ahead of the job. */
  readonly aheadCpuS: number;
}

/** Boot time of the machine type that boots fastest. */
function fastestBootS(types: readonly MachineType[]): number {
  return types.reduce((least, type) => Math.min(least, type.bootS), Infinity);
}

/** CPU seconds that running preemptible work is taken to have left. */
function remainingCpuS({ machines }: FleetSnapshot): number {
  let cpuS = 0;
  for (const machine of machines) cpuS += machine.preemptibleCpus * ASSUMED_REMAINING_RUN_S;
  return cpuS;
}

/**
 * CPUs that preemptible work needs from now until machines rented now have been up for a while: what
 * runs, what waits, and as much as came lately, since a boot takes longer than many a deadline.
 */
export function neededCpus(snapshot: FleetSnapshot, types: readonly MachineType[]): number {
  let workCpuS = remainingCpuS(snapshot);
  for (const { spec, count } of snapshot.unmetDemand) {
    if (spec.kind !== 'service') workCpuS += count * spec.cpus * Math.max(1, spec.estimateS);
  }
  const periodS = fastestBootS(types) * LATE_TASK_BOOT_TIMES;
  return workCpuS / periodS + snapshot.expectedCpus * EXPECTED_WORK_SHARE;
}

/**
 * Of the tasks that fit nowhere, those for which the present fleet will not have capacity in time: a
 * machine takes as long to boot as many a task runs, so what the present fleet can finish by its
 * deadline waits for that. Jobs without a deadline count as due at once. Work that is expected from
 * the recent rate of arrivals comes last.
 */
export function demandBeyondFleet(input: DemandInput): TaskDemand[] {
  const { snapshot, booting, types, wall } = input;
  const fleetCpus = cpusOfFleet(snapshot, booting);
  const bootS = fastestBootS(types);
  const demand: TaskDemand[] = [];
  let aheadCpuS = remainingCpuS(snapshot);
  for (const unmet of byUrgency(snapshot.unmetDemand)) {
    const { spec, count } = unmet;
    if (spec.kind === 'service' || spec.deadlineS === null || spec.cpus <= 0) {
      demand.push({ spec, count });
      continue;
    }
    const countBeyond = tasksBeyondFleet(unmet, { fleetCpus, bootS, wall, aheadCpuS });
    if (countBeyond > 0) demand.push({ spec, count: countBeyond });
    aheadCpuS += count * spec.cpus * estimatedRunS(spec);
  }
  const expected = expectedDemand(input, fleetCpus, demand);
  return expected ? [...demand, expected] : demand;
}

/** For how many tasks at a time of a job with a deadline machines are to be rented. */
function tasksBeyondFleet(unmet: UnmetDemand, queue: QueueState): number {
  const { spec, count } = unmet;
  const { fleetCpus, bootS, wall, aheadCpuS } = queue;
  const runS = estimatedRunS(spec);
  // What would be late even on a machine rented now does not justify renting at any price: it is
  // to be done within a few boots from now.
  const untilLatestStartS = (dueAt(unmet) - wall) / 1000 - runS;
  const slackS = Math.max(untilLatestStartS, bootS * LATE_TASK_BOOT_TIMES);
  const workCpuS = count * spec.cpus * runS;
  const inTimeCpuS = Math.max(0, fleetCpus * slackS - aheadCpuS);
  const lateCount = Math.min(count, Math.ceil((workCpuS - inTimeCpuS) / (spec.cpus * runS)));
  if (lateCount <= 0) return 0;
  // A rented machine runs several tasks one after the other where the deadline leaves time for it.
  const tasksInSequence = Math.max(1, Math.floor((slackS - bootS) / runS) + 1);
  return Math.ceil(lateCount / tasksInSequence);
}

/** Seconds that a task is expected to run, with a margin for estimates that are too low. */
function estimatedRunS(spec: JobSpec): number {
  return Math.max(1, spec.estimateS) * ESTIMATE_MARGIN;
}

/** Tasks like the last one, for as many needed CPUs as fleet and demand so far lack; null: none. */
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

/** Time of day in ms by which a job is due; -Infinity: it has no deadline and is due at once. */
function dueAt({ spec, acceptedAt }: UnmetDemand): number {
  return spec.deadlineS === null ? -Infinity : acceptedAt + spec.deadlineS * 1000;
}

/** Higher priorities first, earlier deadlines first within a priority. */
function byUrgency(unmet: readonly UnmetDemand[]): UnmetDemand[] {
  return [...unmet].sort(
    (a, b) => rankOf(b.spec.priority) - rankOf(a.spec.priority) || dueAt(a) - dueAt(b),
  );
}
