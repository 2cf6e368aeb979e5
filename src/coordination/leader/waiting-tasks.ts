/** Occupies room for tasks that were assigned to a part earlier and still wait there. */
import type { JobSpec } from '../../protocol/model.js';
import type { AssignmentSummary, JobRecord } from '../../storage/records.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import { isEligible, allocateTasks, type MachineCapacity } from '../capacity/machine-capacity.js';
import type { CapacityAccounting } from '../capacity/capacity-accounting.js';
import { countFittingTasks } from '../capacity/resources.js';
import { shardZoneKey } from '../capacity/shard-zone.js';
import type { SchedulingCycle } from './scheduling-cycle.js';
import { allocateInShardZone } from './capacity-allocation.js';

/** Share of a place's machines that must have become full for its list to be shortened. */
const FULL_SHARE = 1 / 4;

/** Machines with free CPUs, by place. */
type FreeMachines = Map<string, readonly MachineCapacity[]>;

/** Most machines of a busy fleet are full: those are not looked at again for each chunk. */
function freeMachinesByShardZone(machines: readonly MachineCapacity[]): FreeMachines {
  const machinesByShardZone = new Map<string, MachineCapacity[]>();
  for (const machine of machines) {
    if (machine.cpus <= 0) continue;
    const key = shardZoneKey(machine.shard, machine.zone);
    const known = machinesByShardZone.get(key);
    if (known) known.push(machine);
    else machinesByShardZone.set(key, [machine]);
  }
  return machinesByShardZone;
}

/** Occupies free room as the part's first fit will; returns how many tasks found none. */
function allocateFirstFit(
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
  if (fullMachines > machines.length * FULL_SHARE) {
    free.set(
      key,
      machines.filter((machine) => machine.cpus > 0),
    );
  }
  return remaining;
}

/** Occupies room to come for waiting tasks of a chunk, and records them as unmet demand. */
function addUnmetDemand(
  { spec, at: acceptedAt }: JobRecord,
  assignment: AssignmentSummary,
  count: number,
  cycle: SchedulingCycle,
): void {
  const isGang = assignment.attempt !== null;
  // Its part reserves room to come for a gang: other jobs must not count on it.
  if (isGang) allocateInShardZone(spec, assignment, count, cycle.machines);
  const queue = cycle.queues.get(shardZoneKey(assignment.shard, assignment.zone));
  if (queue) queue.waitingCpus += count * spec.cpus;
  // A gang's machines must be where the rest of it has its room.
  const demand = isGang && spec.oneZone ? { ...spec, zone: assignment.zone } : spec;
  cycle.unmetDemand.push({ spec: demand, count, acceptedAt });
}

/** Occupies room for all waiting tasks of open jobs; those without free room join the queues. */
export function allocateForWaitingTasks(
  cycle: SchedulingCycle,
  accounting: CapacityAccounting,
  replica: StoreReplica,
): void {
  const free = freeMachinesByShardZone(cycle.machines);
  for (const assignment of accounting.waiting.values()) {
    const job = replica.job(assignment.job);
    if (!job) continue;
    const remaining = allocateFirstFit(job.spec, assignment, free, cycle.reservedMachineNames);
    if (remaining > 0) addUnmetDemand(job, assignment, remaining, cycle);
  }
}
