/**
 * Finds capacity for a gang within its team's fair share, by preempting arrays of teams that use
 * more than their own fair shares. This is the only case in which work preempts work of equal
 * priority.
 */
import { RECLAIM_RECOUNT_MS } from '../../constants/gangs.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { JobSpec } from '../../protocol/model.js';
import type { Team } from '../../protocol/settings.js';
import type { Clock } from '../../transport/clock.js';
import type { MachineCapacity } from '../capacity/machine-capacity.js';
import type { Resources } from '../capacity/resources.js';
import type { GangSubset } from './gang-plan.js';
import { gangCapacityByShardZone, type GangCapacity } from './gang-shard-zones.js';

/** Plan to place a gang in one shard zone by preempting arrays of other teams there. */
export interface ReclaimPlan {
  readonly subset: GangSubset;
  /** CPUs of arrays that the gang may preempt, by team. */
  readonly reclaim: Record<string, number>;
}

/** CPUs that a team uses beyond its fair share. */
interface TeamExcess {
  readonly team: string;
  readonly cpus: number;
}

/** Resources that preempting one team's arrays would free on a machine. */
interface Reclaimable {
  cpus: number;
  memoryGb: number;
}

function totalCpus(excesses: readonly TeamExcess[]): number {
  return excesses.reduce((sum, { cpus }) => sum + cpus, 0);
}

/**
 * Returns the CPUs of a gang's tasks that do not fit into a shard zone's free capacity; 0: all fit.
 */
function missingCpus(spec: JobSpec, { immediate }: GangCapacity): number {
  return Math.max(0, spec.tasks - immediate) * spec.cpus;
}

/**
 * Returns the shard zone with the most free capacity among those in which all of a gang fits after
 * reclaiming no more than `reclaimableCpus`; null: there is none.
 */
function bestCandidate(
  spec: JobSpec,
  candidates: Iterable<GangCapacity>,
  reclaimableCpus: number,
): GangCapacity | null {
  let best: GangCapacity | null = null;
  for (const candidate of candidates) {
    if (candidate.afterReclaim < spec.tasks) continue;
    if (missingCpus(spec, candidate) > reclaimableCpus) continue;
    if (best === null || candidate.immediate > best.immediate) best = candidate;
  }
  return best;
}

/**
 * Finds capacity that gangs may reclaim from other teams. Each team's excess and reclaimable
 * resources are recounted at most once per `RECLAIM_RECOUNT_MS`. Until the next count, CPUs that a
 * gang may preempt are deducted from the excess of the team that uses them.
 */
export class FairShareReclaim {
  private countedAt = -Infinity;
  /** CPUs that each team uses beyond its fair share; teams without any are omitted. */
  private readonly excessCpus = new Map<string, number>();
  /**
   * Resources that preempting the arrays of each team with an excess would free, by machine and
   * team.
   */
  private readonly reclaimableByMachine = new Map<string, Map<string, Reclaimable>>();

  constructor(
    private readonly teams: ReadonlyMap<string, Team>,
    private readonly replica: StoreReplica,
    private readonly clock: Clock,
  ) {}

  /**
   * Returns a plan for a shard zone in which all of the gang fits once arrays of teams with an
   * excess are preempted, and deducts the CPUs that the gang may preempt from the excesses of these
   * teams; null: there is no such shard zone.
   */
  find(spec: JobSpec, machines: readonly MachineCapacity[]): ReclaimPlan | null {
    this.refresh();
    const excesses = this.excessesOfOtherTeams(spec.team);
    const reclaimableCpus = totalCpus(excesses);
    if (reclaimableCpus < spec.cpus) return null;
    const teams = new Set(excesses.map(({ team }) => team));
    const capacities = gangCapacityByShardZone(spec, machines, (machine) =>
      this.withoutArraysOf(teams, machine),
    );
    const best = bestCandidate(spec, capacities.values(), reclaimableCpus);
    if (best === null) return null;
    const { shard, zone } = best;
    const reclaim = this.deductExcess(excesses, missingCpus(spec, best));
    return { subset: { shard, zone, count: spec.tasks }, reclaim };
  }

  private excessesOfOtherTeams(ownTeam: string): TeamExcess[] {
    const excesses = [...this.excessCpus].map(([team, cpus]) => ({ team, cpus }));
    return excesses.filter(({ team }) => team !== ownTeam);
  }

  /** Returns what is free on a machine once the arrays of these teams are preempted there. */
  private withoutArraysOf(teams: ReadonlySet<string>, machine: MachineCapacity): Resources {
    const free = { cpus: machine.cpus, gpus: machine.gpus, memoryGb: machine.memoryGb };
    for (const [team, { cpus, memoryGb }] of this.reclaimableByMachine.get(machine.name) ?? []) {
      if (!teams.has(team)) continue;
      free.cpus += cpus;
      free.memoryGb += memoryGb;
    }
    return free;
  }

  /**
   * Deducts CPUs from the teams' excesses, the largest excess first. Returns the CPUs deducted by
   * team.
   */
  private deductExcess(excesses: readonly TeamExcess[], cpus: number): Record<string, number> {
    const deducted: Record<string, number> = {};
    let remaining = cpus;
    for (const excess of [...excesses].sort((a, b) => b.cpus - a.cpus)) {
      const count = Math.min(remaining, excess.cpus);
      if (count <= 0) break;
      deducted[excess.team] = count;
      this.excessCpus.set(excess.team, excess.cpus - count);
      remaining -= count;
    }
    return deducted;
  }

  /**
   * Recounts the excesses and the reclaimable resources if the last count is at least
   * `RECLAIM_RECOUNT_MS` ago.
   */
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
      const excess = cpus - (this.teams.get(team)?.cpus ?? 0);
      if (excess > 0) this.excessCpus.set(team, excess);
      else this.excessCpus.delete(team);
    }
  }

  private countReclaimable(): void {
    this.reclaimableByMachine.clear();
    for (const assignment of this.replica.assignments()) {
      if (!this.excessCpus.has(assignment.team)) continue;
      if (this.replica.job(assignment.job)?.spec.kind !== 'array') continue;
      for (const name of assignment.machines) {
        const byTeam = this.reclaimableByMachine.get(name) ?? new Map<string, Reclaimable>();
        this.reclaimableByMachine.set(name, byTeam);
        const reclaimable = byTeam.get(assignment.team) ?? { cpus: 0, memoryGb: 0 };
        reclaimable.cpus += assignment.cpus;
        reclaimable.memoryGb += assignment.memoryGb;
        byTeam.set(assignment.team, reclaimable);
      }
    }
  }
}
