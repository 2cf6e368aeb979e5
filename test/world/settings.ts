/** Settings of the simulated cluster: machine types, teams, fleet and controllers. */
import type { MachineType } from '../../src/protocol/model.js';
import type { Settings } from '../../src/protocol/settings.js';
import type { Log } from '../../src/storage/log.js';

/** A log that discards its entries; a logged error throws, so that the test fails. */
export const silentLog: Log = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: (fields, message) => {
    throw new Error(`${message}: ${JSON.stringify(fields)}`);
  },
};

/** Returns a log that collects the logged errors, for tests that cause them. */
export function collectingLog(): { log: Log; errors: string[] } {
  const errors: string[] = [];
  const error = (fields: object, message: string): void =>
    void errors.push(`${message}: ${JSON.stringify(fields)}`);
  return { log: { ...silentLog, error }, errors };
}

/** The machine types that the cloud offers. */
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

/** The teams in the settings of all controllers. */
export const TEAMS = [
  { name: 'red', cpus: 8, cpusMax: 16, gpus: 0, gpusMax: 0 },
  { name: 'blue', cpus: 8, cpusMax: 12, gpus: 0, gpusMax: 0 },
  // Its limit allows a gang that is larger than one transaction; its guaranteed CPUs are 0.
  { name: 'wide', cpus: 0, cpusMax: 60, gpus: 0, gpusMax: 0 },
];

/** The fleet settings, which operators set in a real cluster. */
export const FLEET = { idleS: 30, headroomCpus: 0, spot: true, maxMachines: 8 };

/** Returns the settings of a controller; `all` lists all controllers with their zones. */
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
