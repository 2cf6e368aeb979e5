/** Computes for which tasks, and for how many CPUs, the present machines do not suffice. */
import {
  COMING_SHARE,
  ESTIMATE_MARGIN,
  LATE_BOOTS,
  RUNNING_LEFT_S,
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

/** Boot time of the machine type that boots fastest. */
function quickestBootS(types: readonly MachineType[]): number {
  return types.reduce((least, type) => Math.min(least, type.bootS), Infinity);
}

/**
 * CPUs that lower work needs from now until machines rented now have been up for a while: what
 * runs, what waits, and as much as came lately, since a boot takes longer than many a deadline.
 */
export function neededCpus(snapshot: FleetSnapshot, types: readonly MachineType[]): number {
  let workCpuS = 0;
  for (const machine of snapshot.machines) workCpuS += machine.preemptibleCpus * RUNNING_LEFT_S;
  for (const { spec, count } of snapshot.unmetDemand) {
    if (spec.kind !== 'service') workCpuS += count * spec.cpus * Math.max(1, spec.estimateS);
  }
  return workCpuS / (quickestBootS(types) * LATE_BOOTS) + snapshot.expectedCpus * COMING_SHARE;
}

/**
 * Of the tasks that found no room, those for which the present machines will not have room in time:
 * a machine takes as long to boot as many a task runs, so what the present machines can finish by
 * its deadline waits for them. Jobs without a deadline count as due at once. Work that is expected
 * from the recent rate of arrivals comes last.
 */
export function demandBeyondFleet(input: DemandInput): TaskDemand[] {
  const { snapshot, booting, types, wall } = input;
  const presentCpus = cpusOfFleet(snapshot, booting);
  const bootS = quickestBootS(types);
  const demand: TaskDemand[] = [];
  // CPU seconds ahead of a job: what runs is half done on average.
  let aheadCpuS = 0;
  for (const machine of snapshot.machines) aheadCpuS += machine.preemptibleCpus * RUNNING_LEFT_S;
  for (const unmet of byUrgency(snapshot.unmetDemand)) {
    const { spec, count } = unmet;
    if (spec.kind === 'service' || spec.deadlineS === null || spec.cpus <= 0) {
      demand.push({ spec, count });
      continue;
    }
    const runS = Math.max(1, spec.estimateS) * ESTIMATE_MARGIN;
    // What would be late even on a machine rented now does not justify renting at any price: it is
    // to be done within a few boots from now.
    const untilDueS = (dueAt(unmet) - wall) / 1000 - runS;
    const slackS = Math.max(untilDueS, bootS * LATE_BOOTS);
    const workCpuS = count * spec.cpus * runS;
    const inTimeCpuS = Math.max(0, presentCpus * slackS - aheadCpuS);
    const late = Math.min(count, Math.ceil((workCpuS - inTimeCpuS) / (spec.cpus * runS)));
    aheadCpuS += workCpuS;
    if (late <= 0) continue;
    // Each new slot runs several tasks in a row where the deadline leaves time for it.
    const rounds = Math.max(1, Math.floor((slackS - bootS) / runS) + 1);
    demand.push({ spec, count: Math.ceil(late / rounds) });
  }
  const expected = expectedDemand(input, presentCpus, demand);
  return expected ? [...demand, expected] : demand;
}

/** Tasks like the last one, for as many needed CPUs as the fleet and the demand so far lack. */
function expectedDemand(
  { snapshot, types }: DemandInput,
  presentCpus: number,
  demand: readonly TaskDemand[],
): TaskDemand | null {
  const { lastArray } = snapshot;
  if (!lastArray) return null;
  const cpus = demand.reduce((sum, { spec, count }) => sum + count * spec.cpus, presentCpus);
  const missing = neededCpus(snapshot, types) - cpus;
  if (missing <= 0) return null;
  return { spec: lastArray, count: Math.ceil(missing / lastArray.cpus) };
}

/** CPUs of healthy machines, free or used by lower work, and of booting machines. */
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
