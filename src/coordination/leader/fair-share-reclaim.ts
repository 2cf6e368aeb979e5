/**
 * Room that a gang may claim for its team's guarantee: other teams' arrays, as far as these teams
 * run beyond their own guarantees. This is the one case in which work stops work of equal priority.
 */
import { RECLAIM_RECOUNT_MS } from '../../constants/gangs.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { JobSpec } from '../../protocol/model.js';
import type { Team } from '../../protocol/settings.js';
import type { Clock } from '../../transport/clock.js';
import {
  countFittingTasks,
  isEligible,
  type MachineCapacity,
} from '../capacity/machine-capacity.js';
import type { GangShare } from './gang-plan.js';
import { shardZoneKey } from '../capacity/priorities.js';

/** Where a gang finds room by a claim, and how many CPUs it may stop of each team for it. */
export interface ReclaimPlan {
  share: GangShare;
  reclaim: Record<string, number>;
}

/** What stopping some arrays would free on one machine. */
interface Reclaimable {
  cpus: number;
  memoryGb: number;
}

/** A place where a gang may go. */
interface ReclaimCandidate {
  shard: string;
  zone: string;
  /** Tasks of the gang that have free room. */
  freeTasks: number;
  /** Tasks that have room once other teams' arrays are stopped, those with free room included. */
  reclaimableTasks: number;
}

/** Finds such room; its counts are valid for a moment, less what was claimed since. */
export class FairShareReclaim {
  private countedAt = -Infinity;
  /** CPUs that each team runs beyond its guarantee. */
  private readonly excessCpus = new Map<string, number>();
  /** What stopping arrays of each team would free, by machine. */
  private readonly reclaimableByMachine = new Map<string, Map<string, Reclaimable>>();

  constructor(
    private readonly teams: ReadonlyMap<string, Team>,
    private readonly replica: StoreReplica,
    private readonly clock: Clock,
  ) {}

  /** A place where all of the gang fits once such arrays are stopped; null: there is none. */
  find(spec: JobSpec, machines: readonly MachineCapacity[]): ReclaimPlan | null {
    this.refresh();
    const excessCpus = [...this.excessCpus].filter(([team]) => team !== spec.team);
    const reclaimableCpus = excessCpus.reduce((sum, [, cpus]) => sum + cpus, 0);
    if (reclaimableCpus < spec.cpus) return null;
    const teams = new Set(excessCpus.map(([team]) => team));
    let best: ReclaimCandidate | null = null;
    for (const candidate of this.candidates(spec, machines, teams)) {
      const missing = Math.max(0, spec.tasks - candidate.freeTasks);
      if (candidate.reclaimableTasks < spec.tasks || missing * spec.cpus > reclaimableCpus)
        continue;
      if (best === null || candidate.freeTasks > best.freeTasks) best = candidate;
    }
    if (best === null) return null;
    const { shard, zone } = best;
    const reclaim = this.reserveExcess(
      excessCpus,
      Math.max(0, spec.tasks - best.freeTasks) * spec.cpus,
    );
    return { share: { shard, zone, count: spec.tasks }, reclaim };
  }

  private candidates(
    spec: JobSpec,
    machines: readonly MachineCapacity[],
    teams: ReadonlySet<string>,
  ): Iterable<ReclaimCandidate> {
    const candidates = new Map<string, ReclaimCandidate>();
    for (const machine of machines) {
      if (!isEligible(spec, machine)) continue;
      const { shard, zone } = machine;
      const key = shardZoneKey(shard, zone);
      const candidate = candidates.get(key) ?? { shard, zone, freeTasks: 0, reclaimableTasks: 0 };
      candidates.set(key, candidate);
      const free = { cpus: machine.cpus, gpus: machine.gpus, memoryGb: machine.memoryGb };
      candidate.freeTasks += countFittingTasks(free, spec);
      for (const [team, { cpus, memoryGb }] of this.reclaimableByMachine.get(machine.name) ?? []) {
        if (!teams.has(team)) continue;
        free.cpus += cpus;
        free.memoryGb += memoryGb;
      }
      candidate.reclaimableTasks += countFittingTasks(free, spec);
    }
    return candidates.values();
  }

  /** Claims CPUs of what the teams run beyond their guarantees, the largest excess first. */
  private reserveExcess(excessCpus: [string, number][], cpus: number): Record<string, number> {
    const reserved: Record<string, number> = {};
    let remaining = cpus;
    for (const [team, teamExcess] of excessCpus.sort(([, a], [, b]) => b - a)) {
      const count = Math.min(remaining, teamExcess);
      if (count <= 0) break;
      reserved[team] = count;
      this.excessCpus.set(team, teamExcess - count);
      remaining -= count;
    }
    return reserved;
  }

  /** Counts anew when the counts are no longer valid. */
  private refresh(): void {
    const now = this.clock.now();
    if (now - this.countedAt < RECLAIM_RECOUNT_MS) return;
    this.countedAt = now;
    this.countExcess();
    this.countReclaimable();
  }

  private countExcess(): void {
    this.excessCpus.clear();
    for (const { team, placedCount, cpus } of this.replica.assignments()) {
      this.excessCpus.set(team, (this.excessCpus.get(team) ?? 0) + placedCount * cpus);
    }
    for (const [team, cpus] of this.excessCpus) {
      const beyond = cpus - (this.teams.get(team)?.cpus ?? 0);
      if (beyond > 0) this.excessCpus.set(team, beyond);
      else this.excessCpus.delete(team);
    }
  }

  private countReclaimable(): void {
    this.reclaimableByMachine.clear();
    for (const assignment of this.replica.assignments()) {
      if (!this.excessCpus.has(assignment.team)) continue;
      if (this.replica.job(assignment.job)?.spec.kind !== 'array') continue;
      for (const name of assignment.machines) {
        const teams = this.reclaimableByMachine.get(name) ?? new Map<string, Reclaimable>();
        this.reclaimableByMachine.set(name, teams);
        const reclaimable = teams.get(assignment.team) ?? { cpus: 0, memoryGb: 0 };
        reclaimable.cpus += assignment.cpus;
        reclaimable.memoryGb += assignment.memoryGb;
        teams.set(assignment.team, reclaimable);
      }
    }
  }
}
