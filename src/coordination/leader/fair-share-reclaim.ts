/**
 * Room that a gang may claim for its team's guarantee: other teams' arrays, as far as these teams
 * run beyond their own guarantees. This is the one case in which work stops work of equal priority.
 */
import { CLAIMS_MS } from '../../constants/gangs.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { JobSpec } from '../../protocol/model.js';
import type { Team } from '../../protocol/settings.js';
import type { Clock } from '../../transport/clock.js';
import { fitCount, isEligible, type MachineCapacity } from '../capacity/machine-capacity.js';
import type { Share } from './gang-plan.js';
import { shardZoneKey } from '../capacity/priorities.js';

/** Where a gang finds room by a claim, and how many CPUs it may stop of each team for it. */
export interface FairShareClaim {
  share: Share;
  reclaim: Record<string, number>;
}

/** What stopping some arrays would free on one machine. */
interface Reclaimable {
  cpus: number;
  memoryGb: number;
}

/** A place where a gang may go. */
interface CandidatePlace {
  shard: string;
  zone: string;
  /** Tasks of the gang that have free room. */
  free: number;
  /** Tasks that have room once other teams' arrays are stopped, those with free room included. */
  claimable: number;
}

/** Finds such room; its counts are valid for a moment, less what was claimed since. */
export class FairShareReclaim {
  private countedAt = -Infinity;
  /** CPUs that each team runs beyond its guarantee. */
  private readonly excess = new Map<string, number>();
  /** What stopping arrays of each team would free, by machine. */
  private readonly machines = new Map<string, Map<string, Reclaimable>>();

  constructor(
    private readonly teams: ReadonlyMap<string, Team>,
    private readonly replica: StoreReplica,
    private readonly clock: Clock,
  ) {}

  /** A place where all of the gang fits once such arrays are stopped; null: there is none. */
  find(spec: JobSpec, machines: readonly MachineCapacity[]): FairShareClaim | null {
    this.refresh();
    const excess = [...this.excess].filter(([team]) => team !== spec.team);
    const claimableCpus = excess.reduce((sum, [, cpus]) => sum + cpus, 0);
    if (claimableCpus < spec.cpus) return null;
    const teams = new Set(excess.map(([team]) => team));
    let best: CandidatePlace | null = null;
    for (const place of this.places(spec, machines, teams)) {
      const missing = Math.max(0, spec.tasks - place.free);
      if (place.claimable < spec.tasks || missing * spec.cpus > claimableCpus) continue;
      if (best === null || place.free > best.free) best = place;
    }
    if (best === null) return null;
    const { shard, zone } = best;
    const reclaim = this.claimCpus(excess, Math.max(0, spec.tasks - best.free) * spec.cpus);
    return { share: { shard, zone, count: spec.tasks }, reclaim };
  }

  private places(
    spec: JobSpec,
    machines: readonly MachineCapacity[],
    teams: ReadonlySet<string>,
  ): Iterable<CandidatePlace> {
    const places = new Map<string, CandidatePlace>();
    for (const machine of machines) {
      if (!isEligible(spec, machine)) continue;
      const { shard, zone } = machine;
      const key = shardZoneKey(shard, zone);
      const place = places.get(key) ?? { shard, zone, free: 0, claimable: 0 };
      places.set(key, place);
      const free = { cpus: machine.cpus, gpus: machine.gpus, memoryGb: machine.memoryGb };
      place.free += fitCount(free, spec);
      for (const [team, { cpus, memoryGb }] of this.machines.get(machine.name) ?? []) {
        if (!teams.has(team)) continue;
        free.cpus += cpus;
        free.memoryGb += memoryGb;
      }
      place.claimable += fitCount(free, spec);
    }
    return places.values();
  }

  /** Claims CPUs of what the teams run beyond their guarantees, the largest excess first. */
  private claimCpus(excess: [string, number][], cpus: number): Record<string, number> {
    const claimed: Record<string, number> = {};
    let left = cpus;
    for (const [team, most] of excess.sort(([, a], [, b]) => b - a)) {
      const count = Math.min(left, most);
      if (count <= 0) break;
      claimed[team] = count;
      this.excess.set(team, most - count);
      left -= count;
    }
    return claimed;
  }

  /** Counts anew when the counts are no longer valid. */
  private refresh(): void {
    const now = this.clock.now();
    if (now - this.countedAt < CLAIMS_MS) return;
    this.countedAt = now;
    this.countExcess();
    this.countMachines();
  }

  private countExcess(): void {
    this.excess.clear();
    for (const { team, placedCount: liveCount, cpus } of this.replica.assignments()) {
      this.excess.set(team, (this.excess.get(team) ?? 0) + liveCount * cpus);
    }
    for (const [team, cpus] of this.excess) {
      const beyond = cpus - (this.teams.get(team)?.cpus ?? 0);
      if (beyond > 0) this.excess.set(team, beyond);
      else this.excess.delete(team);
    }
  }

  private countMachines(): void {
    this.machines.clear();
    for (const assignment of this.replica.assignments()) {
      if (!this.excess.has(assignment.team)) continue;
      if (this.replica.job(assignment.job)?.spec.kind !== 'array') continue;
      for (const name of assignment.machines) {
        const teams = this.machines.get(name) ?? new Map<string, Reclaimable>();
        this.machines.set(name, teams);
        const found = teams.get(assignment.team) ?? { cpus: 0, memoryGb: 0 };
        found.cpus += assignment.cpus;
        found.memoryGb += assignment.memoryGb;
        teams.set(assignment.team, found);
      }
    }
  }
}
