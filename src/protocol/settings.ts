/** Reads and checks the settings: the file that the platform hands over, and the operators' own. */

import * as v from 'valibot';
import { SHARDS_PER_TERM } from '../constants/election.js';
import { GANG_PEER_S, GANG_WAIT_S } from '../constants/gangs.js';
import { MIN_VALUE_KB } from '../constants/protocol.js';
import {
  readOperatorSettings,
  type FleetSettings,
  type PlacementSettings,
  type SuspicionSettings,
} from './operator-settings.js';
import { amount, checkFile, positive, readToml, SettingsError } from './settings-file.js';

export { SettingsError } from './settings-file.js';
export type { SuspicionSettings } from './operator-settings.js';

const address = v.pipe(v.string(), v.regex(/^[^:]+:\d{1,5}$/, 'must be ADDRESS:PORT'));

/** The limits of the state service. Names in these schemas are those of the files. */
const storeLimitsSchema = {
  rps: positive,
  write_rps: positive,
  value_kb: v.pipe(v.number(), v.finite(), v.minValue(MIN_VALUE_KB)),
  txn_ops: v.pipe(v.number(), v.integer(), v.minValue(2)),
};

const platformSchema = v.object({
  node_name: v.pipe(v.string(), v.minLength(1)),
  site: v.pipe(v.string(), v.minLength(1)),
  front: address,
  cluster_listen: address,
  members: v.optional(
    v.array(v.object({ node_name: v.string(), site: v.string(), peer_addr: address })),
    [],
  ),
  services: v.object({ cloud: address, state: address }),
  params: v.object({
    zones: v.array(v.string()),
    skew_ms: v.optional(amount, 0),
    teams: v.optional(
      v.array(
        v.object({
          name: v.string(),
          cpus: amount,
          cpus_max: amount,
          gpus: v.optional(amount, 0),
          gpus_max: v.optional(amount, 0),
        }),
      ),
      [],
    ),
    objectives: v.optional(
      v.array(
        v.looseObject({
          kind: v.string(),
          class: v.optional(v.string()),
          within_s: v.optional(amount),
        }),
      ),
      [],
    ),
    workers: v.object({
      report_s: positive,
      lease_s: positive,
      cancel_s: positive,
      gang_wait_s: v.optional(positive),
      gang_peer_s: v.optional(positive),
    }),
    state: v.object({
      ...storeLimitsSchema,
      next: v.optional(v.partial(v.object(storeLimitsSchema)), {}),
    }),
    cloud: v.object({ rps: positive, list_lag_s: amount }),
    resources: v.object({ cores: positive, mem_mb: positive, fd_limit: positive }),
  }),
});

/** A team's share of the cluster: what it is owed, and the most that it may use. */
export interface Team {
  name: string;
  cpus: number;
  cpusMax: number;
  gpus: number;
  gpusMax: number;
}

/** All settings of one controller, checked, in the program's names and units. */
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
  /** Seconds for which a gang's task waits for the others. */
  gangWaitS: number;
  /** Seconds within which a gang's tasks notice the end of another, and within which all are told to stop. */
  gangPeerS: number;
  /** The state service's limits: of the present ones and the announced ones the stricter. */
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

type PlatformFile = v.InferOutput<typeof platformSchema>;
type Params = PlatformFile['params'];

/** What no schema says: relations between fields. */
function checkRelations(file: string, raw: PlatformFile): void {
  const { workers } = raw.params;
  if (workers.lease_s >= workers.cancel_s) {
    throw new SettingsError(file, 'params.workers.cancel_s: must be above lease_s');
  }
  const names = [raw.node_name, ...raw.members.map((member) => member.node_name)];
  if (new Set(names).size !== names.length) {
    throw new SettingsError(file, 'members.node_name: a name stands twice');
  }
  // Attempts carry the number of the part that made them, and the leader's number beside them.
  if (names.length >= SHARDS_PER_TERM) {
    throw new SettingsError(file, `members: more than ${SHARDS_PER_TERM - 1} controllers`);
  }
}

function readStartWithin(objectives: Params['objectives']): Record<string, number> {
  const startWithinS: Record<string, number> = {};
  for (const objective of objectives) {
    if (objective.kind === 'wait' && objective.class && objective.within_s !== undefined) {
      startWithinS[objective.class] = objective.within_s;
    }
  }
  return startWithinS;
}

function readTeams(teams: Params['teams']): Team[] {
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

/** Announced limits come into force without notice, so they are kept from the start. */
function readStoreLimits(state: Params['state']): StoreLimitSettings {
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

function readWorkers(workers: Params['workers']): WorkerSettings {
  return {
    heartbeatIntervalS: workers.report_s,
    leaseS: workers.lease_s,
    cancelS: workers.cancel_s,
    gangWaitS: workers.gang_wait_s ?? GANG_WAIT_S,
    gangPeerS: workers.gang_peer_s ?? GANG_PEER_S,
  };
}

/** Reads all files; throws `SettingsError` at the first fault. */
export function readSettings(platformFile: string, operatorFiles: readonly string[]): Settings {
  const raw = checkFile(platformFile, platformSchema, readToml(platformFile));
  checkRelations(platformFile, raw);
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
