/**
 * Constants of gang scheduling: retries, expected gangs, reserved capacity, time-outs and
 * preemption.
 */

/**
 * Half of the first pause in ms between two assignments of the same gang. The pause doubles with
 * each assignment. The first pause is short so that the first retry follows as soon as the old
 * attempt is proven to have ended.
 */
export const GANG_RETRY_MIN_MS = 250;
/**
 * Longest pause in ms after an assignment of a gang, before the same gang may be assigned again.
 */
export const GANG_RETRY_MAX_MS = 20_000;

/**
 * Maximum number of images for which the leader stores the shard zone where a gang used them last.
 */
export const GANG_IMAGE_HISTORY_MAX_IMAGES = 500;

/**
 * Time in ms for which a gang that arrived counts as recent. The fleet keeps capacity for the
 * largest recent gangs, because a gang cannot start in the scattered free capacity that small jobs
 * leave, and booting a machine takes longer than a gang may wait.
 */
export const GANG_ARRIVAL_WINDOW_MS = 150_000;

/**
 * Fraction of the reclaimable capacity that counts as available to an expected gang, because this
 * capacity is not free at once and not all of it becomes free in time.
 */
export const GANG_RECLAIMABLE_FRACTION = 0.5;

/**
 * Time in ms that a gang waits before capacity is reserved for it, because most gangs find capacity
 * at once.
 */
export const GANG_RESERVATION_DELAY_MS = 2_000;

/**
 * Duration in ms of a reservation of capacity for a waiting gang, equal to two boot times. An
 * equally long period without a reservation follows.
 */
export const GANG_RESERVATION_MS = 60_000;

/**
 * Time in ms since its acceptance after which an array without a placed task may use capacity
 * reserved for gangs, so that no job waits long while machines are idle.
 */
export const ARRAY_USES_RESERVED_AFTER_MS = 40_000;

/**
 * Interval in ms at which a shard checks whether it is the shard that reserves capacity for the
 * next gang.
 */
export const RESERVING_SHARD_CHECK_MS = 3_000;

/**
 * Number of tasks for which a shard reserves machines while a gang subset waits for running arrays
 * to end, as a multiple of the subset's tasks. Of twice as many running tasks, half have ended in
 * about half the time that all of them take.
 */
export const GANG_RESERVATION_FACTOR = 2;

/**
 * Time in ms for which a shard reserves capacity for a gang subset that does not fit yet, before it
 * returns the subset to the leader. This is the run time of one or two short tasks, so short tasks
 * that occupy the capacity end within it.
 */
export const GANG_RESERVATION_TIMEOUT_MS = 20_000;

/**
 * Time in ms after which a shard that has placed its gang subset returns it to the leader if the
 * other shards have not placed theirs. It is longer than `GANG_RESERVATION_TIMEOUT_MS`, within
 * which the other shards either find capacity or return their subsets.
 */
export const GANG_PLACED_TIMEOUT_MS = 25_000;

/**
 * Default of the setting `gang_wait_s`: how long in s a worker's tasks wait for the rest of their
 * gang. Workers usually wait this long or longer. A value that is too low is safe; with one that is
 * too high, tasks would end by themselves before the shard expects it.
 */
export const DEFAULT_GANG_WAIT_S = 30;
/**
 * Default of the setting `gang_peer_s`: how long in s a worker's tasks wait for a lost task of
 * their gang. As with `DEFAULT_GANG_WAIT_S`, workers usually wait this long or longer, and a value
 * that is too low is safe.
 */
export const DEFAULT_GANG_PEER_S = 4;

/** Longest assumed duration of an image fetch, as a multiple of its nominal duration. */
export const FETCH_TIME_MAX_FACTOR = 4 / 3;

/**
 * Maximum time in ms from a shard's decision to stop a gang until the stop reaches the gang's tasks
 * in other shards. Within this time a record is written, the watches of the other shards return it,
 * and these shards send their direct calls.
 */
export const GANG_STOP_PROPAGATION_MS = 2_500;

/**
 * Maximum progress in s since the last checkpoint that a gang may lose when it is stopped although
 * the stop cannot reach all of its tasks in time. The loss is no larger than that of stopping a
 * task that started a moment ago.
 */
export const GANG_MAX_LOST_PROGRESS_S = 5;

/**
 * Minimum interval in ms at which the leader recalculates the CPUs that teams use beyond their fair
 * shares. The cost of a recalculation grows with the number of assignments, and its result is
 * needed only while a gang within its team's fair share waits.
 */
export const RECLAIM_RECOUNT_MS = 1_000;

/**
 * Time in ms since a shard received a gang's assignment during which it may preempt other teams'
 * arrays for the gang. The time is limited because the teams' use beyond their fair shares changes.
 */
export const RECLAIM_VALID_MS = 3_000;
