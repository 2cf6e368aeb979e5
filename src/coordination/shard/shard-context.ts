/** What the steps of a part share: its options, the services that it uses, and its state. */
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
import type { Assignment, Tasks } from '../shard-state/tasks.js';
import type { CostLearning } from './cost-learning.js';
import type { JobFailureBackoff } from './job-failure-backoff.js';

/** A part's identity and settings, and what its node tells it. */
export interface ShardOptions {
  /** Name of the part. */
  shard: string;
  /** Number of the part among all, which its attempts carry. */
  number: number;
  /** Term of the owner's role. */
  term: number;
  /** Key of the owner's role, which guards every write. */
  roleKey: string;
  /** Revision at which this owner holds the role. */
  roleRevision: number;
  /** Steady time from which no machine that never spoke to this owner has tasks left. */
  fenceAt: number;
  /** Seconds that a worker's tasks outlive its last answered report. */
  leaseS: number;
  /** Seconds between a worker's reports. */
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
  /** Still the owner, as far as the replica knows. */
  isHolder: () => boolean;
  /** What the replica knows is recent enough to act on it before the outside. */
  isReplicaCurrent: () => boolean;
  /** How far this node's writes to the state service reach. */
  limiter: Pick<RateLimiter, 'supply' | 'hasCapacity'>;
  /** Something urgent was written: the leader should not wait for its next look. */
  onUrgentWrite: () => void;
}

/** The services that a part uses. */
export interface ShardServices {
  readonly replica: StoreReplica;
  readonly committer: Committer;
  readonly workers: WorkerApi;
  readonly clock: Clock;
  readonly log: Log;
  /** Asks for a round soon: there may be something to do. */
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
  /** Chunks of jobs that are over. */
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
