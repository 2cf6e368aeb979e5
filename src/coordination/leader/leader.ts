/** The leader's round: it completes jobs whose tasks are done, and assigns tasks to parts. */
import { RejectedChangeBackoff } from '../../storage/rejected-change-backoff.js';
import { JOBS } from '../../storage/keys.js';
import type { Log } from '../../storage/log.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Clock } from '../../transport/clock.js';
import { SingleFlight } from '../../transport/concurrency.js';
import type { FleetSnapshot } from '../capacity/machine-capacity.js';
import type { GuardedWriter } from '../election/guarded-writer.js';
import { AssignmentPlanner, type AssignmentPlannerOptions } from './assignment-planner.js';
import type { SchedulingCycle } from './scheduling-cycle.js';
import { AssignmentCommit } from './assignment-commit.js';
import { JobCompletion } from './job-completion.js';
import { CapacityAccounting } from '../capacity/capacity-accounting.js';
import { RecentArrivals } from './recent-arrivals.js';

/** What the planner of assignments gets from its leader's options. */
type PlannerSettings = Pick<
  AssignmentPlannerOptions,
  'term' | 'valueBytes' | 'teams' | 'members' | 'startWithinS' | 'supply' | 'acceptsNewWork'
>;

/** What a leader works with in its term. */
export interface LeaderOptions extends PlannerSettings {
  readonly writer: GuardedWriter;
  /** Changes that one transaction may hold. */
  readonly transactionOps: number;
}

/** Completes jobs and assigns tasks to parts, round by round. */
export class Leader {
  private readonly accounting: CapacityAccounting;
  private readonly arrivals: RecentArrivals;
  /** Jobs whose changes the state service called invalid. */
  private readonly rejectedChangeBackoff: RejectedChangeBackoff;
  private readonly planner: AssignmentPlanner;
  private readonly jobCompletion: JobCompletion;
  private readonly assignmentCommit: AssignmentCommit;
  private readonly reconciling = new SingleFlight();
  /** ms that the last round took, its waiting for the state service aside. */
  lastCycleCpuMs = 0;
  /** The fleet, and the demand that it does not meet, as the last round found them. */
  snapshot: FleetSnapshot = {
    machines: [],
    unmetDemand: [],
    expectedCpus: 0,
    lastArray: null,
    recentGangs: [],
  };

  constructor(
    options: LeaderOptions,
    private readonly replica: StoreReplica,
    private readonly clock: Clock,
    log: Log,
  ) {
    const accounting = new CapacityAccounting(replica, clock);
    const arrivals = new RecentArrivals(replica, clock);
    const rejectedChangeBackoff = new RejectedChangeBackoff(clock);
    const services = {
      ...options,
      accounting,
      arrivals,
      rejectedChangeBackoff,
      replica,
      clock,
      log,
    };
    this.accounting = accounting;
    this.arrivals = arrivals;
    this.rejectedChangeBackoff = rejectedChangeBackoff;
    this.planner = new AssignmentPlanner(services);
    this.jobCompletion = new JobCompletion(services);
    this.assignmentCommit = new AssignmentCommit(services);
  }

  /** Half of the numbers of this term are used: the leader should go on under a new one. */
  get needsTermRenewal(): boolean {
    return this.planner.isRunningOut;
  }

  /** A key of the replica changed. */
  changed(key: string): void {
    this.accounting.changed(key);
    if (key.startsWith(JOBS)) this.arrivals.changed(key.slice(JOBS.length));
  }

  /** Runs a scheduling cycle; returns the shards for which urgent work was written. */
  async reconcile(): Promise<Set<string>> {
    return (await this.reconciling.run(() => this.runCycle())) ?? new Set();
  }

  private async runCycle(): Promise<Set<string>> {
    this.accounting.refresh();
    this.rejectedChangeBackoff.sweep();
    await this.jobCompletion.run();
    if (!this.replica.isSynced) return new Set();
    const cycle = this.planner.plan();
    this.snapshot = this.snapshotOf(cycle);
    this.lastCycleCpuMs = this.clock.now() - cycle.startedAt;
    return await this.assignmentCommit.run(cycle.assignments, cycle.urgentKeys);
  }

  private snapshotOf({ fleet, unmetDemand }: SchedulingCycle): FleetSnapshot {
    return {
      machines: fleet,
      unmetDemand,
      expectedCpus: this.arrivals.expectedCpus,
      lastArray: this.arrivals.lastArray,
      recentGangs: this.arrivals.recentGangs.largestByClass,
    };
  }
}
