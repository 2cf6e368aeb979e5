/** Constants of the controller process: control loops, sockets, relayed requests and logs. */

/** Time-out of a request to the cloud in ms. No other request waits for it. */
export const CLOUD_TIMEOUT_MS = 8_000;

/** Interval in ms of the loops of the leader and of the shards while nothing wakes them. */
export const LOOP_INTERVAL_MS = 300;

/**
 * Interval in ms of the loop that renews this controller's lease and claims free roles, unless a
 * change of the roles wakes it. It is a third of the interval between two renewals.
 */
export const ELECTION_INTERVAL_MS = 500;

/**
 * Interval in ms of the loops of leader and autoscaler on a controller that is not the leader. The
 * loops are woken when it becomes the leader.
 */
export const STANDBY_INTERVAL_MS = 2_000;

/** Delay in ms of a loop that changes have woken, so that changes close together share a pass. */
export const LOOP_COALESCE_MS = 40;

/**
 * Delay in ms of the leader's loop after a change has woken it. A scheduling cycle goes through all
 * machines and open jobs, and the delay limits the loop to ten cycles a second. The delay adds a
 * tenth of a second to the time until a task starts, for which the objective is some seconds.
 */
export const LEADER_COALESCE_MS = 100;

/** Interval of the autoscaler's loop in ms. A machine takes about 100 times as long to boot. */
export const AUTOSCALER_INTERVAL_MS = 600;

/**
 * Minimum pause of a woken loop, as a multiple of the CPU time of its last pass. With many machines
 * a pass takes long, and the pause leaves most of a slow processor to heartbeats and users'
 * requests.
 */
export const PAUSE_PER_CPU_TIME = 9;

/** Interval in ms at which a controller logs the number of its requests to the key-value store. */
export const REQUEST_LOG_INTERVAL_MS = 20_000;

/**
 * Times in ms after which a poll (the first), and a submission or cancellation (the second), are
 * answered with 503. They are shorter than the 2 s and 5 s that users wait, to leave time for
 * sending the reply, and for a process that runs its timers late.
 */
export const POLL_DEADLINE_MS = 1_850;
export const CHANGE_DEADLINE_MS = 4_700;

/**
 * Times in ms for relayed polls (the first), and for relayed submissions and cancellations (the
 * second), which get longer times because they need a commit. A request that got no reply after
 * `nextPeerDelayMs` is relayed to the next peer as well. After `timeoutMs` the relay fails, so that
 * this controller can use the rest of the deadline to answer by itself.
 */
export const POLL_RELAY_TIMING = { nextPeerDelayMs: 400, timeoutMs: 1_300 };
export const CHANGE_RELAY_TIMING = { nextPeerDelayMs: 1_200, timeoutMs: 2_500 };

/**
 * Times in ms for a submission that a controller relays because it is short of writes. They are
 * equal, so that no second peer gets the submission while the first may still reply. Two peers that
 * commit the same job would both use up writes.
 */
export const SHORT_OF_WRITES_RELAY_TIMING = { nextPeerDelayMs: 2_500, timeoutMs: 2_500 };

/**
 * Time in ms after the redirect or relay of a heartbeat. If the worker sends its next heartbeat to
 * the same controller within this time, it is assumed not to reach the shard's holder.
 */
export const REDIRECT_RETRY_MS = 12_000;

/**
 * Time-out of a request to a peer in ms. A relayed heartbeat must be answered well within the 4 s
 * that its worker waits.
 */
export const RELAY_TIMEOUT_MS = 2_500;

/** Pause in ms before a broken connection to a peer is opened again. */
export const PEER_RECONNECT_MS = 1_000;

/** Sockets reserved for the key-value store, the cloud and peers, out of the process's limit. */
export const RESERVED_SOCKETS = 100;

/**
 * Fraction of the process's sockets that is reserved for direct calls to workers. A call takes some
 * milliseconds. Its connection stays open for the next call until a call to another worker needs
 * the socket.
 */
export const DIRECT_SOCKET_FRACTION = 0.125;

/**
 * Maximum number of direct calls in flight at a time. The answers to this many calls are processed
 * well within the duration of one call, and some dozens of unresponsive machines leave enough calls
 * for the others.
 */
export const MAX_CONCURRENT_DIRECT_CALLS = 64;

/**
 * Soft limit of open connections, as a fraction of the most that the HTTP server accepts. Above it,
 * users' connections are closed after their response, so that workers can connect. After a restart
 * all workers connect to the few controllers that are up.
 */
export const SOFT_CONNECTION_LIMIT_FRACTION = 0.7;

/**
 * Hard limit of open connections, as a fraction of the most that the HTTP server accepts. Above it,
 * workers' connections are closed after their response too. When only one controller is up, 4,000
 * workers need more connections than it accepts, so they have to take turns.
 */
export const HARD_CONNECTION_LIMIT_FRACTION = 0.9;

/**
 * Time in ms after which an idle connection is closed: three heartbeat intervals of the slowest
 * workers.
 */
export const KEEP_ALIVE_MS = 20_000;

/** Number of connections to the key-value store, besides the one for watches. */
export const STORE_SOCKETS = 16;

/** Maximum size of a frame in bytes. A peer's connection is closed when it sends a larger one. */
export const MAX_PEER_FRAME_BYTES = 1024 * 1024;

/**
 * Time-out in ms of a direct call, to which workers answer at once. After a time-out the commands
 * are fenced, so that the worker refuses a late copy of them.
 */
export const DIRECT_CALL_TIMEOUT_MS = 2_000;
