/** The leader's round: it completes jobs whose tasks are done, and assigns tasks to parts. */
import { ASSIGN_PACE_MS, LATE_ROOM } from '../constants.js';
import type { Team } from '../protocol/settings.js';
import { InvalidChangeBackoff } from '../storage/invalid-change-backoff.js';
import { JOBS } from '../storage/keys.js';
import type { Log } from '../storage/log.js';
import type { Supply } from '../storage/rate-limiter.js';
import type { StoreReplica } from '../storage/store-replica.js';
import type { Clock } from '../transport/clock.js';
import { RecentArrivals } from './recent-arrivals.js';
import type { FleetSnapshot, MachineCapacity } from './capacity.js';
import { Gangs, reservedMachines } from './gangs.js';
import type { GuardedWriter } from './guarded-writer.js';
import { GuaranteeClaims } from './guarantee-claims.js';
import { Inventory } from './inventory.js';
import { AssignmentHistory } from './leader/assignment-history.js';
import type { AssignmentRound } from './leader/assignment-round.js';
import { ChunkCommit } from './leader/chunk-commit.js';
import { ChunkFactory } from './leader/chunk-factory.js';
import { GangAssignment } from './leader/gang-assignment.js';
import { JobCompletion } from './leader/job-completion.js';
import { PartAssignment } from './leader/part-assignment.js';
import { TaskDistribution } from './leader/task-distribution.js';
import { TeamLimits } from './leader/team-limits.js';
import { occupyForWaitingTasks } from './leader/waiting-tasks.js';
import { Ledger } from './ledger.js';
import { queuesByPlace } from './queues.js';
import type { Member } from './rendezvous.js';
import { schedulingOrder, type OpenJob } from './scheduling-order.js';

/** What a leader is told when it takes the role. */
export interface LeaderOptions {
  readonly term: number;
  readonly writer: GuardedWriter;
  /** Changes that one transaction may hold. */
  readonly txnOps: number;
  /** Bytes that one value may hold. */
  readonly valueBytes: number;
  readonly teams: readonly Team[];
  readonly members: readonly Member[];
  /** Seconds within which tasks of a class should start. */
  readonly startWithinS: Readonly<Record<string, number>>;
  /** How scarce this node's writes to the state service are. */
  readonly supply: () => Supply;
}

/** CPUs of these machines that lower work uses or may use. */
function cpusForLowerWork(machines: readonly MachineCapacity[]): number {
  return machines.reduce((sum, { cpus, lowCpus }) => sum + (Math.max(0, cpus) + lowCpus), 0);
}

/** Orders the open jobs and assigns their tasks to parts, round by round. */
export class Leader {
  private readonly teams: ReadonlyMap<string, Team>;
  private readonly ledger: Ledger;
  private readonly arrivals: RecentArrivals;
  private readonly inventory: Inventory;
  private readonly gangs: Gangs;
  private readonly limits: TeamLimits;
  private readonly history = new AssignmentHistory();
  private readonly partAssignment: PartAssignment;
  private readonly gangAssignment: GangAssignment;
  private readonly jobCompletion: JobCompletion;
  private readonly chunkCommit: ChunkCommit;
  /** Jobs whose changes the state service called invalid. */
  private readonly invalidBackoff: InvalidChangeBackoff;
  private busy = false;
  /** ms that the last round took, its waiting for the state service aside. */
  costMs = 0;
  /** The fleet, and the demand that it does not meet, as the last round found them. */
  snapshot: FleetSnapshot = { machines: [], unmet: [], comingCpus: 0, coming: null, gangs: [] };

  constructor(
    private readonly options: LeaderOptions,
    private readonly replica: StoreReplica,
    private readonly clock: Clock,
    log: Log,
  ) {
    const { startWithinS, term, txnOps, valueBytes, writer } = options;
    const teams = new Map(options.teams.map((team) => [team.name, team]));
    const ledger = new Ledger(replica, clock);
    const gangs = new Gangs(term);
    const claims = new GuaranteeClaims(teams, replica, clock);
    const limits = new TeamLimits({ teams, replica, ledger, log });
    const invalidBackoff = new InvalidChangeBackoff(clock);
    const chunkFactory = new ChunkFactory(term, valueBytes);
    const distribution = new TaskDistribution(replica, chunkFactory);
    const { history } = this;
    this.teams = teams;
    this.ledger = ledger;
    this.arrivals = new RecentArrivals(replica, clock);
    this.inventory = new Inventory(options.members, replica, ledger);
    this.gangs = gangs;
    this.limits = limits;
    this.invalidBackoff = invalidBackoff;
    this.partAssignment = new PartAssignment({ limits, history, distribution, clock });
    this.gangAssignment = new GangAssignment({
      gangs,
      claims,
      limits,
      chunkFactory,
      replica,
      log,
      startWithinS,
    });
    const commitOptions = { writer, txnOps, replica, invalidBackoff, log };
    this.jobCompletion = new JobCompletion({ ...commitOptions, ledger });
    this.chunkCommit = new ChunkCommit(commitOptions);
  }

  /** A key of the replica changed. */
  changed(key: string): void {
    this.ledger.changed(key);
    if (key.startsWith(JOBS)) this.arrivals.changed(key.slice(JOBS.length));
  }

  /** One round; returns the parts for which something urgent was written. */
  async round(): Promise<Set<string>> {
    if (this.busy) return new Set();
    this.busy = true;
    try {
      this.ledger.refresh();
      this.invalidBackoff.sweep();
      await this.jobCompletion.run();
      if (!this.replica.whole) return new Set();
      const { chunks, urgentKeys } = this.assign();
      return await this.chunkCommit.run(chunks, urgentKeys);
    } finally {
      this.busy = false;
    }
  }

  /** Assigns tasks by the room that is left, without committing anything. */
  private assign(): AssignmentRound {
    const startedAt = this.clock.now();
    this.history.expire(startedAt, ASSIGN_PACE_MS[this.options.supply()]);
    const machines = [...this.inventory.machines().values()];
    const round = this.createRound(startedAt, machines);
    this.limits.beginRound();
    for (const job of this.orderedJobs(round)) this.assignJob(job, round);
    this.forgetClosedJobs();
    this.snapshot = this.snapshotOf(machines, round);
    this.costMs = this.clock.now() - startedAt;
    return round;
  }

  private createRound(startedAt: number, fleet: readonly MachineCapacity[]): AssignmentRound {
    const machines = fleet.filter(({ health }) => health === 'ok');
    const gang = this.arrivals.gangs.patient;
    const reserved = gang ? reservedMachines(gang, machines) : new Set<string>();
    return {
      startedAt,
      machines,
      unreservedMachines: machines.filter(({ name }) => !reserved.has(name)),
      reserved,
      queues: queuesByPlace(machines, this.ledger.ending),
      unmet: [],
      chunks: [],
      urgentKeys: new Set(),
    };
  }

  /** Jobs in the order of their turn, once tasks that wait in parts have occupied their room. */
  private orderedJobs(round: AssignmentRound): OpenJob[] {
    const cpus = cpusForLowerWork(round.machines) * LATE_ROOM;
    occupyForWaitingTasks(round, this.ledger, this.replica);
    return schedulingOrder(this.replica.openJobs(), {
      progress: this.ledger.jobs,
      teams: this.teams,
      usage: this.limits.usage,
      cpus,
      wall: this.clock.wall(),
    });
  }

  private assignJob(job: OpenJob, round: AssignmentRound): void {
    if (this.invalidBackoff.has(job.id)) return;
    if (job.spec.kind === 'gang') this.gangAssignment.assign(job, round);
    else this.partAssignment.assign(job, round);
  }

  private forgetClosedJobs(): void {
    const isOpen = (job: string): boolean => this.replica.job(job) !== null;
    this.gangs.forget(isOpen);
    this.history.forgetClosed(isOpen);
    this.limits.endRound();
  }

  private snapshotOf(machines: MachineCapacity[], { unmet }: AssignmentRound): FleetSnapshot {
    return {
      machines,
      unmet,
      comingCpus: this.arrivals.cpus,
      coming: this.arrivals.last,
      gangs: this.arrivals.gangs.largest,
    };
  }
}
