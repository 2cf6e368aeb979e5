/** Runs the leader: completes jobs whose tasks are done, and assigns tasks to shards. */
import { RejectedChangeBackoff } from '../../storage/rejected-change-backoff.js';
import { JOBS } from '../../storage/keys.js';
import type { Log } from '../../storage/log.js';
import { PassSteps } from '../../storage/pass-steps.js';
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

/** Options that the leader passes to its planner. */
type PlannerSettings = Pick<
  AssignmentPlannerOptions,
  'term' | 'valueBytes' | 'teams' | 'members' | 'startWithinS' | 'supply' | 'acceptsNewWork'
>;

/** Options of a leader in one term. */
export interface LeaderOptions extends PlannerSettings {
  readonly writer: GuardedWriter;
  /** Maximum number of changes in one transaction. */
  readonly transactionOps: number;
}

/** Completes jobs and assigns tasks to shards, in successive scheduling cycles of one term. */
export class Leader {
  private readonly accounting: CapacityAccounting;
  private readonly arrivals: RecentArrivals;
  /** Pauses for jobs whose changes the key-value store rejected as invalid. */
  private readonly rejectedChangeBackoff: RejectedChangeBackoff;
  private readonly planner: AssignmentPlanner;
  private readonly jobCompletion: JobCompletion;
  private readonly assignmentCommit: AssignmentCommit;
  private readonly singleFlight = new SingleFlight();
  private readonly steps: PassSteps;
  /** Duration of planning in the last cycle in ms, without waiting for the key-value store. */
  lastPlanningMs = 0;
  /** The machines after the last scheduling cycle was planned, and the unmet demand. */
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
    this.steps = new PassSteps(log, { term: options.term });
    const accounting = new CapacityAccounting(replica, clock);
    const arrivals = new RecentArrivals(replica, clock);
    const rejectedChangeBackoff = new RejectedChangeBackoff(clock);
    const dependencies = {
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
    this.planner = new AssignmentPlanner(dependencies);
    this.jobCompletion = new JobCompletion(dependencies);
    this.assignmentCommit = new AssignmentCommit(dependencies);
  }

  /**
   * Whether half of this term's assignment or attempt numbers are used, so that the leader should
   * continue under a new term.
   */
  get needsTermRenewal(): boolean {
    return this.planner.needsTermRenewal;
  }

  /** Updates the accounting and the recent arrivals after a change of a key in the replica. */
  onKeyChanged(key: string): void {
    this.accounting.onKeyChanged(key);
    if (key.startsWith(JOBS)) this.arrivals.onJobChanged(key.slice(JOBS.length));
  }

  /**
   * Runs a scheduling cycle. Returns the shards to which urgent work was assigned; none if another
   * cycle is still running.
   */
  async reconcile(): Promise<Set<string>> {
    return (await this.singleFlight.run(() => this.runCycle())) ?? new Set();
  }

  private async runCycle(): Promise<Set<string>> {
    this.accounting.refresh();
    this.rejectedChangeBackoff.removeExpired();
    await this.steps.runAsync('complete jobs', () => this.jobCompletion.run());
    if (!this.replica.isSynced) return new Set();
    const cycle = this.planner.plan();
    this.snapshot = this.snapshotOf(cycle);
    this.lastPlanningMs = this.clock.now() - cycle.startedAt;
    return await this.assignmentCommit.run(cycle.assignments, cycle.urgentAssignmentKeys);
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
