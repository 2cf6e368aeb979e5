/** Plans a scheduling cycle: selects the tasks to be assigned and the shards that get them. */
import { ASSIGN_INTERVAL_MS, DEADLINE_CAPACITY_FRACTION } from '../../constants/leader.js';
import type { Team } from '../../protocol/settings.js';
import type { RejectedChangeBackoff } from '../../storage/rejected-change-backoff.js';
import type { Log } from '../../storage/log.js';
import { PassSteps } from '../../storage/pass-steps.js';
import type { Supply } from '../../storage/rate-limiter.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Clock } from '../../transport/clock.js';
import type { MachineCapacity } from '../capacity/machine-capacity.js';
import { reservedMachines } from '../capacity/gang-capacity.js';
import { GangHistory } from './gang-history.js';
import { FairShareReclaim } from './fair-share-reclaim.js';
import { MachineInventory } from '../capacity/machine-inventory.js';
import type { CapacityAccounting } from '../capacity/capacity-accounting.js';
import { queuesByShardZone } from './shard-queues.js';
import type { RecentArrivals } from './recent-arrivals.js';
import type { Member } from '../election/rendezvous-hashing.js';
import { schedulingOrder, type OpenJob } from './scheduling-order.js';
import { AssignmentHistory } from './assignment-history.js';
import type { SchedulingCycle } from './scheduling-cycle.js';
import { AssignmentFactory } from './assignment-factory.js';
import { GangAssignment } from './gang-assignment.js';
import { ShardAssignment } from './shard-assignment.js';
import { TaskDistribution } from './task-distribution.js';
import { TeamQuota } from './team-quota.js';
import { allocateForWaitingTasks } from './waiting-tasks.js';

/** Dependencies and settings of the planner. */
export interface AssignmentPlannerOptions {
  readonly term: number;
  /** Size limit of a value in the key-value store, in bytes. */
  readonly valueBytes: number;
  readonly teams: readonly Team[];
  readonly members: readonly Member[];
  /** Start-time objectives: maximum time in s from acceptance to start, by job class. */
  readonly startWithinS: Readonly<Record<string, number>>;
  /** Returns how scarce writes to the key-value store currently are for this controller. */
  readonly supply: () => Supply;
  /**
   * Returns whether a shard may get new tasks; false while the shard's holder is suspected of
   * failure.
   */
  readonly acceptsNewWork: (shard: string) => boolean;
  readonly accounting: CapacityAccounting;
  readonly arrivals: RecentArrivals;
  /** Pauses for jobs whose changes the key-value store rejected as invalid. */
  readonly rejectedChangeBackoff: RejectedChangeBackoff;
  readonly replica: StoreReplica;
  readonly clock: Clock;
  readonly log: Log;
}

/** Returns the CPUs of these machines that are free or used by non-urgent work. */
function cpusForNonUrgentWork(machines: readonly MachineCapacity[]): number {
  return machines.reduce(
    (sum, { cpus, preemptibleCpus }) => sum + (Math.max(0, cpus) + preemptibleCpus),
    0,
  );
}

/**
 * Plans scheduling cycles. Writes nothing to the key-value store, but keeps in memory the history
 * on which later cycles depend.
 */
export class AssignmentPlanner {
  private readonly teams: ReadonlyMap<string, Team>;
  private readonly inventory: MachineInventory;
  private readonly teamQuota: TeamQuota;
  private readonly gangHistory: GangHistory;
  private readonly assignmentFactory: AssignmentFactory;
  private readonly history = new AssignmentHistory();
  private readonly shardAssignment: ShardAssignment;
  private readonly gangAssignment: GangAssignment;
  private readonly steps: PassSteps;

  constructor(private readonly options: AssignmentPlannerOptions) {
    const { clock, accounting, log, replica, startWithinS, term } = options;
    const { history } = this;
    this.steps = new PassSteps(log, {});
    const teams = new Map(options.teams.map((team) => [team.name, team]));
    const teamQuota = new TeamQuota({ teams, replica, accounting, log });
    const gangHistory = new GangHistory(term);
    const fairShareReclaim = new FairShareReclaim(teams, replica, clock);
    const assignmentFactory = new AssignmentFactory(term, options.valueBytes);
    const distribution = new TaskDistribution(replica, assignmentFactory);
    const gangOptions = {
      gangHistory,
      fairShareReclaim,
      teamQuota,
      assignmentFactory,
      replica,
      log,
      startWithinS,
    };
    this.teams = teams;
    this.teamQuota = teamQuota;
    this.gangHistory = gangHistory;
    this.assignmentFactory = assignmentFactory;
    this.inventory = new MachineInventory(options.members, replica, accounting);
    this.shardAssignment = new ShardAssignment({ teamQuota, history, distribution, clock });
    this.gangAssignment = new GangAssignment(gangOptions);
  }

  /**
   * Whether half of this term's assignment numbers or half of its attempt numbers are used, so that
   * the leader should continue under a new term.
   */
  get needsTermRenewal(): boolean {
    return this.assignmentFactory.needsTermRenewal || this.gangHistory.needsTermRenewal;
  }

  /** Returns a scheduling cycle with new assignments, as far as capacity and team quotas remain. */
  plan(): SchedulingCycle {
    const { clock, supply } = this.options;
    const startedAt = clock.now();
    this.history.expire(startedAt, ASSIGN_INTERVAL_MS[supply()]);
    const cycle = this.createCycle(startedAt);
    this.teamQuota.beginCycle();
    for (const job of this.jobsInSchedulingOrder(cycle)) this.tryAssignJob(job, cycle);
    this.forgetClosedJobs();
    return cycle;
  }

  private createCycle(startedAt: number): SchedulingCycle {
    const { arrivals, accounting } = this.options;
    const fleet = [...this.inventory.machines().values()];
    const machines = fleet.filter(
      ({ health, shard }) => health === 'ok' && this.options.acceptsNewWork(shard),
    );
    const gang = arrivals.recentGangs.largestNonUrgent;
    const reserved = gang ? reservedMachines(gang, machines) : new Set<string>();
    return {
      startedAt,
      fleet,
      machines,
      unreservedMachines: machines.filter(({ name }) => !reserved.has(name)),
      reservedMachineNames: reserved,
      queues: queuesByShardZone(machines, accounting.endingCpusPerS),
      unmetDemand: [],
      assignments: [],
      urgentAssignmentKeys: new Set(),
    };
  }

  /**
   * Allocates capacity for tasks that already wait in shards. Returns the jobs that have unassigned
   * tasks, in scheduling order.
   */
  private jobsInSchedulingOrder(cycle: SchedulingCycle): OpenJob[] {
    const { clock, accounting, replica } = this.options;
    const cpus = cpusForNonUrgentWork(cycle.machines) * DEADLINE_CAPACITY_FRACTION;
    this.steps.run('allocate capacity for waiting tasks', () =>
      allocateForWaitingTasks(cycle, accounting, replica),
    );
    return schedulingOrder(replica.openJobs(), {
      progress: accounting.jobs,
      teams: this.teams,
      usage: this.teamQuota.usage,
      cpus,
      wallClockMs: clock.wall(),
    });
  }

  /** Assigns tasks of a job; if that fails, the job gets none, so that no gang is assigned in part. */
  private tryAssignJob(job: OpenJob, cycle: SchedulingCycle): void {
    const countBefore = cycle.assignments.length;
    const isAssigned = this.steps.run(`assign tasks of ${job.id}`, () =>
      this.assignJob(job, cycle),
    );
    if (!isAssigned) cycle.assignments.length = countBefore;
  }

  private assignJob(job: OpenJob, cycle: SchedulingCycle): void {
    if (this.options.rejectedChangeBackoff.isPaused(job.id)) return;
    if (job.spec.kind === 'gang') this.gangAssignment.assign(job, cycle);
    else this.shardAssignment.assign(job, cycle);
  }

  private forgetClosedJobs(): void {
    const isOpen = (job: string): boolean => this.options.replica.job(job) !== null;
    this.gangHistory.forgetClosed(isOpen);
    this.history.forgetClosed(isOpen);
    this.teamQuota.forgetClosed(isOpen);
  }
}
