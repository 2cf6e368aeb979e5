/** Constants, each with unit and reason. The process: control loops, sockets, relays and logs. */

/** ms; nobody waits for the answer to a cloud request, so it may take longer. */
export const CLOUD_TIMEOUT_MS = 8_000;

/** ms; interval of the leader's and the shards' loops when nothing woke them. */
export const LOOP_INTERVAL_MS = 300;

/**
 * ms; interval of the loop that renews this controller's lease and claims free roles; changes of
 * roles wake it. A third of the time between two renewals.
 */
export const ELECTION_INTERVAL_MS = 500;

/**
 * ms; interval of the loops of leader and autoscaler on a controller that does not lead; winning
 * the election wakes them.
 */
export const STANDBY_INTERVAL_MS = 2_000;

/** ms; a loop woken by changes waits this long, so that changes close together share a pass. */
export const LOOP_COALESCE_MS = 40;

/**
 * ms; the leader's loop waits this long, since a scheduling cycle looks at all machines and open
 * jobs: a tenth of a second of a start objective of some seconds, for ten cycles a second at the
 * most.
 */
export const LEADER_COALESCE_MS = 100;

/** ms; interval of the autoscaler's loop: a boot takes a hundred times as long. */
export const AUTOSCALER_INTERVAL_MS = 600;

/**
 * Multiple of its last pass's CPU time that a woken loop rests, so that with many machines it
 * leaves most of a slow processor to heartbeats and users' requests.
 */
export const REST_PER_CPU_TIME = 9;

/** ms; a controller logs its requests to the key-value store this often. */
export const REQUEST_LOG_INTERVAL_MS = 20_000;

/** ms; whatever was tried, a user gets 503 after this: a tenth of the user's timeout is left
 * for the way back and for a process that lags. */
export const POLL_DEADLINE_MS = 1_850;
export const CHANGE_DEADLINE_MS = 4_700;

/**
 * ms; a request is relayed to the next peer as well after `nextPeerDelayMs`, and given up after
 * `timeoutMs`: the rest of the user's time is this controller's. Changes are commits, which take
 * longer than answers.
 */
export const POLL_RELAY_TIMING = { nextPeerDelayMs: 400, timeoutMs: 1_300 };
export const CHANGE_RELAY_TIMING = { nextPeerDelayMs: 1_200, timeoutMs: 2_500 };

/**
 * ms; a controller that is short of writes asks one peer alone: a second commit of the same job
 * would cost the others writes as well.
 */
export const COMMIT_RELAY_TIMING = { nextPeerDelayMs: 2_500, timeoutMs: 2_500 };

/**
 * ms; a worker that comes back within this time after a redirect could not reach the shard's
 * holder.
 */
export const REDIRECT_RETRY_MS = 12_000;

/** ms; a relayed heartbeat must be answered well within the worker's 4 s. */
export const RELAY_TIMEOUT_MS = 2_500;

/** ms; pause before a broken peer link is tried again. */
export const PEER_RECONNECT_MS = 1_000;

/** Sockets left for the key-value store, the cloud and peers out of the limit. */
export const RESERVED_SOCKETS = 100;

/** Share of all sockets kept for direct calls: a call takes one for some milliseconds, and it stays
 * open for the next until others need it. */
export const DIRECT_SOCKET_SHARE = 0.125;

/**
 * Direct calls under way at once: so many answers are handled well within the time of one call, and
 * some dozens of hanging machines don't delay the others.
 */
export const MAX_CONCURRENT_DIRECT_CALLS = 64;

/** Share of the sockets for requests in use above which users' connections end with their answer,
 * so that workers find one: after a restart all of them come to the few controllers that are up. */
export const CROWDED_SOCKET_SHARE = 0.7;

/**
 * Share of them above which workers' connections end with their answer too: 4,000 workers at the
 * one controller that is up have more than its sockets, and those without one must find one in
 * turn.
 */
export const FULL_SOCKET_SHARE = 0.9;

/** ms; an idle connection is kept so long: three heartbeats of the slowest workers seen. */
export const KEEP_ALIVE_MS = 20_000;

/** Sockets to the key-value store beside the watch. */
export const STORE_SOCKETS = 16;

/** Bytes; a larger frame between peers closes the connection. */
export const MAX_PEER_FRAME_BYTES = 1024 * 1024;

/** ms; a direct call is given up after this and its commands are fenced: workers answer at once. */
export const DIRECT_CALL_TIMEOUT_MS = 2_000;
