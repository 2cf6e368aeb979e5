/** The order in which the leader assigns tasks of open jobs. */
import { LATE_JOB_PRIORITY_DEADLINES, START_OVERDUE_S } from '../../constants/leader.js';
import { rankOf, type JobSpec } from '../../protocol/model.js';
import type { Team } from '../../protocol/settings.js';
import type { JobRecord } from '../../storage/records.js';
import { selectLateDemands, type DeadlineDemand } from './deadline-selection.js';
import type { JobProgress, Usage } from '../capacity/capacity-accounting.js';

/** A job with tasks that are not assigned yet. */
export interface OpenJob {
  id: string;
  spec: JobSpec;
  /** Wall-clock time of its acceptance, in ms. */
  acceptedAt: number;
  unassigned: number;
  done: number;
  placed: number;
  /** Fits into its team's guarantee together with the team's earlier jobs. */
  isWithinFairShare: boolean;
  /** 0: meets its deadline in this order; 1: is late already, or would make others late. */
  deadlineTier: number;
  /** No task of it was assigned for so long that it precedes all other jobs of its rank. */
  isStartOverdue: boolean;
}

/** What the order depends on besides the jobs. */
export interface SchedulingState {
  /** Counts of assigned, done and placed tasks, by job. */
  readonly progress: ReadonlyMap<string, JobProgress>;
  readonly teams: ReadonlyMap<string, Team>;
  /** Usage by team. */
  readonly usage: ReadonlyMap<string, Usage>;
  /** CPUs of the fleet that non-urgent work uses or may use. */
  readonly cpus: number;
  /** Wall-clock time, in ms. */
  readonly wallClockMs: number;
}

/** A job with its sort keys. */
interface SchedulingKey {
  readonly job: OpenJob;
  readonly rank: number;
  /** Wall-clock time of its deadline, in ms; Infinity: it has none. */
  readonly dueAt: number;
  /** CPU seconds of its unassigned tasks. */
  readonly workCpuS: number;
  /** Its team's usage as a share of the team's guarantee. */
  readonly fairShareUsedFraction: number;
}

function openJobOf(
  { spec, at: acceptedAt }: JobRecord,
  { progress, wallClockMs: wall }: SchedulingState,
): OpenJob {
  const { assigned = 0, done = 0, placed = 0 } = progress.get(spec.id) ?? {};
  return {
    id: spec.id,
    spec,
    acceptedAt,
    unassigned: Math.max(0, spec.tasks - assigned),
    done,
    placed,
    isWithinFairShare: false,
    deadlineTier: 0,
    isStartOverdue: assigned === 0 && wall - acceptedAt > START_OVERDUE_S * 1000,
  };
}

/** What a job needs until its deadline; null: it has no deadline. */
function demandOf(
  { spec, acceptedAt, done, placed }: OpenJob,
  wallClockMs: number,
): DeadlineDemand | null {
  if (spec.deadlineS === null) return null;
  // Running tasks are assumed to be half done.
  const tasks = spec.tasks - done - placed / 2;
  const runS = Math.max(1, spec.estimateS);
  return {
    workCpuS: tasks * spec.cpus * runS,
    runS: placed > 0 ? runS / 2 : runS,
    dueS: (acceptedAt - wallClockMs) / 1000 + spec.deadlineS,
  };
}

/**
 * Moves jobs that would be late to the second tier. A job that is very late returns to the first:
 * otherwise a large job whose team stays at its quota would never end.
 */
function setDeadlineTiers(
  jobs: readonly OpenJob[],
  { cpus, wallClockMs: wall }: SchedulingState,
): void {
  const demands = new Map<DeadlineDemand, OpenJob>();
  for (const job of jobs) {
    const demand = demandOf(job, wall);
    if (demand) demands.set(demand, job);
  }
  for (const demand of selectLateDemands([...demands.keys()], cpus)) {
    const job = demands.get(demand);
    if (!job) continue;
    const isAged = demand.dueS < -(job.spec.deadlineS ?? 0) * LATE_JOB_PRIORITY_DEADLINES;
    if (!isAged) job.deadlineTier = 1;
  }
}

/** Marks the jobs that fit into the guarantees of their teams; `jobs`: in order of acceptance. */
function setWithinFairShare(jobs: readonly OpenJob[], teams: ReadonlyMap<string, Team>): void {
  const usageByTeam = new Map<string, Usage>();
  for (const job of jobs) {
    const { spec } = job;
    const team = teams.get(spec.team);
    const teamUsage = usageByTeam.get(spec.team) ?? { cpus: 0, gpus: 0 };
    usageByTeam.set(spec.team, teamUsage);
    teamUsage.cpus += spec.cpus * spec.tasks;
    teamUsage.gpus += spec.gpus * spec.tasks;
    job.isWithinFairShare =
      teamUsage.cpus <= (team?.cpus ?? 0) && teamUsage.gpus <= (team?.gpus ?? 0);
  }
}

function schedulingKeyOf(job: OpenJob, { teams, usage }: SchedulingState): SchedulingKey {
  const { spec, acceptedAt, unassigned } = job;
  const fairShareCpus = Math.max(1, teams.get(spec.team)?.cpus ?? 0);
  return {
    job,
    rank: rankOf(spec.priority),
    dueAt: spec.deadlineS === null ? Infinity : acceptedAt + spec.deadlineS * 1000,
    workCpuS: unassigned * spec.cpus * spec.estimateS,
    fairShareUsedFraction: (usage.get(spec.team)?.cpus ?? 0) / fairShareCpus,
  };
}

/** Compares by rank, overdue start, guarantee and kind; negative: `a` comes first. */
function comparePriorityAndKind(a: SchedulingKey, b: SchedulingKey): number {
  return (
    b.rank - a.rank ||
    Number(b.job.isStartOverdue) - Number(a.job.isStartOverdue) ||
    (a.job.isStartOverdue ? a.job.acceptedAt - b.job.acceptedAt : 0) ||
    Number(b.job.isWithinFairShare) - Number(a.job.isWithinFairShare) ||
    // A gang needs all its capacity at once: behind work that fits anywhere it would never find it.
    Number(b.job.spec.kind === 'gang') - Number(a.job.spec.kind === 'gang')
  );
}

/** Compares by deadline, team usage and age; negative: `a` comes first. */
function compareDeadlines(a: SchedulingKey, b: SchedulingKey): number {
  return (
    a.job.deadlineTier - b.job.deadlineTier ||
    // Among late jobs the one with the least work first: most of them then end soon.
    (a.job.deadlineTier === 1 ? a.workCpuS - b.workCpuS : 0) ||
    (a.dueAt === b.dueAt ? 0 : a.dueAt - b.dueAt) ||
    a.fairShareUsedFraction - b.fairShareUsedFraction ||
    a.job.acceptedAt - b.job.acceptedAt
  );
}

/** Jobs with unassigned tasks, in the order in which they are scheduled. */
export function schedulingOrder(records: Iterable<JobRecord>, state: SchedulingState): OpenJob[] {
  const jobs = [...records].map((record) => openJobOf(record, state));
  setDeadlineTiers(jobs, state);
  jobs.sort((a, b) => a.acceptedAt - b.acceptedAt);
  setWithinFairShare(jobs, state.teams);
  return jobs
    .filter((job) => job.unassigned > 0)
    .map((job) => schedulingKeyOf(job, state))
    .sort((a, b) => comparePriorityAndKind(a, b) || compareDeadlines(a, b))
    .map((key) => key.job);
}
