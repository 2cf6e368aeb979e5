/** The settings file of a controller on loopback, as the platform would provide it. */
import { TEAMS } from '../world/settings.js';

/**
 * Lease of a worker, in s. As in a deployment it is longer than a failover, so that no task has to
 * start again.
 */
export const LEASE_S = 24;
/** Time within which a cancelled job's tasks must have ended, in s. */
export const CANCEL_S = 54;

/** A controller's name and zone, and the addresses of all parts that it is connected to. */
export interface PlatformOptions {
  name: string;
  zone: string;
  front: string;
  members: readonly (readonly [string, string])[];
  /** Addresses for messages between controllers, by the controller's name. */
  peers: ReadonlyMap<string, string>;
  store: string;
  cloud: string;
}

/** Returns the text of the settings file. */
export function platformSettings(options: PlatformOptions): string {
  const { cloud, front, name, peers, store, zone } = options;
  const members = options.members
    .filter(([other]) => other !== name)
    .map(([other, site]) => {
      const address = peers.get(other) ?? '';
      return `[[members]]\nnode_name = "${other}"\nsite = "${site}"\npeer_addr = "${address}"\n`;
    });
  const teams = TEAMS.map(
    (team) =>
      `[[params.teams]]\nname = "${team.name}"\ncpus = ${team.cpus}\ncpus_max = ${team.cpusMax}\n`,
  );
  return `node_name = "${name}"
site = "${zone}"
front = "${front}"
cluster_listen = "${peers.get(name)}"
${members.join('')}
[services]
cloud = "${cloud}"
state = "${store}"
[params]
zones = ["a", "b"]
skew_ms = 100.0
${teams.join('')}
[params.workers]
report_s = 3.0
lease_s = ${LEASE_S}.0
cancel_s = ${CANCEL_S}.0
[params.state]
rps = 150.0
write_rps = 60.0
value_kb = 8.0
txn_ops = 8
[params.cloud]
rps = 5.0
list_lag_s = 1.0
[params.resources]
cores = 1.0
mem_mb = 178.0
fd_limit = 1000
`;
}
