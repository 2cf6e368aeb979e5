/** Constants, each with unit and reason. Gang scheduling. */

/**
 * ms; shortest and longest pause before a returned gang is assigned again: the pause doubles. Its
 * first retry follows as soon as its old attempt is proven to have ended.
 */
export const GANG_RETRY_MIN_MS = 250;
export const GANG_RETRY_MAX_MS = 20_000;

/** Number of images for which the leader remembers where a gang used them last. */
export const GANG_IMAGE_HISTORY_MAX_IMAGES = 500;

/**
 * ms; the fleet keeps capacity for the largest gangs that arrived within this time: they cannot
 * start in the scattered capacity of small jobs, and a boot takes longer than they may wait.
 */
export const GANG_ARRIVAL_WINDOW_MS = 150_000;

/**
 * Share of the capacity of arrays that counts for a gang: it is not free at once, nor all of it.
 */
export const GANG_RECLAIMABLE_FRACTION = 0.5;

/** ms; a gang waits this long before capacity is reserved for it: most find theirs at once. */
export const GANG_RESERVATION_DELAY_MS = 2_000;

/** ms; capacity is reserved for this long, two boots, and then for as long not. */
export const GANG_RESERVATION_MS = 60_000;

/**
 * ms; an array without any running task for this long after its arrival may use capacity reserved
 * for gangs: no job waits long beside idle machines.
 */
export const ARRAY_USES_RESERVED_AFTER_MS = 40_000;

/**
 * ms; interval at which a shard checks whether it is the one that reserves capacity for the next
 * gang.
 */
export const RESERVING_SHARD_CHECK_MS = 3_000;

/**
 * A shard reserves this many times the size of a gang of capacity that is to become free: of twice
 * as many tasks half end in half the time that all of them take.
 */
export const GANG_RESERVATION_FACTOR = 2;

/**
 * ms; a shard reserves capacity for a gang that does not fit yet for this long before it gives its
 * share back: what runs there ends within the run time of a short task or two.
 */
export const GANG_RESERVATION_TIMEOUT_MS = 20_000;

/**
 * ms; a shard that has placed its share gives it back when the other shards of the gang have not
 * placed theirs after this time: they have had their time to find capacity.
 */
export const GANG_PLACED_TIMEOUT_MS = 25_000;

/**
 * s; defaults of the settings `gang_wait_s` and `gang_peer_s`: the usual values of workers, on the
 * safe side.
 */
export const GANG_WAIT_S = 30;
export const GANG_PEER_S = 4;

/** A fetch may take this many times its nominal duration. */
export const FETCH_TIME_MAX_RATIO = 4 / 3;

/**
 * ms; maximum delay until a stop reaches the shares of other shards: a record is written and seen
 * by their watches, and their direct calls go out.
 */
export const GANG_STOP_PROPAGATION_MS = 2_500;

/**
 * s; progress since the last checkpoint that a gang may lose where its stop cannot reach all of its
 * tasks in time: no more than a task that was started a moment ago loses.
 */
export const GANG_MAX_LOST_PROGRESS_S = 5;

/**
 * ms; minimum interval at which the leader counts what teams run beyond their guarantees: the cost
 * grows with all that runs, and it is needed only while a gang within its guarantee waits.
 */
export const RECLAIM_RECOUNT_MS = 1_000;

/**
 * ms; a shard preempts other teams' work for a gang only for this long after it got the gang: what
 * a team runs beyond its guarantee changes.
 */
export const RECLAIM_VALID_MS = 3_000;
