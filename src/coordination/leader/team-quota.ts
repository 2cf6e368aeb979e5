/** What each team uses of its limits while the leader assigns tasks, and what it may still use. */
import { URGENT_RESERVE_QUOTA_SHARE, URGENT_RESERVE_JOBS } from '../../constants/leader.js';
import type { JobSpec } from '../../protocol/model.js';
import type { Team } from '../../protocol/settings.js';
import type { Log } from '../../storage/log.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import { resourcesOf, ROUNDING_SLACK, type Resources } from '../capacity/resources.js';
import type { CapacityAccounting, Usage } from '../capacity/capacity-accounting.js';
import { isUrgent } from '../capacity/priorities.js';
import type { OpenJob } from './scheduling-order.js';

/** What the team limits are calculated from. */
export interface TeamQuotaOptions {
  readonly teams: ReadonlyMap<string, Team>;
  readonly replica: StoreReplica;
  readonly accounting: CapacityAccounting;
  readonly log: Log;
}

/** The limits of all teams, and what is used of them. */
export class TeamQuota {
  private readonly usageByTeam = new Map<string, Usage>();
  /** CPUs of each team's limit that its urgent work may want at any moment. */
  private urgentReserves: ReadonlyMap<string, number> = new Map();
  /** Jobs that came to wait for their team's limit: logged once each. */
  private readonly waitingJobs = new Set<string>();

  constructor(private readonly options: TeamQuotaOptions) {}

  /** What each team uses, with what this round assigned. */
  get usage(): ReadonlyMap<string, Usage> {
    return this.usageByTeam;
  }

  /** Starts a round: counts what the teams use and what their urgent work may want. */
  beginCycle(): void {
    this.usageByTeam.clear();
    for (const [team, usage] of this.options.accounting.teams)
      this.usageByTeam.set(team, { ...usage });
    this.urgentReserves = this.countUrgentReserves();
  }

  /** Forgets jobs that are no longer open. */
  forgetClosed(isOpen: (job: string) => boolean): void {
    for (const job of this.waitingJobs) {
      if (!isOpen(job)) this.waitingJobs.delete(job);
    }
  }

  /** What a team's limit still allows, its reserve for urgent work included. */
  remaining(name: string): Usage {
    const team = this.options.teams.get(name);
    const usage = this.usageOf(name);
    return {
      cpus: (team?.cpusMax ?? 0) - usage.cpus,
      gpus: (team?.gpusMax ?? 0) - usage.gpus,
    };
  }

  /** CPUs of a team's limit that lower work must leave to the team's urgent work. */
  urgentReserve(team: string): number {
    return this.urgentReserves.get(team) ?? 0;
  }

  /** Whether a team's limit does not allow so much more. */
  wouldExceed(name: string, more: Resources): boolean {
    const team = this.options.teams.get(name);
    const usage = this.usageOf(name);
    return (
      usage.cpus + more.cpus > (team?.cpusMax ?? 0) + ROUNDING_SLACK ||
      usage.gpus + more.gpus > (team?.gpusMax ?? 0) + ROUNDING_SLACK
    );
  }

  /** Counts so many tasks of a job as used by its team. */
  recordUse(spec: JobSpec, count: number): void {
    const usage = this.usageOf(spec.team);
    const allocated = resourcesOf(spec, count);
    usage.cpus += allocated.cpus;
    usage.gpus += allocated.gpus;
  }

  /** Notes that a job waits for its team's limit. */
  recordWaiting({ id, spec }: OpenJob): void {
    if (this.waitingJobs.has(id)) return;
    this.waitingJobs.add(id);
    const use = this.usageOf(spec.team);
    this.options.log.info({ job: id, team: spec.team, use }, 'waits: its team is at its limit');
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
        (this.options.teams.get(spec.team)?.cpusMax ?? 0) * URGENT_RESERVE_QUOTA_SHARE;
      const reserve = Math.min(cpus, maxReserve);
      reserves.set(spec.team, Math.max(reserves.get(spec.team) ?? 0, reserve));
    }
    return reserves;
  }
}
