/** Constants, each with unit and reason. Scale-out and scale-in. */

/** ms; the same for the cloud, whose requests nobody waits for. */
export const CLOUD_BACKOFF_FIRST_MS = 500;
export const CLOUD_BACKOFF_LAST_MS = 8_000;

/** ms; without an open job for so long no headroom is kept: nothing would ever return its machines. */
export const HEADROOM_RELEASE_AFTER_MS = 25_000;

/** Part of it that the fleet is kept ready for: with all of it the price rose by a seventh. */
export const EXPECTED_WORK_SHARE = 0.8;

/** ms; the leader reads the catalogue again for current spot prices. */
export const CATALOG_PERIOD_MS = 60_000;

/** Share of the cloud's request limit the leader uses; a late leader may still be sending. */
export const CLOUD_REQUEST_SHARE = 0.7;

/** ms; an offer that the cloud could not fill is asked for again after this. */
export const NO_CAPACITY_PAUSE_MS = 15_000;

/** Boot times after which a machine that never reported is returned: some take several. */
export const BOOT_TIMEOUT_FACTOR = 3;

/** ms; how long a returned machine is remembered: far longer than any list is late. */
export const RETURNED_RECORD_RETENTION_MS = 300_000;

/** Silent machines returned at once at the most: more of them look like a cut, not like deaths. */
export const SILENT_RETURN_MAX_MACHINES = 2;

/** ms; a machine must be seen silent for so long before it counts as one of few: the words of other
 * parts take two rounds of theirs. */
export const SILENT_CONFIRM_MS = 1_500;

/** Share of the fleet that may be returned for silence in that span, once silent for a lease. */
export const SILENT_RETURN_MAX_FLEET_SHARE = 0.1;

/** ms; the span within which no more than that many silent machines are returned. */
export const SILENT_RETURN_PERIOD_MS = 60_000;

/** ms; at least so long past its boot time: its first report and its part's word take a while. */
export const BOOT_TIMEOUT_MIN_MARGIN_MS = 30_000;

/** Owners' estimates are often wrong by half; renting counts on tasks this much longer. */
export const ESTIMATE_MARGIN = 1.25;

/** Boot times within which tasks are to be done that a machine rented now can't help in time. */
export const LATE_TASK_BOOT_TIMES = 1.5;

/** s; what a running task is taken to have left when the fleet's future room is reckoned. */
export const ASSUMED_REMAINING_RUN_S = 15;

/** Share of the CPUs under lower work that counts as room for urgent work. */
export const PREEMPTIBLE_CPU_SHARE = 0.5;

/** Times the idle time for which the cheapest room is kept at the most. */
export const IDLE_TIME_MAX_FACTOR = 4;
