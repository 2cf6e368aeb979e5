/** Constants, each with unit and reason. Gang scheduling. */

/** ms; first and longest pause before a gang that came back is handed out again: the pause doubles.
 * Its first retry follows as soon as its old attempt is proven ended. */
export const GANG_RETRY_MIN_MS = 250;
export const GANG_RETRY_MAX_MS = 20_000;

/** Images of gangs of which the leader remembers where they were last. */
export const GANG_IMAGE_HISTORY_SIZE = 500;

/** ms; for the largest gangs that came within this time the fleet keeps room: they can't begin in the
 * room of several small jobs here and there, and a boot takes longer than they may wait. */
export const RECENT_GANGS_MS = 150_000;

/** Share of what arrays take that counts as room for a gang: it is not free at once, nor all of it. */
export const GANG_RECLAIMABLE_SHARE = 0.5;

/** ms; a gang waits so long before room is kept for it: most find theirs at once. */
export const GANG_RESERVATION_DELAY_MS = 2_000;

/** ms; room is kept so long, two boots, and then for as long not. */
export const GANG_RESERVATION_MS = 60_000;

/** ms; an array of which nothing runs so long after it came may use the room that is kept free for
 * gangs: nobody waits long in front of a free machine. */
export const ARRAY_USES_RESERVED_AFTER_MS = 40_000;

/** ms; a part looks this often whether it is the one that keeps room free for the next gang. */
export const RESERVING_SHARD_CHECK_MS = 3_000;

/** Times its size for which a part keeps room that is to fall free for a gang: of twice as many tasks
 * half end in half the time that all of them take. */
export const GANG_RESERVATION_FACTOR = 2;

/** ms; a part keeps room for a gang that does not fit yet for so long before it gives it back: what
 * runs there ends within the run time of a short task or two. */
export const GANG_RESERVATION_TIMEOUT_MS = 20_000;

/** ms; placed and waiting for the other parts of its gang so long, a part gives its share back: they
 * have had their time to find room. */
export const GANG_PLACED_TIMEOUT_MS = 25_000;

/** s; times of gangs where the settings name none: workers' usual ones, on the careful side. */
export const GANG_WAIT_S = 30;
export const GANG_PEER_S = 4;

/** Times its nominal length that a fetch may take. */
export const FETCH_TIME_MAX_RATIO = 4 / 3;

/** ms; a stop reaches the shares of other parts this late at the most: a record is written and seen
 * by their watches, and their direct calls go out. */
export const GANG_STOP_PROPAGATION_MS = 2_500;

/** s; progress since the last checkpoint that a gang may lose where its stop can't reach all of its
 * tasks in time: as little as a task that was started a moment ago. */
export const GANG_MAX_LOST_PROGRESS_S = 5;

/** ms; the leader counts this often at the most what teams run beyond their guarantees: it costs time
 * in proportion to all that runs, and is needed only while a gang within its guarantee waits. */
export const RECLAIM_RECOUNT_MS = 1_000;

/** ms; a part stops other teams' work for a gang only so long after it got the gang: what a team runs
 * beyond its guarantee changes. */
export const RECLAIM_VALID_MS = 3_000;
