/** Plans an assigning round: which tasks of which jobs go to which parts. */
import { ASSIGN_PACE_MS, LATE_ROOM } from '../../constants.js';
import type { Team } from '../../protocol/settings.js';
import type { InvalidChangeBackoff } from '../../storage/rejected-change-backoff.js';
import type { Log } from '../../storage/log.js';
import type { Supply } from '../../storage/rate-limiter.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Clock } from '../../transport/clock.js';
import type { MachineCapacity } from '../capacity/machine-capacity.js';
import { reservedMachines } from '../capacity/gang-capacity.js';
import { GangHistory } from './gang-history.js';
import { GuaranteeClaims } from './fair-share-reclaim.js';
import { Inventory } from '../capacity/machine-inventory.js';
import type { Ledger } from '../capacity/capacity-accounting.js';
import { queuesByPlace } from './shard-queues.js';
import type { RecentArrivals } from './recent-arrivals.js';
import type { Member } from '../election/rendezvous-hashing.js';
import { schedulingOrder, type OpenJob } from './scheduling-order.js';
import { AssignmentHistory } from './assignment-history.js';
import type { AssignmentRound } from './assignment-round.js';
import { ChunkFactory } from './assignment-factory.js';
import { GangAssignment } from './gang-assignment.js';
import { PartAssignment } from './shard-assignment.js';
import { TaskDistribution } from './task-distribution.js';
import { TeamLimits } from './team-quota.js';
import { occupyForWaitingTasks } from './waiting-tasks.js';

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
  readonly acceptsNewWork: (part: string) => boolean;
  readonly ledger: Ledger;
  readonly arrivals: RecentArrivals;
  /** Jobs whose changes the state service called invalid. */
  readonly invalidBackoff: InvalidChangeBackoff;
  readonly replica: StoreReplica;
  readonly clock: Clock;
  readonly log: Log;
}

/** CPUs of these machines that lower work uses or may use. */
function cpusForLowerWork(machines: readonly MachineCapacity[]): number {
  return machines.reduce((sum, { cpus, lowCpus }) => sum + (Math.max(0, cpus) + lowCpus), 0);
}

/** Plans assigning rounds; it writes nothing, and remembers what later rounds depend on. */
export class AssignmentPlanner {
  private readonly teams: ReadonlyMap<string, Team>;
  private readonly inventory: Inventory;
  private readonly limits: TeamLimits;
  private readonly gangs: GangHistory;
  private readonly chunkFactory: ChunkFactory;
  private readonly history = new AssignmentHistory();
  private readonly partAssignment: PartAssignment;
  private readonly gangAssignment: GangAssignment;

  constructor(private readonly options: AssignmentPlannerOptions) {
    const { clock, ledger, log, replica, startWithinS, term } = options;
    const { history } = this;
    const teams = new Map(options.teams.map((team) => [team.name, team]));
    const limits = new TeamLimits({ teams, replica, ledger, log });
    const gangs = new GangHistory(term);
    const claims = new GuaranteeClaims(teams, replica, clock);
    const chunkFactory = new ChunkFactory(term, options.valueBytes);
    const distribution = new TaskDistribution(replica, chunkFactory);
    const gangOptions = { gangs, claims, limits, chunkFactory, replica, log, startWithinS };
    this.teams = teams;
    this.limits = limits;
    this.gangs = gangs;
    this.chunkFactory = chunkFactory;
    this.inventory = new Inventory(options.members, replica, ledger);
    this.partAssignment = new PartAssignment({ limits, history, distribution, clock });
    this.gangAssignment = new GangAssignment(gangOptions);
  }

  /** The leader needs a new term before it has used all numbers of this one. */
  get isRunningOut(): boolean {
    return this.chunkFactory.isRunningOut || this.gangs.isRunningOut;
  }

  /** Plans a round by the room and the team limits that are left now. */
  plan(): AssignmentRound {
    const { clock, supply } = this.options;
    const startedAt = clock.now();
    this.history.expire(startedAt, ASSIGN_PACE_MS[supply()]);
    const round = this.createRound(startedAt);
    this.limits.beginRound();
    for (const job of this.orderedJobs(round)) this.assignJob(job, round);
    this.forgetClosedJobs();
    return round;
  }

  private createRound(startedAt: number): AssignmentRound {
    const { arrivals, ledger } = this.options;
    const fleet = [...this.inventory.machines().values()];
    const machines = fleet.filter(
      ({ health, part }) => health === 'ok' && this.options.acceptsNewWork(part),
    );
    const gang = arrivals.gangs.largestNotUrgent;
    const reserved = gang ? reservedMachines(gang, machines) : new Set<string>();
    return {
      startedAt,
      fleet,
      machines,
      unreservedMachines: machines.filter(({ name }) => !reserved.has(name)),
      reserved,
      queues: queuesByPlace(machines, ledger.ending),
      unmet: [],
      chunks: [],
      urgentKeys: new Set(),
    };
  }

  /** Jobs in the order of their turn, once tasks that wait in parts have occupied their room. */
  private orderedJobs(round: AssignmentRound): OpenJob[] {
    const { clock, ledger, replica } = this.options;
    const cpus = cpusForLowerWork(round.machines) * LATE_ROOM;
    occupyForWaitingTasks(round, ledger, replica);
    return schedulingOrder(replica.openJobs(), {
      progress: ledger.jobs,
      teams: this.teams,
      usage: this.limits.usage,
      cpus,
      wall: clock.wall(),
    });
  }

  private assignJob(job: OpenJob, round: AssignmentRound): void {
    if (this.options.invalidBackoff.has(job.id)) return;
    if (job.spec.kind === 'gang') this.gangAssignment.assign(job, round);
    else this.partAssignment.assign(job, round);
  }

  private forgetClosedJobs(): void {
    const isOpen = (job: string): boolean => this.options.replica.job(job) !== null;
    this.gangs.forget(isOpen);
    this.history.forgetClosed(isOpen);
    this.limits.forgetClosed(isOpen);
  }
}
