/** Every constant of the package, with unit and reason. What differs by deployment is `DetectorTiming`. */

/** Members; evidence is kept by member and witness, so the table grows with the square of this. */
export const MEMBERS_MAX = 63;
/** Ticks in a probe interval: deadlines are met to a quarter of an interval, for few wake-ups. */
export const TICKS_PER_INTERVAL = 4;
/** Members that are asked for an indirect probe, as in SWIM: one lost message decides nothing. */
export const INDIRECT_PROBE_HELPERS = 3;
/** At most so many independent witnesses confirm a failure, as in Lifeguard: more only take time. */
export const MAX_QUORUM = 3;
/** Score of the local health at its worst; time-outs are this many times longer, plus one. */
export const MAX_LOCAL_HEALTH_SCORE = 8;
/** ms; a tick that is later than this counts against the local health: timers fire late by a few. */
export const LATE_TICK_MS = 300;
/** Updates in one message: with 64 bytes each, far below a packet's size. */
export const MAX_UPDATES_PER_MESSAGE = 8;
/** Times log2 of the member count that an update is sent, as in SWIM: reaches all with high odds. */
export const RETRANSMIT_FACTOR = 3;
/** Bound on queued updates; the oldest are dropped. */
export const MAX_QUEUED_UPDATES = 256;
/** Share of the probe time-out after which a helper answers that it could not reach the target. */
export const HELPER_TIMEOUT_FRACTION = 0.8;
/** Probes on behalf of others under way at once; more are not answered. */
export const MAX_DELEGATED_PROBES = 64;
/** Failed probes whose late answers still count as proof of life. */
export const MAX_TIMED_OUT_PROBES = 64;
/** Instances of a member that are remembered as ended. */
export const MAX_ENDED_INSTANCES = 4;
/** Probe intervals after which a witness's report no longer counts. */
export const REPORT_VALIDITY_INTERVALS = 10;
/** Probe intervals between two reports of the same suspicion by the same witness. */
export const REPORT_REPEAT_INTERVALS = 3;
/** Round-trip times kept by member until they are read. */
export const MAX_PROBE_TIMES = 64;
/** Characters of a name or an instance in a message. */
export const MAX_NAME_LENGTH = 200;
