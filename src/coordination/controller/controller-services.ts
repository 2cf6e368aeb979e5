/**
 * Creates the services that all modules of a controller share, in the order of their dependencies.
 */
import { CHECK_RATE_FRACTION } from '../../constants/api.js';
import { WATCH_GRACE_FRACTION } from '../../constants/election.js';
import { WATCH_HOLD_MS, WATCH_LIMIT_FRACTION, WATCH_SPACING_MS } from '../../constants/storage.js';
import { Committer } from '../../storage/committer.js';
import type { Log } from '../../storage/log.js';
import { RateLimiter } from '../../storage/rate-limiter.js';
import { StoreReachability } from '../../storage/store-reachability.js';
import { StoreReplica } from '../../storage/store-replica.js';
import type { Settings } from '../../protocol/settings.js';
import type { KeyValueStore } from '../../protocol/key-value-store.js';
import { seededRandom } from '../../transport/backoff.js';
import { hash, type Member } from '../election/rendezvous-hashing.js';
import { graceMs } from '../election/lease-timing.js';
import { RoleElection } from '../election/role-election.js';
import { STORE_ONLY_POLICY, type FailoverPolicy } from '../election/failover-policy.js';
import { UserRequests } from '../api/user-requests.js';
import type { Environment } from '../../protocol/environment.js';
import type {
  CreateDetection,
  DetectionService,
  DetectionServiceOptions,
} from '../failure-detection/detection-service.js';
import { HolderNotifier } from './holder-notifier.js';

/** Options from which the services are created. */
export interface ControllerServicesOptions {
  readonly settings: Settings;
  readonly environment: Environment;
  readonly log: Log;
  /** Identifier that no other process of this controller ever has. */
  readonly incarnation: string;
  /** Creates failure detection; null: it is disabled. */
  readonly createDetection: CreateDetection;
  /** Callbacks of failure detection. */
  readonly detectionEvents: Pick<DetectionServiceOptions, 'onSteppedDown' | 'onChanged'>;
}

/** The services that the modules of a controller share. */
export interface ControllerServices extends ControllerServicesOptions {
  /** The key-value store; `reachability` records the outcome of each request to it. */
  readonly keyValueStore: KeyValueStore;
  /** All controllers of the cluster, by name. */
  readonly members: readonly Member[];
  /** Returns random numbers, uniform in [0, 1). */
  readonly random: () => number;
  readonly reachability: StoreReachability;
  readonly limiter: RateLimiter;
  readonly replica: StoreReplica;
  readonly committer: Committer;
  readonly election: RoleElection;
  /** Null: failure detection is disabled. */
  readonly detection: DetectionService | null;
  readonly holderNotifier: HolderNotifier;
  readonly userRequests: UserRequests;
}

type StorageServices = Omit<
  ControllerServices,
  'election' | 'detection' | 'holderNotifier' | 'userRequests'
>;
type ElectionServices = Omit<ControllerServices, 'userRequests'>;

/** Creates the services of a controller. */
export function createControllerServices(options: ControllerServicesOptions): ControllerServices {
  const storageServices = createStorageServices(options);
  const detection = createDetection(storageServices, () => election);
  const election = createElection(storageServices, detection?.policy ?? STORE_ONLY_POLICY);
  const { environment, settings } = options;
  const { replica } = storageServices;
  const holderNotifier = new HolderNotifier({
    controllerName: settings.node,
    environment,
    election,
    replica,
  });
  const withElection = { ...storageServices, election, detection, holderNotifier };
  return { ...withElection, userRequests: createUserRequests(withElection) };
}

/**
 * Returns the time in ms between two requests of one controller. If all controllers keep to this
 * time, their requests together take `fraction` of the key-value store's limit of requests.
 */
function requestSpacingMs({ peers, storeRps }: Settings, fraction: number): number {
  const memberCount = peers.length + 1;
  return (1000 * memberCount) / (storeRps * fraction);
}

function createStorageServices(options: ControllerServicesOptions): StorageServices {
  const { environment, incarnation, log, settings } = options;
  const { clock } = environment;
  const reachability = new StoreReachability(clock);
  const keyValueStore = reachability.observe(environment.keyValueStore);
  const { storeRps: rps, storeWriteRps: writeRps, transactionOps } = settings;
  const limiter = new RateLimiter(
    clock,
    { rps, writeRps, transactionOps },
    settings.peers.length + 1,
  );
  const random = seededRandom(hash(incarnation));
  const common = { keyValueStore, limiter, clock, log, random };
  const replica = new StoreReplica({
    ...common,
    holdMs: Math.floor(Math.min(WATCH_HOLD_MS, graceMs(settings) * WATCH_GRACE_FRACTION)),
    spacingMs: Math.max(WATCH_SPACING_MS, requestSpacingMs(settings, WATCH_LIMIT_FRACTION)),
  });
  const committer = new Committer({ ...common, replica });
  const members = [selfOf(settings), ...settings.peers].sort((a, b) => (a.node < b.node ? -1 : 1));
  return {
    ...options,
    keyValueStore,
    members,
    random,
    reachability,
    limiter,
    replica,
    committer,
  };
}

function selfOf({ node, zone }: Settings): Member {
  return { node, zone };
}

function createDetection(
  services: StorageServices,
  election: () => RoleElection,
): DetectionService | null {
  const { environment, incarnation, log, members, random, replica, settings } = services;
  const create = services.createDetection;
  if (!create) return null;
  const { node } = settings;
  const shared = { environment, incarnation, log, members, random, replica };
  return create({ ...shared, node, roles: election, ...services.detectionEvents });
}

function createElection(services: StorageServices, policy: FailoverPolicy): RoleElection {
  const { environment, settings, keyValueStore } = services;
  const { committer, incarnation, limiter, log, members, replica } = services;
  return new RoleElection({
    self: selfOf(settings),
    incarnation,
    members,
    timing: settings,
    keyValueStore,
    limiter,
    replica,
    committer,
    clock: environment.clock,
    log,
    transactionOps: settings.transactionOps,
    policy,
  });
}

function createUserRequests(services: ElectionServices): UserRequests {
  const { committer, environment, limiter, log, holderNotifier, replica, settings, keyValueStore } =
    services;
  return new UserRequests({
    teams: settings.teams,
    transactionOps: settings.transactionOps,
    valueBytes: settings.valueBytes,
    checkIntervalMs: requestSpacingMs(settings, CHECK_RATE_FRACTION),
    replica,
    keyValueStore,
    limiter,
    committer,
    clock: environment.clock,
    log,
    onCommitted: (jobs, cancelled) => holderNotifier.notifyOfJobs(jobs, cancelled),
  });
}
