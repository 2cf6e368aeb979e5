/** The settings file that the platform passes to a controller, as text that tests change. */

/** A valid settings file of a cluster with two controllers. */
export const SETTINGS_FILE = `
node_name = "moth-0"
site = "a"
front = "127.0.0.1:8080"
cluster_listen = "127.0.0.1:8081"
surplus = "ignored"
[[members]]
node_name = "moth-1"
site = "b"
peer_addr = "127.0.0.1:8082"
[services]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[params]
zones = ["a", "b"]
[params.workers]
report_s = 3.0
lease_s = 24.0
cancel_s = 54.0
[params.state]
rps = 150.0
write_rps = 60.0
value_kb = 8.0
txn_ops = 32
[params.cloud]
rps = 1.5
list_lag_s = 12.0
[params.resources]
cores = 0.34
mem_mb = 178.0
fd_limit = 1500
`;
