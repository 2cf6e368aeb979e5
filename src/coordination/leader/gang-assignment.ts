/** Assigns gangs to parts: all tasks of a gang under one attempt number, or none. */
import { START_TARGET_FETCH_SHARE } from '../../constants/scheduling.js';
import type { JobSpec } from '../../protocol/model.js';
import { readCatalog } from '../../storage/catalog.js';
import type { Log } from '../../storage/log.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import { need, reclaimModeFor, type MachineCapacity } from '../capacity/machine-capacity.js';
import type { GangHistory } from './gang-history.js';
import { planGang, type GangPlan, type ImageHints, type Share } from './gang-plan.js';
import type { FairShareClaim, FairShareReclaim } from './fair-share-reclaim.js';
import type { OpenJob } from './scheduling-order.js';
import type { SchedulingCycle } from './assignment-round.js';
import type { AssignmentFactory } from './assignment-factory.js';
import { allocateInShardZone, allocateInZone } from './capacity-allocation.js';
import type { TeamQuota } from './team-quota.js';

/** What the assignment of gangs works with. */
export interface GangAssignmentOptions {
  readonly gangs: GangHistory;
  readonly claims: FairShareReclaim;
  readonly limits: TeamQuota;
  readonly assignmentFactory: AssignmentFactory;
  readonly replica: StoreReplica;
  readonly log: Log;
  /** Seconds within which tasks of a class should start. */
  readonly startWithinS: Readonly<Record<string, number>>;
}

/** A plan that has room for a gang: now, or soon. */
type PlannedShares = Extract<GangPlan, { shares: Share[] }>;

/** Where a gang goes, and the room of other teams that it claims for this; null: it needs none. */
interface GangDecision {
  readonly plan: GangPlan;
  readonly claim: FairShareClaim | null;
}

/** Assigns gangs whose turn it is. */
export class GangAssignment {
  constructor(private readonly options: GangAssignmentOptions) {}

  /**
   * Assigns a gang, if it has room as a whole. While it has none, or its team's limit allows none,
   * what there is of it is reserved from the work behind it for a while.
   */
  assign(job: OpenJob, cycle: SchedulingCycle): void {
    const { gangs, limits } = this.options;
    const { id, spec } = job;
    // While a part still has some of its tasks, these end first.
    if (job.unassigned < spec.tasks || !gangs.mayTry(id, cycle.startedAt)) return;
    const reserves = gangs.reservesCapacity(id, cycle.startedAt);
    const exceeds = limits.wouldExceed(spec.team, need(spec, spec.tasks));
    const decision = exceeds ? null : this.decide(job, cycle.machines);
    // While it waits, its share of the limit is reserved too, but not for ever: small jobs go on.
    if (decision?.plan.shares || reserves) limits.use(spec, spec.tasks);
    if (!decision) {
      limits.noteWaiting(job);
      return;
    }
    const { plan, claim } = decision;
    if (plan.shares) {
      this.assignShares(job, plan, claim, cycle);
      return;
    }
    cycle.unmet.push({ spec: { ...spec, zone: plan.zone }, count: plan.missing, at: job.at });
    if (reserves && plan.zone !== null) allocateInZone(spec, plan.zone, cycle.machines);
  }

  private decide(job: OpenJob, machines: readonly MachineCapacity[]): GangDecision {
    const plan = planGang(job.spec, machines, this.imageHints(job.spec));
    const claim = job.guaranteed ? this.claimFor(job.spec, plan, machines) : null;
    return claim ? { plan: { shares: [claim.share], when: 'now' }, claim } : { plan, claim };
  }

  private assignShares(
    job: OpenJob,
    { shares, when }: PlannedShares,
    claim: FairShareClaim | null,
    cycle: SchedulingCycle,
  ): void {
    const { assignmentFactory, gangs, log } = this.options;
    const { id, spec } = job;
    const attempt = gangs.attempt(id, cycle.startedAt);
    const [largest] = shares;
    if (largest) gangs.placed(spec.image, largest);
    const reclaim = claim && { reclaim: claim.reclaim };
    let first = 0;
    for (const share of shares) {
      const start = first;
      const ids = Array.from({ length: share.count }, (_, offset) => start + offset);
      first += share.count;
      const assignments = assignmentFactory.create(spec, share, ids, { attempt, ...reclaim });
      cycle.assignments.push(...assignments);
      for (const { key } of assignments) cycle.urgentKeys.add(key);
      allocateInShardZone(spec, share, share.count, cycle.machines);
    }
    log.info({ job: id, attempt, shares, when, ...reclaim }, 'gang assigned');
  }

  /** What a gang within its team's guarantee may claim of other teams; null: nothing, or no need. */
  private claimFor(
    spec: JobSpec,
    plan: GangPlan,
    machines: readonly MachineCapacity[],
  ): FairShareClaim | null {
    // Urgent gangs stop lower work in any case.
    if (plan.shares && (plan.when === 'now' || reclaimModeFor(spec) === 'stopping')) return null;
    return this.options.claims.find(spec, machines);
  }

  /** Where the image of a gang is already, and which machine types fetch it in time. */
  private imageHints(spec: JobSpec): ImageHints {
    const { gangs, replica, startWithinS } = this.options;
    const withinS = startWithinS[spec.class];
    const types = new Map((readCatalog(replica) ?? []).map((type) => [type.name, type]));
    return {
      lastPlace: gangs.placeOf(spec.image),
      fetchesInTime: (name) => {
        const type = types.get(name);
        if (withinS === undefined || !type) return true;
        return spec.imageGb <= type.fetchGbPerS * withinS * START_TARGET_FETCH_SHARE;
      },
    };
  }
}
