/** Constants of the failure detector. Settings that differ by deployment are in `DetectorTiming`. */

/**
 * Maximum number of members. Evidence is kept for each pair of member and witness, so that the memory
 * for it grows with the square of this number.
 */
export const MEMBERS_MAX = 63;
/**
 * Timer ticks in a probe interval. With four, a deadline is processed at most a quarter of an interval
 * late, and the process wakes up rarely.
 */
export const TICKS_PER_INTERVAL = 4;
/**
 * Number of members that are asked to probe a target that did not answer, as in SWIM. With several of
 * them, one lost message does not make the probe fail.
 */
export const INDIRECT_PROBE_HELPERS = 3;
/**
 * Maximum number of independent witnesses that are required to confirm a failure, as in Lifeguard. A
 * larger quorum would only delay the detection.
 */
export const MAX_QUORUM = 3;
/** Worst local health score. Probe time-outs are multiplied by the score plus one. */
export const MAX_LOCAL_HEALTH_SCORE = 8;
/** Lateness of a tick, in ms, that raises the local health score. Timers often fire a few ms late. */
export const LATE_TICK_MS = 300;
/** Maximum number of updates in a message: with 64 bytes each, they take far less than a packet. */
export const MAX_UPDATES_PER_MESSAGE = 8;
/**
 * An update is sent `RETRANSMIT_FACTOR * log2(members + 1)` times, as in SWIM, so that it reaches all
 * members with high probability.
 */
export const RETRANSMIT_FACTOR = 3;
/** Maximum number of queued updates; the oldest are dropped. */
export const MAX_QUEUED_UPDATES = 256;
/**
 * Fraction of the probe time-out after which a helper answers that the target was not reached. The rest
 * of the time-out is left for that answer's transmission.
 */
export const HELPER_TIMEOUT_FRACTION = 0.8;
/** Maximum number of concurrent probes for other members; further requests are ignored. */
export const MAX_DELEGATED_PROBES = 64;
/** Maximum number of timed-out probes that are kept: a late answer to one still counts. */
export const MAX_TIMED_OUT_PROBES = 64;
/** Maximum number of ended instances that are kept of each member, to drop their late answers. */
export const MAX_ENDED_INSTANCES = 4;
/** Probe intervals after which the report of a witness expires. */
export const REPORT_VALIDITY_INTERVALS = 10;
/** Minimum number of probe intervals between two reports of one witness on the same member. */
export const REPORT_REPEAT_INTERVALS = 3;
/** Maximum number of round-trip times that are kept of each member until they are read. */
export const MAX_PROBE_TIMES = 64;
/** Maximum length, in characters, of a member's name and of an instance in a message. */
export const MAX_NAME_LENGTH = 200;
