/** The order in which the leader assigns tasks of open jobs. */
import { LATE_JOB_AGING_DEADLINES, START_OVERDUE_S } from '../../constants/leader.js';
import { rankOf, type JobSpec } from '../../protocol/model.js';
import type { Team } from '../../protocol/settings.js';
import type { JobRecord } from '../../storage/records.js';
import { selectLateDemands, type DeadlineDemand } from './deadline-selection.js';
import type { Progress, Usage } from '../capacity/capacity-accounting.js';

/** A job with tasks that are not assigned yet. */
export interface OpenJob {
  id: string;
  spec: JobSpec;
  /** Time of day of its acceptance in ms. */
  acceptedAt: number;
  unassigned: number;
  done: number;
  placed: number;
  /** Fits into its team's guarantee together with the team's earlier jobs. */
  isWithinGuarantee: boolean;
  /** 0: makes its deadline in this order; 1: would make others late, or is late already. */
  deadlineTier: number;
  /** Nothing of it has begun for so long that it comes before all others of its rank. */
  isStartOverdue: boolean;
}

/** What the order depends on beside the jobs themselves. */
export interface SchedulingState {
  /** How far the tasks of each job have got. */
  readonly progress: ReadonlyMap<string, Progress>;
  readonly teams: ReadonlyMap<string, Team>;
  /** What each team uses. */
  readonly usage: ReadonlyMap<string, Usage>;
  /** CPUs that the fleet has for lower work. */
  readonly cpus: number;
  /** Time of day in ms. */
  readonly wall: number;
}

/** A job, with what its turn depends on. */
interface SchedulingKey {
  readonly job: OpenJob;
  readonly rank: number;
  /** Time of day of its deadline in ms; Infinity: it has none. */
  readonly dueAt: number;
  /** CPU seconds that are not assigned yet. */
  readonly workCpuS: number;
  /** What its team uses, as a share of the team's guarantee. */
  readonly guaranteeUsage: number;
}

function openJobOf(
  { spec, at: acceptedAt }: JobRecord,
  { progress, wall }: SchedulingState,
): OpenJob {
  const { assigned = 0, done = 0, placed = 0 } = progress.get(spec.id) ?? {};
  return {
    id: spec.id,
    spec,
    acceptedAt,
    unassigned: Math.max(0, spec.tasks - assigned),
    done,
    placed,
    isWithinGuarantee: false,
    deadlineTier: 0,
    isStartOverdue: assigned === 0 && wall - acceptedAt > START_OVERDUE_S * 1000,
  };
}

/** What a job needs until its deadline; null: it has no deadline. */
function demandOf(
  { spec, acceptedAt, done, placed }: OpenJob,
  wall: number,
): DeadlineDemand | null {
  if (spec.deadlineS === null) return null;
  // Running tasks are half done on average.
  const tasks = spec.tasks - done - placed / 2;
  const runS = Math.max(1, spec.estimateS);
  return {
    workCpuS: tasks * spec.cpus * runS,
    runS: placed > 0 ? runS / 2 : runS,
    dueS: (acceptedAt - wall) / 1000 + spec.deadlineS,
  };
}

/**
 * Sets the tiers of jobs that would be late. A job that is late for long enough returns to the
 * first tier: otherwise a large job whose team stays at its limit would never end.
 */
function setDeadlineTiers(jobs: readonly OpenJob[], { cpus, wall }: SchedulingState): void {
  const demands = new Map<DeadlineDemand, OpenJob>();
  for (const job of jobs) {
    const demand = demandOf(job, wall);
    if (demand) demands.set(demand, job);
  }
  for (const demand of selectLateDemands([...demands.keys()], cpus)) {
    const job = demands.get(demand);
    if (!job) continue;
    const isAged = demand.dueS < -(job.spec.deadlineS ?? 0) * LATE_JOB_AGING_DEADLINES;
    if (!isAged) job.deadlineTier = 1;
  }
}

/** Sets which jobs fit into the guarantees of their teams; `jobs`: the earliest first. */
function setWithinGuarantee(jobs: readonly OpenJob[], teams: ReadonlyMap<string, Team>): void {
  const committed = new Map<string, Usage>();
  for (const job of jobs) {
    const { spec } = job;
    const team = teams.get(spec.team);
    const teamUsage = committed.get(spec.team) ?? { cpus: 0, gpus: 0 };
    committed.set(spec.team, teamUsage);
    teamUsage.cpus += spec.cpus * spec.tasks;
    teamUsage.gpus += spec.gpus * spec.tasks;
    job.isWithinGuarantee =
      teamUsage.cpus <= (team?.cpus ?? 0) && teamUsage.gpus <= (team?.gpus ?? 0);
  }
}

function schedulingKeyOf(job: OpenJob, { teams, usage }: SchedulingState): SchedulingKey {
  const { spec, acceptedAt, unassigned } = job;
  const guarantee = Math.max(1, teams.get(spec.team)?.cpus ?? 0);
  return {
    job,
    rank: rankOf(spec.priority),
    dueAt: spec.deadlineS === null ? Infinity : acceptedAt + spec.deadlineS * 1000,
    workCpuS: unassigned * spec.cpus * spec.estimateS,
    guaranteeUsage: (usage.get(spec.team)?.cpus ?? 0) / guarantee,
  };
}

/** Negative: `a` comes before `b` by its rank, its waiting time, its guarantee or its kind. */
function compareClasses(a: SchedulingKey, b: SchedulingKey): number {
  return (
    b.rank - a.rank ||
    Number(b.job.isStartOverdue) - Number(a.job.isStartOverdue) ||
    (a.job.isStartOverdue ? a.job.acceptedAt - b.job.acceptedAt : 0) ||
    Number(b.job.isWithinGuarantee) - Number(a.job.isWithinGuarantee) ||
    // A gang needs its room all at once: behind work that fits anywhere it would never find it.
    Number(b.job.spec.kind === 'gang') - Number(a.job.spec.kind === 'gang')
  );
}

/** Negative: `a` comes before `b` by its deadline, its team's use or its age. */
function compareDeadlines(a: SchedulingKey, b: SchedulingKey): number {
  return (
    a.job.deadlineTier - b.job.deadlineTier ||
    // Of those that will be late the least work first: that lets most of them end soon.
    (a.job.deadlineTier === 1 ? a.workCpuS - b.workCpuS : 0) ||
    (a.dueAt === b.dueAt ? 0 : a.dueAt - b.dueAt) ||
    a.guaranteeUsage - b.guaranteeUsage ||
    a.job.acceptedAt - b.job.acceptedAt
  );
}

/** Jobs with unassigned tasks, in the order of their turn. */
export function schedulingOrder(records: Iterable<JobRecord>, state: SchedulingState): OpenJob[] {
  const jobs = [...records].map((record) => openJobOf(record, state));
  setDeadlineTiers(jobs, state);
  jobs.sort((a, b) => a.acceptedAt - b.acceptedAt);
  setWithinGuarantee(jobs, state.teams);
  return jobs
    .filter((job) => job.unassigned > 0)
    .map((job) => schedulingKeyOf(job, state))
    .sort((a, b) => compareClasses(a, b) || compareDeadlines(a, b))
    .map((key) => key.job);
}
