/**
 * Assigns gangs to shards. All tasks of a gang are assigned under one attempt number, or none is.
 */
import { START_TARGET_FETCH_FRACTION } from '../../constants/scheduling.js';
import type { JobSpec } from '../../protocol/model.js';
import { readCatalog } from '../../storage/catalog.js';
import type { Log } from '../../storage/log.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import { broadestReclaimMode, type MachineCapacity } from '../capacity/machine-capacity.js';
import { resourcesOf } from '../capacity/resources.js';
import type { GangHistory } from './gang-history.js';
import { planGang, type GangPlan, type ImageHints, type GangSubset } from './gang-plan.js';
import type { ReclaimPlan, FairShareReclaim } from './fair-share-reclaim.js';
import type { OpenJob } from './scheduling-order.js';
import type { SchedulingCycle } from './scheduling-cycle.js';
import type { AssignmentFactory } from './assignment-factory.js';
import { allocateInShardZone, reserveFreeCapacityInZone } from './capacity-allocation.js';
import type { TeamQuota } from './team-quota.js';

/** Dependencies of the assignment of gangs. */
export interface GangAssignmentOptions {
  readonly gangHistory: GangHistory;
  readonly fairShareReclaim: FairShareReclaim;
  readonly teamQuota: TeamQuota;
  readonly assignmentFactory: AssignmentFactory;
  readonly replica: StoreReplica;
  readonly log: Log;
  /** Start-time objectives: maximum time in s from acceptance to start, by job class. */
  readonly startWithinS: Readonly<Record<string, number>>;
}

/** A gang plan that names subsets, as opposed to one that states the capacity that is lacking. */
type PlannedSubsets = Extract<GangPlan, { subsets: GangSubset[] }>;

/** A gang's plan, with subsets or without, and the reclaiming that it may need. */
interface GangDecision {
  readonly plan: GangPlan;
  /** Plan by which the gang reclaims capacity from other teams; null: it reclaims none. */
  readonly reclaimPlan: ReclaimPlan | null;
}

function consecutiveIds(first: number, count: number): number[] {
  return Array.from({ length: count }, (_, offset) => first + offset);
}

/** Assigns gangs, one after the other in scheduling order. */
export class GangAssignment {
  constructor(private readonly options: GangAssignmentOptions) {}

  /**
   * Assigns a gang if there is capacity for all of it. Otherwise records its missing capacity as
   * unmet demand and, during its reservation periods, allocates the free capacity of the planned
   * zone so that jobs later in the scheduling order do not get it. While its team's quota does not
   * suffice, nothing is assigned and only quota is reserved.
   */
  assign(job: OpenJob, cycle: SchedulingCycle): void {
    const { gangHistory, teamQuota } = this.options;
    const { id, spec } = job;
    // A gang is assigned only while all of its tasks are unassigned, that is, once no shard has any
    // task of the previous attempt.
    if (job.unassigned < spec.tasks || !gangHistory.isRetryDue(id, cycle.startedAt)) return;
    const reservesCapacity = gangHistory.reservesCapacity(id, cycle.startedAt);
    const exceedsQuota = teamQuota.wouldExceed(spec.team, resourcesOf(spec, spec.tasks));
    const decision = exceedsQuota ? null : this.decide(job, cycle.machines);
    // A gang that is not assigned reserves its team's quota during its reservation periods. Between
    // these periods, the quota is left to the team's small jobs.
    if (decision?.plan.subsets || reservesCapacity) teamQuota.recordUse(spec, spec.tasks);
    if (!decision) {
      teamQuota.recordWaiting(job);
      return;
    }
    const { plan, reclaimPlan } = decision;
    if (plan.subsets) {
      this.assignSubsets(job, plan, reclaimPlan, cycle);
      return;
    }
    const demand = { ...spec, zone: plan.zone };
    cycle.unmetDemand.push({
      spec: demand,
      count: plan.missingTasks,
      acceptedAt: job.acceptedAt,
    });
    if (reservesCapacity && plan.zone !== null)
      reserveFreeCapacityInZone(spec, plan.zone, cycle.machines);
  }

  private decide(job: OpenJob, machines: readonly MachineCapacity[]): GangDecision {
    const plan = planGang(job.spec, machines, this.imageHints(job.spec));
    const reclaimPlan = job.isWithinFairShare ? this.planReclaim(job.spec, plan, machines) : null;
    return reclaimPlan
      ? { plan: { subsets: [reclaimPlan.subset], availability: 'immediate' }, reclaimPlan }
      : { plan, reclaimPlan };
  }

  private assignSubsets(
    job: OpenJob,
    { subsets, availability }: PlannedSubsets,
    reclaimPlan: ReclaimPlan | null,
    cycle: SchedulingCycle,
  ): void {
    const { assignmentFactory, gangHistory, log } = this.options;
    const { id, spec } = job;
    const attempt = gangHistory.nextAttempt(id, cycle.startedAt);
    const [largest] = subsets;
    if (largest) gangHistory.recordPlacement(spec.image, largest);
    const reclaim = reclaimPlan && { reclaim: reclaimPlan.reclaim };
    let firstId = 0;
    for (const subset of subsets) {
      const ids = consecutiveIds(firstId, subset.count);
      firstId += subset.count;
      const assignments = assignmentFactory.create(spec, subset, ids, { attempt, ...reclaim });
      cycle.assignments.push(...assignments);
      for (const { key } of assignments) cycle.urgentAssignmentKeys.add(key);
      allocateInShardZone(spec, subset, subset.count, cycle.machines);
    }
    log.info({ job: id, attempt, subsets, availability, ...reclaim }, 'gang assigned');
  }

  /**
   * Returns a plan for a gang within its team's fair share to reclaim capacity from other teams;
   * null: no such plan exists, or the gang does not need one.
   */
  private planReclaim(
    spec: JobSpec,
    plan: GangPlan,
    machines: readonly MachineCapacity[],
  ): ReclaimPlan | null {
    // Urgent gangs may preempt non-urgent work regardless of fair shares.
    const mayPreempt = broadestReclaimMode(spec) === 'preempt';
    if (plan.subsets && (plan.availability === 'immediate' || mayPreempt)) return null;
    return this.options.fairShareReclaim.find(spec, machines);
  }

  /**
   * Returns the shard zone to which a gang with this image was last assigned, and a check whether a
   * machine type fetches the image within `START_TARGET_FETCH_FRACTION` of the start-time objective
   * of the gang's class. Without an objective, and for unknown types, the check returns true.
   */
  private imageHints(spec: JobSpec): ImageHints {
    const { gangHistory, replica, startWithinS } = this.options;
    const startLimitS = startWithinS[spec.class];
    const types = new Map((readCatalog(replica) ?? []).map((type) => [type.name, type]));
    return {
      lastShardZone: gangHistory.lastShardZoneOf(spec.image),
      isFetchInTime: (name) => {
        const type = types.get(name);
        if (startLimitS === undefined || !type) return true;
        return spec.imageGb <= type.fetchGbPerS * startLimitS * START_TARGET_FETCH_FRACTION;
      },
    };
  }
}
