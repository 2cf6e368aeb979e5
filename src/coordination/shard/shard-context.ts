/** The options, services and state that the parts of a shard share. */
import { readCatalog } from '../../storage/catalog.js';
import type { Committer } from '../../storage/committer.js';
import type { Log } from '../../storage/log.js';
import type { RateLimiter } from '../../storage/rate-limiter.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { JobSpec } from '../../protocol/model.js';
import type { WorkerApi } from '../../protocol/worker-api.js';
import type { Clock } from '../../transport/clock.js';
import type { GangSubsets } from './gang-subsets.js';
import type { Machines } from '../shard-state/machines.js';
import type { Assignment } from '../shard-state/assignment.js';
import type { Tasks } from '../shard-state/tasks.js';
import type { CostLearning } from './cost-learning.js';
import type { JobFailureBackoff } from './job-failure-backoff.js';

/** A shard's identity and settings, and the queries and callbacks that its controller provides. */
export interface ShardOptions {
  /** Name of the shard. */
  shard: string;
  /** Number of the shard among all shards; it is part of the shard's attempt numbers. */
  number: number;
  /** Term in which this controller holds the shard's role. */
  term: number;
  /** Key of the shard's role, which guards every write. */
  roleKey: string;
  /** Revision of the role's record that made this controller the holder. */
  roleRevision: number;
  /**
   * Steady time at which the leases granted by former holders have expired, so that a machine
   * without an answer from this holder has no tasks left.
   */
  fenceAt: number;
  /** Seconds for which a worker's tasks continue after its last answered heartbeat. */
  leaseS: number;
  /** Seconds between a worker's heartbeats. */
  heartbeatIntervalS: number;
  /** Seconds for which a gang's task waits for the other tasks before it exits. */
  gangWaitS: number;
  /** Seconds within which all tasks of a gang must receive a stop for its progress to be saved. */
  gangPeerS: number;
  /** Maximum number of operations in one transaction. */
  transactionOps: number;
  /** Maximum size of a stored value, in bytes. */
  valueBytes: number;
  /** Weight of exploration in the bandit's choices; 0: no exploration. */
  alpha: number;
  /** Cost of a failed task, as a multiple of the highest cost of the task's class. */
  penalty: number;
  /** Interval between two snapshots of the bandit's arms, in ms. */
  snapshotMs: number;
  /** Seconds within which tasks of a class should start, by class. */
  startWithinS: Readonly<Record<string, number>>;
  /** Whether this controller still holds the shard, according to the replica. */
  isHolder: () => boolean;
  /** Whether the replica is current enough for commands to be sent directly to workers. */
  isReplicaCurrent: () => boolean;
  /** The capacity that the store's rate limits leave for this controller's writes. */
  limiter: Pick<RateLimiter, 'supply' | 'hasCapacity'>;
  /** Called after urgent assignments were written, so that the leader reconciles without delay. */
  onUrgentWrite: () => void;
}

/** The services that a shard uses. */
export interface ShardServices {
  readonly replica: StoreReplica;
  readonly committer: Committer;
  readonly workers: WorkerApi;
  readonly clock: Clock;
  readonly log: Log;
  /** Requests a reconciliation soon. */
  readonly wake: () => void;
}

/** The services together with the state that several parts of a shard use. */
export interface ShardContext extends ShardServices {
  readonly options: ShardOptions;
  readonly machines: Machines;
  readonly tasks: Tasks;
  readonly gangSubsets: GangSubsets;
  readonly jobFailureBackoff: JobFailureBackoff;
  readonly costLearning: CostLearning;
  /** Machines for which there may be commands that have not been sent yet. */
  readonly machinesToCommand: Set<string>;
  /** Assignments of ended jobs, each until its record is removed. */
  readonly assignmentsOfEndedJobs: Set<Assignment>;
}

/** A job's specification; null: the job has ended. */
export function jobSpec({ replica }: Pick<ShardContext, 'replica'>, job: string): JobSpec | null {
  return replica.job(job)?.spec ?? null;
}

/** Marks machines for which there may be new commands. */
export function markForCommands(
  { machinesToCommand }: Pick<ShardContext, 'machinesToCommand'>,
  machines: Iterable<string>,
): void {
  for (const machine of machines) machinesToCommand.add(machine);
}

/** Names of the machine types in the stored catalog; empty while there is no catalog. */
export function machineTypeNames({ replica }: Pick<ShardContext, 'replica'>): string[] {
  return (readCatalog(replica) ?? []).map((type) => type.name);
}
