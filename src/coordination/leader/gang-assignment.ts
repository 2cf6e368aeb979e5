/** Assigns gangs to parts: all tasks of a gang under one attempt number, or none. */
import { START_TARGET_FETCH_SHARE } from '../../constants/scheduling.js';
import type { JobSpec } from '../../protocol/model.js';
import { readCatalog } from '../../storage/catalog.js';
import type { Log } from '../../storage/log.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import { reclaimModeFor, type MachineCapacity } from '../capacity/machine-capacity.js';
import { resourcesOf } from '../capacity/resources.js';
import type { GangHistory } from './gang-history.js';
import { planGang, type GangPlan, type ImageHints, type GangShare } from './gang-plan.js';
import type { ReclaimPlan, FairShareReclaim } from './fair-share-reclaim.js';
import type { OpenJob } from './scheduling-order.js';
import type { SchedulingCycle } from './scheduling-cycle.js';
import type { AssignmentFactory } from './assignment-factory.js';
import { allocateInShardZone, allocateInZone } from './capacity-allocation.js';
import type { TeamQuota } from './team-quota.js';

/** What the assignment of gangs works with. */
export interface GangAssignmentOptions {
  readonly gangHistory: GangHistory;
  readonly fairShareReclaim: FairShareReclaim;
  readonly teamQuota: TeamQuota;
  readonly assignmentFactory: AssignmentFactory;
  readonly replica: StoreReplica;
  readonly log: Log;
  /** Seconds within which tasks of a class should start. */
  readonly startWithinS: Readonly<Record<string, number>>;
}

/** A plan that has room for a gang: now, or soon. */
type PlannedShares = Extract<GangPlan, { shares: GangShare[] }>;

/** Where a gang goes, and the room of other teams that it claims for this; null: it needs none. */
interface GangDecision {
  readonly plan: GangPlan;
  readonly reclaimPlan: ReclaimPlan | null;
}

/** Assigns gangs whose turn it is. */
export class GangAssignment {
  constructor(private readonly options: GangAssignmentOptions) {}

  /**
   * Assigns a gang, if it has room as a whole. While it has none, or its team's limit allows none,
   * what there is of it is reserved from the work behind it for a while.
   */
  assign(job: OpenJob, cycle: SchedulingCycle): void {
    const { gangHistory, teamQuota } = this.options;
    const { id, spec } = job;
    // While a part still has some of its tasks, these end first.
    if (job.unassigned < spec.tasks || !gangHistory.isRetryDue(id, cycle.startedAt)) return;
    const reservesCapacity = gangHistory.reservesCapacity(id, cycle.startedAt);
    const exceedsQuota = teamQuota.wouldExceed(spec.team, resourcesOf(spec, spec.tasks));
    const decision = exceedsQuota ? null : this.decide(job, cycle.machines);
    // While it waits, its share of the limit is reserved too, but not for ever: small jobs go on.
    if (decision?.plan.shares || reservesCapacity) teamQuota.recordUse(spec, spec.tasks);
    if (!decision) {
      teamQuota.recordWaiting(job);
      return;
    }
    const { plan, reclaimPlan } = decision;
    if (plan.shares) {
      this.assignShares(job, plan, reclaimPlan, cycle);
      return;
    }
    cycle.unmetDemand.push({
      spec: { ...spec, zone: plan.zone },
      count: plan.missingTasks,
      acceptedAt: job.acceptedAt,
    });
    if (reservesCapacity && plan.zone !== null) allocateInZone(spec, plan.zone, cycle.machines);
  }

  private decide(job: OpenJob, machines: readonly MachineCapacity[]): GangDecision {
    const plan = planGang(job.spec, machines, this.imageHints(job.spec));
    const reclaimPlan = job.isWithinGuarantee ? this.planReclaim(job.spec, plan, machines) : null;
    return reclaimPlan
      ? { plan: { shares: [reclaimPlan.share], availability: 'immediate' }, reclaimPlan }
      : { plan, reclaimPlan };
  }

  private assignShares(
    job: OpenJob,
    { shares, availability }: PlannedShares,
    reclaimPlan: ReclaimPlan | null,
    cycle: SchedulingCycle,
  ): void {
    const { assignmentFactory, gangHistory, log } = this.options;
    const { id, spec } = job;
    const attempt = gangHistory.nextAttempt(id, cycle.startedAt);
    const [largest] = shares;
    if (largest) gangHistory.recordPlacement(spec.image, largest);
    const reclaim = reclaimPlan && { reclaim: reclaimPlan.reclaim };
    let firstId = 0;
    for (const share of shares) {
      const shareStart = firstId;
      const ids = Array.from({ length: share.count }, (_, offset) => shareStart + offset);
      firstId += share.count;
      const assignments = assignmentFactory.create(spec, share, ids, { attempt, ...reclaim });
      cycle.assignments.push(...assignments);
      for (const { key } of assignments) cycle.urgentKeys.add(key);
      allocateInShardZone(spec, share, share.count, cycle.machines);
    }
    log.info({ job: id, attempt, shares, availability, ...reclaim }, 'gang assigned');
  }

  /** What a gang within its team's guarantee may claim of other teams; null: nothing, or no need. */
  private planReclaim(
    spec: JobSpec,
    plan: GangPlan,
    machines: readonly MachineCapacity[],
  ): ReclaimPlan | null {
    // Urgent gangs stop lower work in any case.
    if (plan.shares && (plan.availability === 'immediate' || reclaimModeFor(spec) === 'preempt'))
      return null;
    return this.options.fairShareReclaim.find(spec, machines);
  }

  /** Where the image of a gang is already, and which machine types fetch it in time. */
  private imageHints(spec: JobSpec): ImageHints {
    const { gangHistory, replica, startWithinS } = this.options;
    const startLimitS = startWithinS[spec.class];
    const types = new Map((readCatalog(replica) ?? []).map((type) => [type.name, type]));
    return {
      lastShardZone: gangHistory.lastShardZoneOf(spec.image),
      isFetchInTime: (name) => {
        const type = types.get(name);
        if (startLimitS === undefined || !type) return true;
        return spec.imageGb <= type.fetchGbPerS * startLimitS * START_TARGET_FETCH_SHARE;
      },
    };
  }
}
