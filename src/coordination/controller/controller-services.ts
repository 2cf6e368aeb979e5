/** Creates the services that all modules of a node share, in the order of their dependencies. */
import {
  CHECK_SHARE,
  WATCH_GRACE_SHARE,
  WATCH_HOLD_MS,
  WATCH_SHARE,
  WATCH_SPACING_MS,
} from '../../constants.js';
import { Committer } from '../../storage/committer.js';
import type { Log } from '../../storage/log.js';
import { RateLimiter } from '../../storage/rate-limiter.js';
import { StoreReachability } from '../../storage/store-reachability.js';
import { StoreReplica } from '../../storage/store-replica.js';
import type { Settings } from '../../protocol/settings.js';
import type { StateApi } from '../../protocol/key-value-store.js';
import { randomOf } from '../../transport/backoff.js';
import { hash, type Member } from '../election/rendezvous-hashing.js';
import { graceMs } from '../election/lease-timing.js';
import { Roles } from '../election/role-election.js';
import { STORE_ALONE, type TakeoverPolicy } from '../election/failover-policy.js';
import { UserRequests } from '../api/user-requests.js';
import type { Environment } from '../../protocol/environment.js';
import type {
  CreateDetection,
  NodeDetection,
  NodeDetectionOptions,
} from '../failure-detection/detection-service.js';
import { OwnerNotifier } from './holder-notifier.js';

/** What a node is created from. */
export interface NodeOptions {
  readonly settings: Settings;
  readonly environment: Environment;
  readonly log: Log;
  /** Identifies this process among all that ever ran as this node. */
  readonly incarnation: string;
  /** Creates failure detection; null: it is off. */
  readonly createDetection: CreateDetection;
  /** Events of failure detection. */
  readonly detectionEvents: Pick<NodeDetectionOptions, 'onStoodDown' | 'onChanged'>;
}

/** The services that the modules of a node share. */
export interface NodeServices extends NodeOptions {
  /** The state service; the outcome of every request to it is noted for `reachability`. */
  readonly state: StateApi;
  /** All nodes of the cluster, by name. */
  readonly members: readonly Member[];
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly reachability: StoreReachability;
  readonly limiter: RateLimiter;
  readonly replica: StoreReplica;
  readonly committer: Committer;
  readonly roles: Roles;
  /** Null: it is off. */
  readonly detection: NodeDetection | null;
  readonly ownerNotifier: OwnerNotifier;
  readonly userRequests: UserRequests;
}

type StoreServices = Omit<NodeServices, 'roles' | 'detection' | 'ownerNotifier' | 'userRequests'>;
type RoleServices = Omit<NodeServices, 'userRequests'>;

/** Creates the services of a node. */
export function createNodeServices(options: NodeOptions): NodeServices {
  const store = createStoreServices(options);
  const detection = createDetection(store, () => roles);
  const roles = createRoles(store, detection?.policy ?? STORE_ALONE);
  const { environment, settings } = options;
  const { replica } = store;
  const ownerNotifier = new OwnerNotifier({ node: settings.node, environment, roles, replica });
  const withRoles = { ...store, roles, detection, ownerNotifier };
  return { ...withRoles, userRequests: createUserRequests(withRoles) };
}

/** ms between requests of all members that take `share` of the state service's limit. */
function requestSpacingMs({ peers, stateRps }: Settings, share: number): number {
  const memberCount = peers.length + 1;
  return (1000 * memberCount) / (stateRps * share);
}

function createStoreServices(options: NodeOptions): StoreServices {
  const { environment, incarnation, log, settings } = options;
  const { clock } = environment;
  const reachability = new StoreReachability(clock);
  const state = reachability.watch(environment.state);
  const { stateRps: rps, stateWriteRps: writeRps, txnOps } = settings;
  const limiter = new RateLimiter(clock, { rps, writeRps, txnOps }, settings.peers.length + 1);
  const random = randomOf(hash(incarnation));
  const common = { api: state, limiter, clock, log, random };
  const replica = new StoreReplica({
    ...common,
    holdMs: Math.floor(Math.min(WATCH_HOLD_MS, graceMs(settings) * WATCH_GRACE_SHARE)),
    spacingMs: Math.max(WATCH_SPACING_MS, requestSpacingMs(settings, WATCH_SHARE)),
  });
  const committer = new Committer({ ...common, replica });
  const members = [selfOf(settings), ...settings.peers].sort((a, b) => (a.node < b.node ? -1 : 1));
  return {
    ...options,
    state,
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

function createDetection(services: StoreServices, roles: () => Roles): NodeDetection | null {
  const { environment, incarnation, log, members, random, replica, settings } = services;
  const create = services.createDetection;
  if (!create) return null;
  const { node } = settings;
  const shared = { environment, incarnation, log, members, random, replica };
  return create({ ...shared, node, roles, ...services.detectionEvents });
}

function createRoles(services: StoreServices, policy: TakeoverPolicy): Roles {
  const { environment, settings, state } = services;
  const { committer, incarnation, limiter, log, members, replica } = services;
  return new Roles({
    self: selfOf(settings),
    incarnation,
    members,
    timing: settings,
    api: state,
    limiter,
    replica,
    committer,
    clock: environment.clock,
    log,
    txnOps: settings.txnOps,
    policy,
  });
}

function createUserRequests(services: RoleServices): UserRequests {
  const { committer, environment, limiter, log, ownerNotifier, replica, settings, state } =
    services;
  return new UserRequests({
    teams: settings.teams,
    txnOps: settings.txnOps,
    valueBytes: settings.valueBytes,
    checkMs: requestSpacingMs(settings, CHECK_SHARE),
    replica,
    api: state,
    limiter,
    committer,
    clock: environment.clock,
    log,
    onCommitted: (jobs, cancelled) => ownerNotifier.notifyOfJobs(jobs, cancelled),
  });
}
