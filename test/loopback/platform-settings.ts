/** The settings file that the platform would hand to a controller on loopback. */
import { TEAMS } from '../world/settings.js';

/** s; as in a deployment: a worker's lease outlives a failover, so that no task has to start again. */
export const LEASE_S = 24;
export const CANCEL_S = 54;

/** Where a controller is, and what it reaches. */
export interface PlatformOptions {
  name: string;
  zone: string;
  front: string;
  members: readonly (readonly [string, string])[];
  /** Addresses for peers, by name. */
  peers: ReadonlyMap<string, string>;
  state: string;
  cloud: string;
}

/** The file's text. */
export function platformSettings(options: PlatformOptions): string {
  const { cloud, front, name, peers, state, zone } = options;
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
state = "${state}"
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
