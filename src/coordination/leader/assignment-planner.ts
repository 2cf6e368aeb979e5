/** Plans an assigning round: which tasks of which jobs go to which parts. */
import { ASSIGN_INTERVAL_MS, DEADLINE_CAPACITY_SHARE } from '../../constants/leader.js';
import type { Team } from '../../protocol/settings.js';
import type { RejectedChangeBackoff } from '../../storage/rejected-change-backoff.js';
import type { Log } from '../../storage/log.js';
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

/** What assigning rounds are planned with. */
export interface AssignmentPlannerOptions {
  readonly term: number;
  /** Bytes that one value may hold. */
  readonly valueBytes: number;
  readonly teams: readonly Team[];
  readonly members: readonly Member[];
  /** Seconds within which tasks of a class should start. */
  readonly startWithinS: Readonly<Record<string, number>>;
  /** How scarce this node's writes to the state service are. */
  readonly supply: () => Supply;
  /** Whether a part may get new tasks: not while its owner is suspected. */
  readonly acceptsNewWork: (shard: string) => boolean;
  readonly accounting: CapacityAccounting;
  readonly arrivals: RecentArrivals;
  /** Jobs whose changes the state service called invalid. */
  readonly rejectedChangeBackoff: RejectedChangeBackoff;
  readonly replica: StoreReplica;
  readonly clock: Clock;
  readonly log: Log;
}

/** CPUs of these machines that lower work uses or may use. */
function cpusForNonUrgentWork(machines: readonly MachineCapacity[]): number {
  return machines.reduce(
    (sum, { cpus, preemptibleCpus }) => sum + (Math.max(0, cpus) + preemptibleCpus),
    0,
  );
}

/** Plans assigning rounds; it writes nothing, and remembers what later rounds depend on. */
export class AssignmentPlanner {
  private readonly teams: ReadonlyMap<string, Team>;
  private readonly inventory: MachineInventory;
  private readonly teamQuota: TeamQuota;
  private readonly gangHistory: GangHistory;
  private readonly assignmentFactory: AssignmentFactory;
  private readonly history = new AssignmentHistory();
  private readonly shardAssignment: ShardAssignment;
  private readonly gangAssignment: GangAssignment;

  constructor(private readonly options: AssignmentPlannerOptions) {
    const { clock, accounting, log, replica, startWithinS, term } = options;
    const { history } = this;
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

  /** The leader needs a new term before it has used all numbers of this one. */
  get isRunningOut(): boolean {
    return this.assignmentFactory.isRunningOut || this.gangHistory.isRunningOut;
  }

  /** Plans a round by the room and the team limits that are left now. */
  plan(): SchedulingCycle {
    const { clock, supply } = this.options;
    const startedAt = clock.now();
    this.history.expire(startedAt, ASSIGN_INTERVAL_MS[supply()]);
    const cycle = this.createCycle(startedAt);
    this.teamQuota.beginCycle();
    for (const job of this.jobsInSchedulingOrder(cycle)) this.assignJob(job, cycle);
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
      urgentKeys: new Set(),
    };
  }

  /** Jobs in the order of their turn, once tasks that wait in parts have occupied their room. */
  private jobsInSchedulingOrder(cycle: SchedulingCycle): OpenJob[] {
    const { clock, accounting, replica } = this.options;
    const cpus = cpusForNonUrgentWork(cycle.machines) * DEADLINE_CAPACITY_SHARE;
    allocateForWaitingTasks(cycle, accounting, replica);
    return schedulingOrder(replica.openJobs(), {
      progress: accounting.jobs,
      teams: this.teams,
      usage: this.teamQuota.usage,
      cpus,
      wall: clock.wall(),
    });
  }

  private assignJob(job: OpenJob, cycle: SchedulingCycle): void {
    if (this.options.rejectedChangeBackoff.has(job.id)) return;
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
