/** Constants, each with unit and reason. Gang scheduling. */

/**
 * ms; shortest and longest pause after an assignment of a gang, before it may be assigned again.
 * The pause doubles with each assignment, starting at twice the shortest. The shortest is small so
 * that the first retry follows as soon as the old attempt is proven to have ended.
 */
export const GANG_RETRY_MIN_MS = 250;
export const GANG_RETRY_MAX_MS = 20_000;

/**
 * Maximum number of images for which the leader stores the shard zone where a gang used them last.
 */
export const GANG_IMAGE_HISTORY_MAX_IMAGES = 500;

/**
 * ms; the fleet keeps capacity for the largest gangs that arrived within this time. A gang cannot
 * start in the scattered free capacity that small jobs leave, and booting a machine takes longer
 * than a gang may wait.
 */
export const GANG_ARRIVAL_WINDOW_MS = 150_000;

/**
 * Fraction of the reclaimable capacity that counts as available to an expected gang, because the
 * capacity is not free at once and not all of it becomes free in time.
 */
export const GANG_RECLAIMABLE_FRACTION = 0.5;

/**
 * ms; a gang waits this long before capacity is reserved for it, because most gangs find capacity
 * at once.
 */
export const GANG_RESERVATION_DELAY_MS = 2_000;

/**
 * ms; duration of a reservation of capacity for a waiting gang, equal to two boot times. It is
 * followed by an equally long period without a reservation.
 */
export const GANG_RESERVATION_MS = 60_000;

/**
 * ms; an array that has no placed task this long after its acceptance may use capacity reserved for
 * gangs, so that no job waits long while machines are idle.
 */
export const ARRAY_USES_RESERVED_AFTER_MS = 40_000;

/**
 * ms; interval at which a shard checks whether it is the shard that reserves capacity for the next
 * gang.
 */
export const RESERVING_SHARD_CHECK_MS = 3_000;

/**
 * A shard reserves machines for this many times the tasks of a gang that waits for running arrays
 * to end. Of twice as many running tasks, half have ended in about half the time that all of them
 * take.
 */
export const GANG_RESERVATION_FACTOR = 2;

/**
 * ms; a shard reserves capacity for a gang subset that does not fit yet for this long before it
 * returns the subset to the leader. This is the run time of one or two short tasks, so short tasks
 * that occupy the capacity end within it.
 */
export const GANG_RESERVATION_TIMEOUT_MS = 20_000;

/**
 * ms; a shard that has placed its gang subset returns it to the leader if the other shards have not
 * placed theirs after this time. It is longer than `GANG_RESERVATION_TIMEOUT_MS`, within which they
 * either find capacity or return their subsets.
 */
export const GANG_PLACED_TIMEOUT_MS = 25_000;

/**
 * s; default values of the settings `gang_wait_s` and `gang_peer_s`: how long a worker's tasks wait
 * for the rest of their gang, and for a lost task of it. Workers usually wait this long or longer.
 * A value that is too low is safe; with one that is too high, tasks would end by themselves before
 * the shard expects it.
 */
export const DEFAULT_GANG_WAIT_S = 30;
export const DEFAULT_GANG_PEER_S = 4;

/** Longest assumed duration of an image fetch, as a multiple of its nominal duration. */
export const FETCH_TIME_MAX_FACTOR = 4 / 3;

/**
 * ms; maximum time from a shard's decision to stop a gang until the stop reaches the gang's tasks
 * in other shards. Within this time a record is written, the watches of the other shards return it,
 * and these shards send their direct calls.
 */
export const GANG_STOP_PROPAGATION_MS = 2_500;

/**
 * s; maximum progress since the last checkpoint that a gang may lose when it is stopped although
 * the stop cannot reach all of its tasks in time. The loss is no larger than that of stopping a
 * task that started a moment ago.
 */
export const GANG_MAX_LOST_PROGRESS_S = 5;

/**
 * ms; minimum interval at which the leader recalculates the CPUs that teams use beyond their fair
 * shares. The cost of a recalculation grows with the number of assignments, and its result is
 * needed only while a gang within its team's fair share waits.
 */
export const RECLAIM_RECOUNT_MS = 1_000;

/**
 * ms; a shard preempts other teams' arrays for a gang only for this long after it received the
 * gang's assignment, because the teams' use beyond their fair shares changes.
 */
export const RECLAIM_VALID_MS = 3_000;
