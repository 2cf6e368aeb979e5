/** Keeps sums of resources and tasks over all assignments, for the leader. */

import { ACCOUNTING_REBUILD_MS } from '../../constants/capacity.js';
import { ASSIGNMENTS, JOBS } from '../../storage/keys.js';
import type { AssignmentSummary } from '../../storage/records.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { JobSpec } from '../../protocol/model.js';
import type { Clock } from '../../transport/clock.js';
import type { MachineResources } from './machine-capacity.js';
import { isUrgent } from './priorities.js';
import { shardZoneKey } from './shard-zone.js';

/** CPUs and GPUs that a team uses. */
export interface Usage {
  cpus: number;
  gpus: number;
}

/** Resources of the tasks that are placed on a machine. */
export type MachineUsage = MachineResources;

/** Returns the sums for a machine without placed tasks. */
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

/** Numbers of tasks of a job that are assigned to shards, done, and placed on machines. */
export interface JobProgress {
  assigned: number;
  done: number;
  placed: number;
}

/**
 * Returns how many tasks must be done for a job to be complete. For a gang it is one, because a
 * gang ends as a whole. A service is never complete.
 */
export function doneTasksToComplete(spec: JobSpec): number {
  if (spec.kind === 'service') return Infinity;
  return spec.kind === 'gang' ? 1 : spec.tasks;
}

/**
 * Amounts that one assignment added to the sums, stored so that the same amounts can be subtracted
 * later.
 */
interface Contribution {
  assignment: AssignmentSummary;
  isPreemptible: boolean;
  isArray: boolean;
  /**
   * CPUs of the assignment's placed tasks that are expected to become free per second; 0 for a
   * service, whose tasks do not end, and for a job that is not open.
   */
  endingCpusPerS: number;
}

/**
 * Sums over all assignments, updated with each change of an assignment, so that the cost of a
 * scheduling cycle depends on open jobs and free capacity and not on the number of running tasks.
 * The sums are recalculated periodically, because rounding errors accumulate.
 */
export class CapacityAccounting {
  private contributions = new Map<string, Contribution>();
  /** Resources of placed tasks, by machine name. */
  readonly machines = new Map<string, MachineUsage>();
  /** Resources of assigned tasks that are not done, by team. */
  readonly teams = new Map<string, Usage>();
  /** Task counts by job. */
  readonly jobs = new Map<string, JobProgress>();
  /** CPUs of arrays and gangs that are expected to become free per second, by shard zone key. */
  readonly endingCpusPerS = new Map<string, number>();
  /** Assignments of open jobs that have tasks waiting to be placed, by key. */
  readonly waiting = new Map<string, AssignmentSummary>();
  /**
   * Open jobs that had enough done tasks to be complete when an assignment of theirs was last
   * counted.
   */
  readonly completionCandidates = new Set<string>();
  private rebuiltAt = -Infinity;

  constructor(
    private readonly replica: StoreReplica,
    private readonly clock: Clock,
  ) {}

  /**
   * Recalculates the sums if the last recalculation is at least `ACCOUNTING_REBUILD_MS` ago. The
   * leader calls it before each scheduling cycle.
   */
  refresh(): void {
    const now = this.clock.now();
    if (now - this.rebuiltAt < ACCOUNTING_REBUILD_MS) return;
    this.rebuiltAt = now;
    this.contributions = new Map();
    for (const sums of [this.machines, this.teams, this.jobs, this.endingCpusPerS, this.waiting]) {
      sums.clear();
    }
    this.completionCandidates.clear();
    for (const key of this.replica.assignmentKeys()) this.add(key);
  }

  /** Updates the sums after a change of a key in the replica. */
  onKeyChanged(key: string): void {
    if (key.startsWith(ASSIGNMENTS)) this.recount(key);
    else if (key.startsWith(JOBS)) {
      for (const assignment of this.replica.assignmentKeysOf(key.slice(JOBS.length)))
        this.recount(assignment);
    }
  }

  private recount(key: string): void {
    const contribution = this.contributions.get(key);
    if (contribution) {
      this.contributions.delete(key);
      this.waiting.delete(key);
      this.applyContribution(contribution, -1);
    }
    this.add(key);
  }

  private add(key: string): void {
    const assignment = this.replica.assignment(key);
    if (!assignment) return;
    const spec: JobSpec | null = this.replica.job(assignment.job)?.spec ?? null;
    const hasEnd = spec !== null && spec.kind !== 'service';
    const contribution: Contribution = {
      assignment,
      isPreemptible: spec === null || !isUrgent(spec),
      isArray: spec?.kind === 'array',
      endingCpusPerS: hasEnd
        ? (assignment.placedCount * assignment.cpus) / Math.max(1, spec.estimateS)
        : 0,
    };
    this.contributions.set(key, contribution);
    this.applyContribution(contribution, 1);
    if (spec && assignment.waiting > 0) this.waiting.set(key, assignment);
    const done = this.jobs.get(assignment.job)?.done ?? 0;
    if (spec && done >= doneTasksToComplete(spec)) this.completionCandidates.add(assignment.job);
  }

  /** Adds (`sign` 1) or subtracts (`sign` -1) the contribution of an assignment. */
  private applyContribution(contribution: Contribution, sign: 1 | -1): void {
    const { assignment, endingCpusPerS } = contribution;
    this.applyToTeam(assignment, sign);
    this.applyToJob(assignment, sign);
    if (endingCpusPerS > 0) {
      const shardZone = shardZoneKey(assignment.shard, assignment.zone);
      this.endingCpusPerS.set(
        shardZone,
        (this.endingCpusPerS.get(shardZone) ?? 0) + sign * endingCpusPerS,
      );
    }
    for (const name of assignment.machines) this.applyToMachine(name, contribution, sign);
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
    { assignment, isPreemptible, isArray }: Contribution,
    sign: 1 | -1,
  ): void {
    const usage = this.machines.get(machine) ?? emptyMachineUsage();
    this.machines.set(machine, usage);
    usage.cpus += sign * assignment.cpus;
    usage.gpus += sign * assignment.gpus;
    usage.memoryGb += sign * assignment.memoryGb;
    usage.tasks += sign;
    if (isPreemptible) {
      usage.preemptibleCpus += sign * assignment.cpus;
      usage.preemptibleMemoryGb += sign * assignment.memoryGb;
    }
    if (isArray) {
      usage.arrayCpus += sign * assignment.cpus;
      usage.arrayMemoryGb += sign * assignment.memoryGb;
    }
    if (usage.tasks === 0) this.machines.delete(machine);
  }
}
