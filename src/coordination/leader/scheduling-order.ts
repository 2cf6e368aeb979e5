/** The order in which the leader assigns tasks of open jobs. */
import { AGED_DEADLINES, BEGIN_WITHIN_S } from '../../constants/leader.js';
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
  at: number;
  unassigned: number;
  done: number;
  live: number;
  /** Fits into its team's guarantee together with the team's earlier jobs. */
  guaranteed: boolean;
  /** 0: makes its deadline in this order; 1: would make others late, or is late already. */
  tier: number;
  /** Nothing of it has begun for so long that it comes before all others of its rank. */
  overdue: boolean;
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
interface Turn {
  readonly job: OpenJob;
  readonly rank: number;
  /** Time of day of its deadline in ms; Infinity: it has none. */
  readonly due: number;
  /** CPU seconds that are not assigned yet. */
  readonly work: number;
  /** What its team uses, as a share of the team's guarantee. */
  readonly teamShare: number;
}

function openJob({ spec, at }: JobRecord, { progress, wall }: SchedulingState): OpenJob {
  const { assigned = 0, done = 0, placed: live = 0 } = progress.get(spec.id) ?? {};
  return {
    id: spec.id,
    spec,
    at,
    unassigned: Math.max(0, spec.tasks - assigned),
    done,
    live,
    guaranteed: false,
    tier: 0,
    overdue: assigned === 0 && wall - at > BEGIN_WITHIN_S * 1000,
  };
}

/** What a job needs until its deadline; null: it has no deadline. */
function demandOf({ spec, at, done, live }: OpenJob, wall: number): DeadlineDemand | null {
  if (spec.deadlineS === null) return null;
  // Running tasks are half done on average.
  const tasks = spec.tasks - done - live / 2;
  const runS = Math.max(1, spec.estimateS);
  return {
    work: tasks * spec.cpus * runS,
    runS: live > 0 ? runS / 2 : runS,
    dueS: (at - wall) / 1000 + spec.deadlineS,
  };
}

/**
 * Sets the tiers of jobs that would be late. A job that is late for long enough returns to the
 * first tier: otherwise a large job whose team stays at its limit would never end.
 */
function setTiers(jobs: readonly OpenJob[], { cpus, wall }: SchedulingState): void {
  const demands = new Map<DeadlineDemand, OpenJob>();
  for (const job of jobs) {
    const demand = demandOf(job, wall);
    if (demand) demands.set(demand, job);
  }
  for (const demand of selectLateDemands([...demands.keys()], cpus)) {
    const job = demands.get(demand);
    if (!job) continue;
    const isAged = demand.dueS < -(job.spec.deadlineS ?? 0) * AGED_DEADLINES;
    if (!isAged) job.tier = 1;
  }
}

/** Sets which jobs fit into the guarantees of their teams; `jobs`: the earliest first. */
function setGuaranteed(jobs: readonly OpenJob[], teams: ReadonlyMap<string, Team>): void {
  const claimed = new Map<string, Usage>();
  for (const job of jobs) {
    const { spec } = job;
    const team = teams.get(spec.team);
    const claim = claimed.get(spec.team) ?? { cpus: 0, gpus: 0 };
    claimed.set(spec.team, claim);
    claim.cpus += spec.cpus * spec.tasks;
    claim.gpus += spec.gpus * spec.tasks;
    job.guaranteed = claim.cpus <= (team?.cpus ?? 0) && claim.gpus <= (team?.gpus ?? 0);
  }
}

function turnOf(job: OpenJob, { teams, usage }: SchedulingState): Turn {
  const { spec, at, unassigned } = job;
  const guarantee = Math.max(1, teams.get(spec.team)?.cpus ?? 0);
  return {
    job,
    rank: rankOf(spec.priority),
    due: spec.deadlineS === null ? Infinity : at + spec.deadlineS * 1000,
    work: unassigned * spec.cpus * spec.estimateS,
    teamShare: (usage.get(spec.team)?.cpus ?? 0) / guarantee,
  };
}

/** Negative: `a` comes before `b` by its rank, its waiting time, its guarantee or its kind. */
function compareClasses(a: Turn, b: Turn): number {
  return (
    b.rank - a.rank ||
    Number(b.job.overdue) - Number(a.job.overdue) ||
    (a.job.overdue ? a.job.at - b.job.at : 0) ||
    Number(b.job.guaranteed) - Number(a.job.guaranteed) ||
    // A gang needs its room all at once: behind work that fits anywhere it would never find it.
    Number(b.job.spec.kind === 'gang') - Number(a.job.spec.kind === 'gang')
  );
}

/** Negative: `a` comes before `b` by its deadline, its team's use or its age. */
function compareDeadlines(a: Turn, b: Turn): number {
  return (
    a.job.tier - b.job.tier ||
    // Of those that will be late the least work first: that lets most of them end soon.
    (a.job.tier === 1 ? a.work - b.work : 0) ||
    (a.due === b.due ? 0 : a.due - b.due) ||
    a.teamShare - b.teamShare ||
    a.job.at - b.job.at
  );
}

/** Jobs with unassigned tasks, in the order of their turn. */
export function schedulingOrder(records: Iterable<JobRecord>, state: SchedulingState): OpenJob[] {
  const jobs = [...records].map((record) => openJob(record, state));
  setTiers(jobs, state);
  jobs.sort((a, b) => a.at - b.at);
  setGuaranteed(jobs, state.teams);
  return jobs
    .filter((job) => job.unassigned > 0)
    .map((job) => turnOf(job, state))
    .sort((a, b) => compareClasses(a, b) || compareDeadlines(a, b))
    .map((turn) => turn.job);
}
