/** Tracks the usage of team quotas during a scheduling cycle. */
import { URGENT_RESERVE_QUOTA_FRACTION, URGENT_RESERVE_JOBS } from '../../constants/leader.js';
import type { JobSpec } from '../../protocol/model.js';
import type { Team } from '../../protocol/settings.js';
import type { Log } from '../../storage/log.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import { resourcesOf, ROUNDING_SLACK, type Resources } from '../capacity/resources.js';
import type { CapacityAccounting, Usage } from '../capacity/capacity-accounting.js';
import { isUrgent } from '../capacity/priorities.js';
import type { OpenJob } from './scheduling-order.js';

/** Dependencies of `TeamQuota`. */
export interface TeamQuotaOptions {
  readonly teams: ReadonlyMap<string, Team>;
  readonly replica: StoreReplica;
  readonly accounting: CapacityAccounting;
  readonly log: Log;
}

/** Quotas of all teams, their usage, and the parts that are reserved for urgent work. */
export class TeamQuota {
  private readonly usageByTeam = new Map<string, Usage>();
  /** CPUs of each team's quota that are reserved for its urgent work, by team. */
  private urgentReserves: ReadonlyMap<string, number> = new Map();
  /** Jobs that were delayed by their team's quota. Each is logged only the first time. */
  private readonly waitingJobs = new Set<string>();

  constructor(private readonly options: TeamQuotaOptions) {}

  /** Usage by team, including tasks that were assigned in this cycle. */
  get usage(): ReadonlyMap<string, Usage> {
    return this.usageByTeam;
  }

  /** Starts a scheduling cycle by counting the usage and the reserves for urgent work. */
  beginCycle(): void {
    this.usageByTeam.clear();
    for (const [team, usage] of this.options.accounting.teams)
      this.usageByTeam.set(team, { ...usage });
    this.urgentReserves = this.countUrgentReserves();
  }

  /** Removes jobs that are no longer open. */
  forgetClosed(isOpen: (job: string) => boolean): void {
    for (const job of this.waitingJobs) {
      if (!isOpen(job)) this.waitingJobs.delete(job);
    }
  }

  /** Returns the unused part of a team's quota, including its reserve for urgent work. */
  remaining(name: string): Usage {
    const team = this.options.teams.get(name);
    const usage = this.usageOf(name);
    return {
      cpus: (team?.cpusMax ?? 0) - usage.cpus,
      gpus: (team?.gpusMax ?? 0) - usage.gpus,
    };
  }

  /** Returns the CPUs of a team's quota that are reserved for its urgent work. */
  urgentReserve(team: string): number {
    return this.urgentReserves.get(team) ?? 0;
  }

  /** Returns whether a team's usage plus `more` would exceed the team's quota of CPUs or GPUs. */
  wouldExceed(name: string, more: Resources): boolean {
    const team = this.options.teams.get(name);
    const usage = this.usageOf(name);
    return (
      usage.cpus + more.cpus > (team?.cpusMax ?? 0) + ROUNDING_SLACK ||
      usage.gpus + more.gpus > (team?.gpusMax ?? 0) + ROUNDING_SLACK
    );
  }

  /** Counts tasks of a job as usage of its team. */
  recordUse(spec: JobSpec, count: number): void {
    const usage = this.usageOf(spec.team);
    const allocated = resourcesOf(spec, count);
    usage.cpus += allocated.cpus;
    usage.gpus += allocated.gpus;
  }

  /** Logs that a job is delayed by its team's quota, once per job. */
  recordWaiting({ id, spec }: OpenJob): void {
    if (this.waitingJobs.has(id)) return;
    this.waitingJobs.add(id);
    const usage = this.usageOf(spec.team);
    this.options.log.info({ job: id, team: spec.team, usage }, 'job delayed by team quota');
  }

  private usageOf(team: string): Usage {
    const usage = this.usageByTeam.get(team) ?? { cpus: 0, gpus: 0 };
    this.usageByTeam.set(team, usage);
    return usage;
  }

  private countUrgentReserves(): Map<string, number> {
    const reserves = new Map<string, number>();
    for (const { spec } of this.options.replica.openJobs()) {
      if (!isUrgent(spec)) continue;
      const tasks = spec.kind === 'array' ? 1 : spec.tasks;
      const cpus = spec.cpus * tasks * URGENT_RESERVE_JOBS;
      const maxReserve =
        (this.options.teams.get(spec.team)?.cpusMax ?? 0) * URGENT_RESERVE_QUOTA_FRACTION;
      const reserve = Math.min(cpus, maxReserve);
      reserves.set(spec.team, Math.max(reserves.get(spec.team) ?? 0, reserve));
    }
    return reserves;
  }
}
