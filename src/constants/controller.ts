/** Constants, each with unit and reason. The process: control loops, sockets, relays and logs. */

/** ms; cloud requests carry no one who waits, so they may take longer. */
export const CLOUD_TIMEOUT_MS = 8_000;

/** ms; pace of the roles' loops when nothing woke them. */
export const LOOP_MS = 300;

/** ms; pace of the loop that keeps this node's lease and takes free roles; changes of roles wake it.
 * A third of the time between two renewals. */
export const ROLES_MS = 500;

/** ms; pace of the leader's loops on a node that does not lead; taking the role wakes them. */
export const LOOP_IDLE_MS = 2_000;

/** ms; a loop woken by changes waits this long, so that changes close together share a round. */
export const LOOP_GATHER_MS = 40;

/** ms; the leader's loop waits this long, since its rounds look at all machines and open jobs: a
 * tenth of a second of a start aim of some seconds, for ten rounds a second at the most. */
export const LEADER_GATHER_MS = 100;

/** ms; pace of the fleet's loop: a boot takes a hundred times as long. */
export const AUTOSCALER_MS = 600;

/** Times its own processor time that a woken round rests, so that a large fleet's rounds leave most
 * of a slow processor to reports and answers. */
export const LOOP_REST = 9;

/** ms; a node logs this often what it asked of the state service. */
export const USE_LOG_MS = 20_000;

/** ms; whatever was tried, a user is told after this that nothing is known: a tenth of the wait is left
 * for the way to the user and for a process that lags. */
export const POLL_ANSWER_MS = 1_850;
export const SUBMIT_ANSWER_MS = 4_700;

/** ms; a request is relayed to the next peer as well after `hedgeMs`, and given up after `limitMs`: the
 * rest of the user's time is this node's. Changes are commits, which take longer than answers. */
export const RELAYED_POLL_MS = { hedgeMs: 400, limitMs: 1_300 };
export const RELAYED_CHANGE_MS = { hedgeMs: 1_200, limitMs: 2_500 };

/** ms; a node that is short of writes asks one peer alone: a second commit of the same job would cost
 * the others writes as well. */
export const RELAYED_COMMIT_MS = { hedgeMs: 2_500, limitMs: 2_500 };

/** ms; a worker that comes back within this time after a redirect could not reach the owner. */
export const REDIRECT_RETRY_MS = 12_000;

/** ms; a relayed report must be answered well within the worker's 4 s. */
export const RELAY_TIMEOUT_MS = 2_500;

/** ms; pause before a broken peer link is tried again. */
export const PEER_RETRY_MS = 1_000;

/** Sockets left for the state service, the cloud and peers out of the limit. */
export const RESERVED_SOCKETS = 100;

/** Share of all sockets kept for direct calls: a call takes one for some milliseconds, and it stays
 * open for the next until others need it. */
export const DIRECT_SOCKETS = 0.125;

/** Direct calls under way at once: so many answers are handled well within the time of one call, and
 * some dozens of machines that hang don't hold the others up. */
export const DIRECT_AT_ONCE = 64;

/** Share of the sockets for requests in use above which users' connections end with their answer,
 * so that workers find one: after a restart all of them come to the few nodes that are up. */
export const CROWDED_SHARE = 0.7;

/** Share of them above which workers' connections end with their answer too: 4,000 workers at the one
 * node that is up have more than its sockets, and those without one must find one in turn. */
export const FULL_SHARE = 0.9;

/** ms; an idle connection is kept so long: three reports of the slowest workers seen. */
export const KEEP_ALIVE_MS = 20_000;

/** Sockets to the state service beside the watch. */
export const STORE_SOCKETS = 16;

/** Bytes; a larger frame between peers is taken for a broken peer. */
export const PEER_FRAME_BYTES = 1024 * 1024;

/** ms; a direct call is given up after this and its commands are fenced: workers answer at once. */
export const DIRECT_TIMEOUT_MS = 2_000;
