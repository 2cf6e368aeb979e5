/** The settings of a controller: from the platform's file and the operators' files. */

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

/** A team's fair share of the cluster, and its quota (`Max`). */
export interface Team {
  name: string;
  cpus: number;
  cpusMax: number;
  gpus: number;
  gpusMax: number;
}

/** All settings of one controller, validated, in the program's names and units. */
export interface Settings {
  node: string;
  zone: string;
  listen: string;
  peerListen: string;
  peers: { node: string; zone: string; address: string }[];
  cloud: string;
  keyValueStore: string;
  zones: string[];
  skewMs: number;
  teams: Team[];
  /** Seconds within which a class's tasks should start, by class. */
  startWithinS: Record<string, number>;
  heartbeatIntervalS: number;
  leaseS: number;
  cancelS: number;
  /** Seconds for which a task of a gang waits for the others. */
  gangWaitS: number;
  /** Seconds within which tasks of a gang notice the end of another, and within which all get a stop. */
  gangPeerS: number;
  /** The key-value store's limits: the stricter of the present and the announced ones. */
  storeRps: number;
  storeWriteRps: number;
  valueBytes: number;
  transactionOps: number;
  cloudRps: number;
  listLagS: number;
  sockets: number;
  placement: PlacementSettings;
  fleet: FleetSettings;
  /** Failure detection between controllers; null: off. */
  suspicion: SuspicionSettings | null;
}

function readStartWithin(objectives: PlatformParams['objectives']): Record<string, number> {
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

/** Announced limits come into force without notice, so they are respected from the start. */
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

/** Reads all files; throws `SettingsError` at the first fault. */
export function readSettings(platformFile: string, operatorFiles: readonly string[]): Settings {
  const raw = readPlatformFile(platformFile);
  const { params } = raw;
  const own = readOperatorSettings(operatorFiles, raw.members.length + 1);
  return {
    node: raw.node_name,
    zone: raw.site,
    listen: raw.front,
    peerListen: raw.cluster_listen,
    peers: raw.members.map((member) => ({
      node: member.node_name,
      zone: member.site,
      address: member.peer_addr,
    })),
    cloud: raw.services.cloud,
    keyValueStore: raw.services.state,
    zones: params.zones,
    skewMs: params.skew_ms,
    teams: readTeams(params.teams),
    startWithinS: readStartWithin(params.objectives),
    ...readWorkers(params.workers),
    ...readStoreLimits(params.state),
    cloudRps: params.cloud.rps,
    listLagS: params.cloud.list_lag_s,
    sockets: params.resources.fd_limit,
    ...own,
  };
}
