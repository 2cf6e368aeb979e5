/** The settings of a controller, read from the platform's file and the operators' files. */

import { DEFAULT_GANG_PEER_S, DEFAULT_GANG_WAIT_S } from '../constants/gangs.js';
import {
  readOperatorSettings,
  type FleetSettings,
  type PlacementSettings,
  type SuspicionSettings,
} from './operator-settings.js';
import { readPlatformFile, type PlatformParams } from './platform-settings.js';

export { SettingsError } from './settings-file.js';
export type { SuspicionSettings } from './operator-settings.js';

/**
 * A team with its fair share (`cpus`, `gpus`) and its quota (`cpusMax`, `gpusMax`) of the cluster.
 */
export interface Team {
  name: string;
  cpus: number;
  cpusMax: number;
  gpus: number;
  gpusMax: number;
}

/** All settings of one controller, validated, with the program's names and units. */
export interface Settings {
  /** The name of this controller. */
  node: string;
  zone: string;
  /** Address of the HTTP server for users and workers. */
  listenAddress: string;
  /** Address on which connections from other controllers are accepted. */
  peerListenAddress: string;
  /** The other controllers. */
  peers: { node: string; zone: string; address: string }[];
  /** Address of the cloud. */
  cloudAddress: string;
  /** Address of the key-value store. */
  storeAddress: string;
  zones: string[];
  /** Maximum error of the time of day in ms. */
  skewMs: number;
  teams: Team[];
  /** Seconds within which tasks should start, by class of jobs. */
  startWithinS: Record<string, number>;
  heartbeatIntervalS: number;
  /** Seconds for which a worker's lease lasts; without a renewal the worker ends its tasks. */
  leaseS: number;
  /** Seconds within which all tasks of a cancelled job must have ended. */
  cancelS: number;
  /** Seconds for which a task of a gang waits for the other tasks to be ready. */
  gangWaitS: number;
  /**
   * Seconds within which tasks of a gang notice the end of another task, and within which all of
   * them must receive a stop command.
   */
  gangPeerS: number;
  /**
   * The limits of the key-value store (requests and writes per second, bytes of a value, writes of
   * a transaction). Each is the stricter one of the present and the announced limit.
   */
  storeRps: number;
  storeWriteRps: number;
  valueBytes: number;
  transactionOps: number;
  /** The cloud's limit of requests per second. */
  cloudRps: number;
  /** Seconds by which the cloud's list of rented machines may be out of date. */
  listLagS: number;
  /** Maximum number of open sockets. */
  maxSockets: number;
  placement: PlacementSettings;
  fleet: FleetSettings;
  /** Failure detection between controllers; null: disabled. */
  suspicion: SuspicionSettings | null;
}

function readStartWithinS(objectives: PlatformParams['objectives']): Record<string, number> {
  const startWithinS: Record<string, number> = {};
  for (const objective of objectives) {
    if (objective.kind === 'wait' && objective.class && objective.within_s !== undefined) {
      startWithinS[objective.class] = objective.within_s;
    }
  }
  return startWithinS;
}

function readTeams(teams: PlatformParams['teams']): Team[] {
  return teams.map((team) => ({
    name: team.name,
    cpus: team.cpus,
    cpusMax: team.cpus_max,
    gpus: team.gpus,
    gpusMax: team.gpus_max,
  }));
}

type StoreLimitSettings = Pick<
  Settings,
  'storeRps' | 'storeWriteRps' | 'valueBytes' | 'transactionOps'
>;

/**
 * Returns the stricter one of each present and announced limit of the key-value store, because the
 * announced limits may come into force at any moment.
 */
function readStoreLimits(state: PlatformParams['state']): StoreLimitSettings {
  const { next, ...present } = state;
  const stricter = (name: keyof typeof present): number =>
    Math.min(present[name], next[name] ?? Infinity);
  return {
    storeRps: stricter('rps'),
    storeWriteRps: stricter('write_rps'),
    valueBytes: Math.floor(stricter('value_kb') * 1024),
    transactionOps: stricter('txn_ops'),
  };
}

type WorkerSettings = Pick<
  Settings,
  'heartbeatIntervalS' | 'leaseS' | 'cancelS' | 'gangWaitS' | 'gangPeerS'
>;

function readWorkers(workers: PlatformParams['workers']): WorkerSettings {
  return {
    heartbeatIntervalS: workers.report_s,
    leaseS: workers.lease_s,
    cancelS: workers.cancel_s,
    gangWaitS: workers.gang_wait_s ?? DEFAULT_GANG_WAIT_S,
    gangPeerS: workers.gang_peer_s ?? DEFAULT_GANG_PEER_S,
  };
}

/**
 * Reads the platform's file and the operators' files; throws `SettingsError` for the first error.
 */
export function readSettings(platformFile: string, operatorFiles: readonly string[]): Settings {
  const platform = readPlatformFile(platformFile);
  const { params } = platform;
  const operatorSettings = readOperatorSettings(operatorFiles, platform.members.length + 1);
  return {
    node: platform.node_name,
    zone: platform.site,
    listenAddress: platform.front,
    peerListenAddress: platform.cluster_listen,
    peers: platform.members.map((member) => ({
      node: member.node_name,
      zone: member.site,
      address: member.peer_addr,
    })),
    cloudAddress: platform.services.cloud,
    storeAddress: platform.services.state,
    zones: params.zones,
    skewMs: params.skew_ms,
    teams: readTeams(params.teams),
    startWithinS: readStartWithinS(params.objectives),
    ...readWorkers(params.workers),
    ...readStoreLimits(params.state),
    cloudRps: params.cloud.rps,
    listLagS: params.cloud.list_lag_s,
    maxSockets: params.resources.fd_limit,
    ...operatorSettings,
  };
}
