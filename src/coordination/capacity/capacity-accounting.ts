/** The leader's running sums over all chunks. */

import { ACCOUNTING_REBUILD_MS } from '../../constants/capacity.js';
import { ASSIGNMENTS, JOBS } from '../../storage/keys.js';
import type { AssignmentSummary } from '../../storage/records.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { JobSpec } from '../../protocol/model.js';
import type { Clock } from '../../transport/clock.js';
import type { MachineResources } from './machine-capacity.js';
import { isUrgent } from './priorities.js';
import { shardZoneKey } from './shard-zone.js';

/** What a team uses. */
export interface Usage {
  cpus: number;
  gpus: number;
}

/** What is placed on a machine. */
export type MachineUsage = MachineResources;

/** The sums of a machine on which nothing is placed. */
export function emptyMachineUsage(): MachineUsage {
  return {
    cpus: 0,
    gpus: 0,
    memoryGb: 0,
    tasks: 0,
    preemptibleCpus: 0,
    preemptibleMemoryGb: 0,
    arrayCpus: 0,
    arrayMemoryGb: 0,
  };
}

/** How many tasks of a job are assigned to parts, done, and placed on machines. */
export interface Progress {
  assigned: number;
  done: number;
  placed: number;
}

/** How many tasks of a job must be done for it to be over: of a gang, which ends as a whole, one. */
export function doneTasksToComplete(spec: JobSpec): number {
  if (spec.kind === 'service') return Infinity;
  return spec.kind === 'gang' ? 1 : spec.tasks;
}

/** What one chunk adds to the sums, stored so that exactly this can be subtracted again. */
interface Entry {
  assignment: AssignmentSummary;
  isLowPriority: boolean;
  isArray: boolean;
  /** CPUs that end in a second. */
  endingCpusPerS: number;
}

/**
 * The leader's sums over all chunks, updated with each change of one: the cost of a round then
 * depends on what is open and free, not on what runs. They are calculated anew now and then, since
 * sums of decimals drift.
 */
export class CapacityAccounting {
  private entries = new Map<string, Entry>();
  /** What is placed on each machine. */
  readonly machines = new Map<string, MachineUsage>();
  /** What each team uses. */
  readonly teams = new Map<string, Usage>();
  /** How far each job has got. */
  readonly jobs = new Map<string, Progress>();
  /** CPUs of arrays that end in a second, by place. */
  readonly endingCpusPerS = new Map<string, number>();
  /** Chunks of open jobs with tasks that wait for a place. */
  readonly waiting = new Map<string, AssignmentSummary>();
  /** Arrays that seem to be done. */
  readonly completionCandidates = new Set<string>();
  private builtAt = -Infinity;

  constructor(
    private readonly replica: StoreReplica,
    private readonly clock: Clock,
  ) {}

  /** Called before a round: calculates the sums anew when that is due. */
  refresh(): void {
    const now = this.clock.now();
    if (now - this.builtAt < ACCOUNTING_REBUILD_MS) return;
    this.builtAt = now;
    this.entries = new Map();
    for (const sums of [this.machines, this.teams, this.jobs, this.endingCpusPerS, this.waiting]) {
      sums.clear();
    }
    this.completionCandidates.clear();
    for (const key of this.replica.assignmentKeys()) this.add(key);
  }

  /** A key changed in the replica. */
  changed(key: string): void {
    if (key.startsWith(ASSIGNMENTS)) this.recount(key);
    else if (key.startsWith(JOBS)) {
      for (const assignment of this.replica.assignmentKeysOf(key.slice(JOBS.length)))
        this.recount(assignment);
    }
  }

  private recount(key: string): void {
    const entry = this.entries.get(key);
    if (entry) {
      this.entries.delete(key);
      this.waiting.delete(key);
      this.applyEntry(entry, -1);
    }
    this.add(key);
  }

  private add(key: string): void {
    const assignment = this.replica.assignment(key);
    if (!assignment) return;
    const spec: JobSpec | null = this.replica.job(assignment.job)?.spec ?? null;
    const hasEnd = spec !== null && spec.kind !== 'service';
    const entry: Entry = {
      assignment,
      isLowPriority: spec === null || !isUrgent(spec),
      isArray: spec?.kind === 'array',
      endingCpusPerS: hasEnd
        ? (assignment.placedCount * assignment.cpus) / Math.max(1, spec.estimateS)
        : 0,
    };
    this.entries.set(key, entry);
    this.applyEntry(entry, 1);
    if (spec && assignment.waiting > 0) this.waiting.set(key, assignment);
    const done = this.jobs.get(assignment.job)?.done ?? 0;
    if (spec && done >= doneTasksToComplete(spec)) this.completionCandidates.add(assignment.job);
  }

  /** Adds what a chunk counts for, or subtracts it. */
  private applyEntry(entry: Entry, sign: 1 | -1): void {
    const { assignment, endingCpusPerS } = entry;
    this.applyToTeam(assignment, sign);
    this.applyToJob(assignment, sign);
    if (endingCpusPerS > 0) {
      const shardZone = shardZoneKey(assignment.shard, assignment.zone);
      this.endingCpusPerS.set(
        shardZone,
        (this.endingCpusPerS.get(shardZone) ?? 0) + sign * endingCpusPerS,
      );
    }
    for (const name of assignment.machines) this.applyToMachine(name, entry, sign);
  }

  private applyToTeam(assignment: AssignmentSummary, sign: 1 | -1): void {
    const usage = this.teams.get(assignment.team) ?? { cpus: 0, gpus: 0 };
    this.teams.set(assignment.team, usage);
    usage.cpus += sign * assignment.unfinished * assignment.cpus;
    usage.gpus += sign * assignment.unfinished * assignment.gpus;
  }

  private applyToJob(assignment: AssignmentSummary, sign: 1 | -1): void {
    const progress = this.jobs.get(assignment.job) ?? { assigned: 0, done: 0, placed: 0 };
    this.jobs.set(assignment.job, progress);
    progress.assigned += sign * assignment.ids.length;
    progress.done += sign * assignment.done;
    progress.placed += sign * assignment.placedCount;
    if (progress.assigned === 0) this.jobs.delete(assignment.job);
  }

  private applyToMachine(
    machine: string,
    { assignment, isLowPriority, isArray }: Entry,
    sign: 1 | -1,
  ): void {
    const placed = this.machines.get(machine) ?? emptyMachineUsage();
    this.machines.set(machine, placed);
    placed.cpus += sign * assignment.cpus;
    placed.gpus += sign * assignment.gpus;
    placed.memoryGb += sign * assignment.memoryGb;
    placed.tasks += sign;
    if (isLowPriority) {
      placed.preemptibleCpus += sign * assignment.cpus;
      placed.preemptibleMemoryGb += sign * assignment.memoryGb;
    }
    if (isArray) {
      placed.arrayCpus += sign * assignment.cpus;
      placed.arrayMemoryGb += sign * assignment.memoryGb;
    }
    if (placed.tasks === 0) this.machines.delete(machine);
  }
}
