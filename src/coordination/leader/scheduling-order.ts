/** Determines the order in which the leader assigns tasks of open jobs. */
import { LATE_JOB_PRIORITY_DEADLINES, START_OVERDUE_S } from '../../constants/leader.js';
import { rankOf, type JobSpec } from '../../protocol/model.js';
import type { Team } from '../../protocol/settings.js';
import type { JobRecord } from '../../storage/records.js';
import { selectLateDemands, type DeadlineDemand } from './deadline-selection.js';
import type { JobProgress, Usage } from '../capacity/capacity-accounting.js';

/** A job that is neither done nor cancelled, with its task counts and scheduling attributes. */
export interface OpenJob {
  id: string;
  spec: JobSpec;
  /** Wall-clock time in ms at which the job was accepted. */
  acceptedAt: number;
  unassigned: number;
  done: number;
  placed: number;
  /**
   * Whether the job and all open jobs of its team accepted before it fit into the team's fair
   * share.
   */
  isWithinFairShare: boolean;
  /**
   * 0: the job is expected to meet its deadline, has none, or is late by more than
   * `LATE_JOB_PRIORITY_DEADLINES` times its `deadlineS`; 1: the job will miss its deadline, or
   * would make others miss theirs. Among jobs equal in priority, fair share and kind, those of tier
   * 0 precede those of tier 1.
   */
  deadlineTier: number;
  /**
   * Whether no task of the job is assigned although it was accepted more than `START_OVERDUE_S`
   * ago. Such a job precedes the other jobs of its priority.
   */
  isStartOverdue: boolean;
}

/** State of the cluster on which the scheduling order depends. */
export interface SchedulingState {
  /** Counts of assigned, done and placed tasks, by job. */
  readonly progress: ReadonlyMap<string, JobProgress>;
  readonly teams: ReadonlyMap<string, Team>;
  /** Resources of assigned tasks that are not done, by team. */
  readonly usage: ReadonlyMap<string, Usage>;
  /**
   * CPUs for non-urgent work that are assumed available when the leader calculates which jobs will
   * miss their deadlines.
   */
  readonly cpus: number;
  /** Current wall-clock time in ms. */
  readonly wallClockMs: number;
}

/** A job with its sort keys. */
interface SchedulingKey {
  readonly job: OpenJob;
  readonly rank: number;
  /** Wall-clock time of the job's deadline in ms; Infinity: it has none. */
  readonly dueAt: number;
  /** Estimated work of the job's unassigned tasks, in CPU seconds. */
  readonly workCpuS: number;
  /** CPUs that the job's team uses, as a fraction of the team's fair share. */
  readonly fairShareUsedFraction: number;
}

function openJobOf(
  { spec, at: acceptedAt }: JobRecord,
  { progress, wallClockMs }: SchedulingState,
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
    isStartOverdue: assigned === 0 && wallClockMs - acceptedAt > START_OVERDUE_S * 1000,
  };
}

/** Returns the work that a job still needs before its deadline; null: it has no deadline. */
function demandOf(
  { spec, acceptedAt, done, placed }: OpenJob,
  wallClockMs: number,
): DeadlineDemand | null {
  if (spec.deadlineS === null) return null;
  // A placed task is assumed to be half done.
  const tasks = spec.tasks - done - placed / 2;
  const runS = Math.max(1, spec.estimateS);
  return {
    workCpuS: tasks * spec.cpus * runS,
    runS: placed > 0 ? runS / 2 : runS,
    dueS: (acceptedAt - wallClockMs) / 1000 + spec.deadlineS,
  };
}

/**
 * Sets `deadlineTier` to 1 for the jobs that `selectLateDemands` selects to be late. Of these, jobs
 * that are already late by more than `LATE_JOB_PRIORITY_DEADLINES` times their `deadlineS` keep
 * tier 0, because a large job whose team is always at its quota would otherwise never end.
 */
function setDeadlineTiers(jobs: readonly OpenJob[], { cpus, wallClockMs }: SchedulingState): void {
  const demands = new Map<DeadlineDemand, OpenJob>();
  for (const job of jobs) {
    const demand = demandOf(job, wallClockMs);
    if (demand) demands.set(demand, job);
  }
  for (const demand of selectLateDemands([...demands.keys()], cpus)) {
    const job = demands.get(demand);
    if (!job) continue;
    const isAged = demand.dueS < -(job.spec.deadlineS ?? 0) * LATE_JOB_PRIORITY_DEADLINES;
    if (!isAged) job.deadlineTier = 1;
  }
}

/**
 * Marks each job that fits into its team's fair share together with all jobs of the team before it.
 * `jobs` are in order of acceptance.
 */
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

/**
 * Compares by priority, overdue start, fair share and kind. Returns a negative number if `a` is
 * first.
 */
function comparePriorityAndKind(a: SchedulingKey, b: SchedulingKey): number {
  return (
    b.rank - a.rank ||
    Number(b.job.isStartOverdue) - Number(a.job.isStartOverdue) ||
    (a.job.isStartOverdue ? a.job.acceptedAt - b.job.acceptedAt : 0) ||
    Number(b.job.isWithinFairShare) - Number(a.job.isWithinFairShare) ||
    // A gang needs capacity for all of its tasks at once. If jobs whose tasks are assigned one by
    // one preceded it, they would fill every free machine, and the gang would never start.
    Number(b.job.spec.kind === 'gang') - Number(a.job.spec.kind === 'gang')
  );
}

/** Compares by deadline, usage of the team and age. Returns a negative number if `a` is first. */
function compareDeadlines(a: SchedulingKey, b: SchedulingKey): number {
  return (
    a.job.deadlineTier - b.job.deadlineTier ||
    // Tier 1: jobs that will miss their deadlines, or would make others miss theirs. The one with
    // the least unassigned work is first, so that a small late job does not wait for a large one.
    (a.job.deadlineTier === 1 ? a.workCpuS - b.workCpuS : 0) ||
    (a.dueAt === b.dueAt ? 0 : a.dueAt - b.dueAt) ||
    a.fairShareUsedFraction - b.fairShareUsedFraction ||
    a.job.acceptedAt - b.job.acceptedAt
  );
}

/** Returns the jobs with unassigned tasks, in the order in which they are scheduled. */
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
