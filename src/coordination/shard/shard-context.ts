/** What the steps of a shard have in common: its options, the services that it uses, its state. */
import { readCatalog } from '../../storage/catalog.js';
import type { Committer } from '../../storage/committer.js';
import type { Log } from '../../storage/log.js';
import type { RateLimiter } from '../../storage/rate-limiter.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { JobSpec } from '../../protocol/model.js';
import type { WorkerApi } from '../../protocol/worker-api.js';
import type { Clock } from '../../transport/clock.js';
import type { GangShares } from './gang-shares.js';
import type { Machines } from '../shard-state/machines.js';
import type { Assignment } from '../shard-state/assignment.js';
import type { Tasks } from '../shard-state/tasks.js';
import type { CostLearning } from './cost-learning.js';
import type { JobFailureBackoff } from './job-failure-backoff.js';

/** A shard's identity and settings, and what its controller tells it. */
export interface ShardOptions {
  /** Name of the shard. */
  shard: string;
  /** Number of the shard among all, which its attempts carry. */
  number: number;
  /** Term in which the holder has the shard's role. */
  term: number;
  /** Key of the shard's role, which guards every write. */
  roleKey: string;
  /** Revision at which this holder has the role. */
  roleRevision: number;
  /** Steady time from which no machine that never heard this holder has tasks left. */
  fenceAt: number;
  /** Seconds that a worker's tasks outlive its last answered heartbeat. */
  leaseS: number;
  /** Seconds between a worker's heartbeats. */
  heartbeatIntervalS: number;
  /** Seconds for which a gang's task waits for the others. */
  gangWaitS: number;
  /** Seconds within which all tasks of a gang must be told to stop for its progress to be saved. */
  gangPeerS: number;
  /** Operations that one transaction may have. */
  transactionOps: number;
  /** Bytes that one stored value may have. */
  valueBytes: number;
  /** How much the bandit explores; 0: never. */
  alpha: number;
  /** Cost of a failure, in worst costs of the task's class. */
  penalty: number;
  /** ms between two writes of what the bandit has learned. */
  snapshotMs: number;
  /** Seconds within which tasks of a class should start. */
  startWithinS: Readonly<Record<string, number>>;
  /** Whether it still holds the shard, as far as the replica knows. */
  isHolder: () => boolean;
  /** Whether the replica is recent enough for commands to workers. */
  isReplicaCurrent: () => boolean;
  /** What the store's rate limit leaves for this controller's writes. */
  limiter: Pick<RateLimiter, 'supply' | 'hasCapacity'>;
  /** Something urgent was written: the leader should reconcile without delay. */
  onUrgentWrite: () => void;
}

/** The services that a shard uses. */
export interface ShardServices {
  readonly replica: StoreReplica;
  readonly committer: Committer;
  readonly workers: WorkerApi;
  readonly clock: Clock;
  readonly log: Log;
  /** Asks for a reconciliation soon: there may be something to do. */
  readonly wake: () => void;
}

/** The services together with the state that several steps use. */
export interface ShardContext extends ShardServices {
  readonly options: ShardOptions;
  readonly machines: Machines;
  readonly tasks: Tasks;
  readonly gangs: GangShares;
  readonly jobFailureBackoff: JobFailureBackoff;
  readonly costLearning: CostLearning;
  /** Machines for which there may be commands that are not in any answer yet. */
  readonly machinesToCommand: Set<string>;
  /** Assignments of jobs that are over. */
  readonly assignmentsOfEndedJobs: Set<Assignment>;
}

/** A job's description; null: it is over. */
export function jobSpec({ replica }: Pick<ShardContext, 'replica'>, job: string): JobSpec | null {
  return replica.job(job)?.spec ?? null;
}

/** Notes that there may be commands for these machines. */
export function markForCommands(
  { machinesToCommand: dirtyMachines }: Pick<ShardContext, 'machinesToCommand'>,
  machines: Iterable<string>,
): void {
  for (const machine of machines) dirtyMachines.add(machine);
}

/** Names of the machine types in the stored catalog; none while there is no catalog. */
export function machineTypeNames({ replica }: Pick<ShardContext, 'replica'>): string[] {
  return (readCatalog(replica) ?? []).map((type) => type.name);
}
