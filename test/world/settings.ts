/** What the simulated cluster is set to: its machine types, teams, fleet and the controllers' settings. */
import type { MachineType } from '../../src/protocol/model.js';
import type { Settings } from '../../src/protocol/settings.js';
import type { Log } from '../../src/storage/log.js';

/** A log that keeps nothing; errors fail the test. */
export const silentLog: Log = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: (fields, message) => {
    throw new Error(`${message}: ${JSON.stringify(fields)}`);
  },
};

/** The machine types that the cloud tells. */
export const TYPES: MachineType[] = [
  {
    name: 'small',
    cpus: 4,
    gpus: 0,
    memoryGb: 16,
    cacheGb: 50,
    fetchGbPerS: 1,
    price: 0.2,
    spotPrice: 0.1,
    bootS: 10,
    zones: ['a', 'b'],
  },
];

/** The teams of all controllers. */
export const TEAMS = [
  { name: 'red', cpus: 8, cpusMax: 16, gpus: 0, gpusMax: 0 },
  { name: 'blue', cpus: 8, cpusMax: 12, gpus: 0, gpusMax: 0 },
  // Wide enough for a gang larger than one transaction; nothing is guaranteed to it.
  { name: 'wide', cpus: 0, cpusMax: 60, gpus: 0, gpusMax: 0 },
];

/** What operators would set for the world's fleet. */
export const FLEET = { idleS: 30, headroomCpus: 0, spot: true, maxMachines: 8 };

/** Settings of a controller; `all` lists the members with their zones. */
export function settingsOf(node: string, zone: string, all: [string, string][]): Settings {
  return {
    node,
    zone,
    listenAddress: '127.0.0.1:0',
    peerListenAddress: '127.0.0.1:0',
    peers: all
      .filter(([name]) => name !== node)
      .map(([name, site]) => ({ node: name, zone: site, address: '127.0.0.1:1' })),
    cloudAddress: '',
    storeAddress: '',
    zones: ['a', 'b'],
    skewMs: 100,
    teams: TEAMS,
    startWithinS: {},
    heartbeatIntervalS: 3,
    leaseS: 24,
    cancelS: 50,
    gangWaitS: 35,
    gangPeerS: 8,
    storeRps: 80,
    storeWriteRps: 25,
    valueBytes: 8192,
    transactionOps: 8,
    cloudRps: 5,
    listLagS: 4,
    maxSockets: 1000,
    placement: { alpha: 2, penalty: 2, snapshotS: 30 },
    fleet: FLEET,
    suspicion: null,
  };
}
