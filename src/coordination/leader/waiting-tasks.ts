/**
 * Allocates capacity for tasks that were assigned to a shard in an earlier cycle and are not placed
 * yet.
 */
import type { JobSpec } from '../../protocol/model.js';
import type { AssignmentSummary, JobRecord } from '../../storage/records.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import { isEligible, allocateTasks, type MachineCapacity } from '../capacity/machine-capacity.js';
import type { CapacityAccounting } from '../capacity/capacity-accounting.js';
import { countFittingTasks } from '../capacity/resources.js';
import { shardZoneKey } from '../capacity/shard-zone.js';
import type { SchedulingCycle } from './scheduling-cycle.js';
import { allocateInShardZone } from './capacity-allocation.js';

/**
 * If one assignment uses up the free CPUs of more than this fraction of a shard zone's listed
 * machines, all machines without free CPUs are removed from the list.
 */
const FULL_MACHINES_FRACTION = 1 / 4;

/** Machines with free CPUs, by the key of their shard zone. */
type FreeMachines = Map<string, readonly MachineCapacity[]>;

/**
 * Returns the machines with free CPUs by shard zone. In a busy fleet most machines have none, and
 * leaving them out saves visiting them for each assignment.
 */
function freeMachinesByShardZone(machines: readonly MachineCapacity[]): FreeMachines {
  const machinesByShardZone = new Map<string, MachineCapacity[]>();
  for (const machine of machines) {
    if (machine.cpus <= 0) continue;
    const key = shardZoneKey(machine.shard, machine.zone);
    const existing = machinesByShardZone.get(key);
    if (existing) existing.push(machine);
    else machinesByShardZone.set(key, [machine]);
  }
  return machinesByShardZone;
}

/**
 * Allocates free capacity of an assignment's shard zone to its waiting tasks, by first fit as the
 * shard itself does. Returns how many of these tasks found no free capacity.
 */
function allocateInShardOrder(
  spec: JobSpec,
  assignment: AssignmentSummary,
  free: FreeMachines,
  reserved: ReadonlySet<string>,
): number {
  const key = shardZoneKey(assignment.shard, assignment.zone);
  const machines = free.get(key) ?? [];
  let remaining = assignment.waiting;
  let fullMachines = 0;
  for (const machine of machines) {
    if (remaining === 0) break;
    if (machine.cpus < spec.cpus || !isEligible(spec, machine)) continue;
    if (spec.kind === 'array' && reserved.has(machine.name)) continue;
    const count = Math.min(remaining, countFittingTasks(machine, spec));
    allocateTasks(machine, spec, count);
    remaining -= count;
    if (machine.cpus <= 0) fullMachines++;
  }
  if (fullMachines > machines.length * FULL_MACHINES_FRACTION) {
    free.set(
      key,
      machines.filter((machine) => machine.cpus > 0),
    );
  }
  return remaining;
}

/**
 * Records waiting tasks of an assignment as unmet demand, and counts them in the queue of its shard
 * zone. For a gang, also allocates the capacity that will be reclaimed.
 */
function addUnmetDemand(
  { spec, at: acceptedAt }: JobRecord,
  assignment: AssignmentSummary,
  count: number,
  cycle: SchedulingCycle,
): void {
  const isGang = assignment.attempt !== null;
  // The shard reserves the reclaimed capacity for the gang, so other jobs must not count it.
  if (isGang) allocateInShardZone(spec, assignment, count, cycle.machines);
  const queue = cycle.queues.get(shardZoneKey(assignment.shard, assignment.zone));
  if (queue) queue.waitingCpus += count * spec.cpus;
  // Machines for a gang that must stay in one zone must be rented in the zone of its other tasks.
  const demand = isGang && spec.oneZone ? { ...spec, zone: assignment.zone } : spec;
  cycle.unmetDemand.push({ spec: demand, count, acceptedAt });
}

/**
 * Allocates capacity for all waiting tasks of open jobs. Tasks without free capacity are counted in
 * the queues and as unmet demand.
 */
export function allocateForWaitingTasks(
  cycle: SchedulingCycle,
  accounting: CapacityAccounting,
  replica: StoreReplica,
): void {
  const free = freeMachinesByShardZone(cycle.machines);
  for (const assignment of accounting.waiting.values()) {
    const job = replica.job(assignment.job);
    if (!job) continue;
    const remaining = allocateInShardOrder(job.spec, assignment, free, cycle.reservedMachineNames);
    if (remaining > 0) addUnmetDemand(job, assignment, remaining, cycle);
  }
}
