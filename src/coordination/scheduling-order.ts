import { AGED_DEADLINES, BEGIN_WITHIN_S } from '../constants.js';
import type { JobRecord } from '../storage/records.js';
import type { Team } from '../protocol/settings.js';
import { rankOf, type JobSpec } from '../protocol/model.js';
import type { Progress, Usage } from './ledger.js';

/** A job with tasks that are not handed out yet. */
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

/** What a job still needs of the fleet until its deadline; times in seconds from now. */
export interface DeadlineDemand {
  /** CPU seconds. */
  work: number;
  /** Run time of one task. */
  runS: number;
  dueS: number;
}

/**
 * Which claims to let be late so that most of them are in time (Moore and Hodgson): in the order
 * of their deadlines, and whenever one would be late, the largest so far steps back.
 */
export function letBeLate(demands: readonly DeadlineDemand[], cpus: number): Set<DeadlineDemand> {
  const late = new Set<DeadlineDemand>();
  /** By work, the largest last: a burst brings hundreds of claims. */
  const kept: DeadlineDemand[] = [];
  let work = 0;
  for (const demand of [...demands].sort((a, b) => a.dueS - b.dueS)) {
    if (demand.runS > demand.dueS) {
      late.add(demand);
      continue;
    }
    let low = 0;
    for (let high = kept.length; low < high;) {
      const middle = (low + high) >> 1;
      if ((kept[middle]?.work ?? 0) <= demand.work) low = middle + 1;
      else high = middle;
    }
    kept.splice(low, 0, demand);
    work += demand.work;
    while (work / Math.max(1, cpus) > demand.dueS) {
      const largest = kept.pop();
      if (!largest) break;
      work -= largest.work;
      late.add(largest);
    }
  }
  return late;
}

function setTiers(jobs: OpenJob[], cpus: number, wall: number): void {
  const demands = new Map<DeadlineDemand, OpenJob>();
  for (const job of jobs) {
    const { spec, live } = job;
    if (spec.deadlineS === null) continue;
    // What runs is half done on average.
    const left = spec.tasks - job.done - live / 2;
    const runS = Math.max(1, spec.estimateS);
    const dueS = (job.at - wall) / 1000 + spec.deadlineS;
    demands.set({ work: left * spec.cpus * runS, runS: live > 0 ? runS / 2 : runS, dueS }, job);
  }
  for (const demand of letBeLate([...demands.keys()], cpus)) {
    const job = demands.get(demand);
    // What has stepped back for long enough goes first: otherwise a large job whose team stays at
    // its limit would never end.
    const aged = job && demand.dueS < -(job.spec.deadlineS ?? 0) * AGED_DEADLINES;
    if (job && !aged) job.tier = 1;
  }
}

/**
 * Jobs with tasks to hand out, in the order of their turn. `cpus`: what the fleet has for lower
 * work; `used`: what each team uses.
 */
export function schedulingOrder(
  records: Iterable<JobRecord>,
  progress: ReadonlyMap<string, Progress>,
  teams: ReadonlyMap<string, Team>,
  used: ReadonlyMap<string, Usage>,
  cpus: number,
  wall: number,
): OpenJob[] {
  const jobs: OpenJob[] = [];
  for (const { spec, at } of records) {
    const { assigned = 0, done = 0, live = 0 } = progress.get(spec.id) ?? {};
    jobs.push({
      id: spec.id,
      spec,
      at,
      unassigned: Math.max(0, spec.tasks - assigned),
      done,
      live,
      guaranteed: false,
      tier: 0,
      overdue: assigned === 0 && wall - at > BEGIN_WITHIN_S * 1000,
    });
  }
  setTiers(jobs, cpus, wall);
  jobs.sort((a, b) => a.at - b.at);
  const claimed = new Map<string, Usage>();
  for (const job of jobs) {
    const team = teams.get(job.spec.team);
    let claim = claimed.get(job.spec.team);
    if (!claim) claimed.set(job.spec.team, (claim = { cpus: 0, gpus: 0 }));
    claim.cpus += job.spec.cpus * job.spec.tasks;
    claim.gpus += job.spec.gpus * job.spec.tasks;
    job.guaranteed = claim.cpus <= (team?.cpus ?? 0) && claim.gpus <= (team?.gpus ?? 0);
  }
  const turns = jobs
    .filter((job) => job.unassigned > 0)
    .map((job) => {
      const { spec, at, unassigned } = job;
      return {
        job,
        rank: rankOf(spec.priority),
        due: spec.deadlineS === null ? Infinity : at + spec.deadlineS * 1000,
        left: unassigned * spec.cpus * spec.estimateS,
        share: (used.get(spec.team)?.cpus ?? 0) / Math.max(1, teams.get(spec.team)?.cpus ?? 0),
      };
    });
  turns.sort(
    (a, b) =>
      b.rank - a.rank ||
      Number(b.job.overdue) - Number(a.job.overdue) ||
      (a.job.overdue ? a.job.at - b.job.at : 0) ||
      Number(b.job.guaranteed) - Number(a.job.guaranteed) ||
      // A gang needs its room all at once: behind work that fits anywhere it would never find it.
      Number(b.job.spec.kind === 'gang') - Number(a.job.spec.kind === 'gang') ||
      a.job.tier - b.job.tier ||
      // Of those that will be late the least work first: that lets most of them end soon.
      (a.job.tier === 1 ? a.left - b.left : 0) ||
      (a.due === b.due ? 0 : a.due - b.due) ||
      a.share - b.share ||
      a.job.at - b.job.at,
  );
  return turns.map((turn) => turn.job);
}
