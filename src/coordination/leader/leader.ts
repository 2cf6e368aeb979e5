/** The leader's round: it completes jobs whose tasks are done, and assigns tasks to parts. */
import { InvalidChangeBackoff } from '../../storage/rejected-change-backoff.js';
import { JOBS } from '../../storage/keys.js';
import type { Log } from '../../storage/log.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Clock } from '../../transport/clock.js';
import type { FleetSnapshot } from '../capacity/machine-capacity.js';
import type { GuardedWriter } from '../election/guarded-writer.js';
import { AssignmentPlanner, type AssignmentPlannerOptions } from './assignment-planner.js';
import type { AssignmentRound } from './assignment-round.js';
import { ChunkCommit } from './assignment-commit.js';
import { JobCompletion } from './job-completion.js';
import { Ledger } from '../capacity/capacity-accounting.js';
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
  readonly txnOps: number;
}

/** Completes jobs and assigns tasks to parts, round by round. */
export class Leader {
  private readonly ledger: Ledger;
  private readonly arrivals: RecentArrivals;
  /** Jobs whose changes the state service called invalid. */
  private readonly invalidBackoff: InvalidChangeBackoff;
  private readonly planner: AssignmentPlanner;
  private readonly jobCompletion: JobCompletion;
  private readonly chunkCommit: ChunkCommit;
  private busy = false;
  /** ms that the last round took, its waiting for the state service aside. */
  costMs = 0;
  /** The fleet, and the demand that it does not meet, as the last round found them. */
  snapshot: FleetSnapshot = { machines: [], unmet: [], comingCpus: 0, coming: null, gangs: [] };

  constructor(
    options: LeaderOptions,
    private readonly replica: StoreReplica,
    private readonly clock: Clock,
    log: Log,
  ) {
    const ledger = new Ledger(replica, clock);
    const arrivals = new RecentArrivals(replica, clock);
    const invalidBackoff = new InvalidChangeBackoff(clock);
    const services = { ...options, ledger, arrivals, invalidBackoff, replica, clock, log };
    this.ledger = ledger;
    this.arrivals = arrivals;
    this.invalidBackoff = invalidBackoff;
    this.planner = new AssignmentPlanner(services);
    this.jobCompletion = new JobCompletion(services);
    this.chunkCommit = new ChunkCommit(services);
  }

  /** Half of the numbers of this term are used: the leader should go on under a new one. */
  get needsNewTerm(): boolean {
    return this.planner.isRunningOut;
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
      const round = this.planner.plan();
      this.snapshot = this.snapshotOf(round);
      this.costMs = this.clock.now() - round.startedAt;
      return await this.chunkCommit.run(round.chunks, round.urgentKeys);
    } finally {
      this.busy = false;
    }
  }

  private snapshotOf({ fleet, unmet }: AssignmentRound): FleetSnapshot {
    return {
      machines: fleet,
      unmet,
      comingCpus: this.arrivals.cpus,
      coming: this.arrivals.last,
      gangs: this.arrivals.gangs.largest,
    };
  }
}
