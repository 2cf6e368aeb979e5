/** Constants, each with unit and reason. Scale-out and scale-in. */

/** ms; first and longest pause after a failed cloud request: nobody waits for these requests. */
export const CLOUD_BACKOFF_FIRST_MS = 500;
export const CLOUD_BACKOFF_LAST_MS = 8_000;

/** ms; without an open job for so long no headroom is kept: nothing would ever return its machines. */
export const HEADROOM_RELEASE_AFTER_MS = 25_000;

/** Share of the work expected from recent arrivals for which the fleet is kept ready: with all of it
 * the price rose by a seventh. */
export const EXPECTED_WORK_SHARE = 0.8;

/** ms; pace at which the catalog of machine types is read again for current spot prices. */
export const CATALOG_PERIOD_MS = 60_000;

/** Share of the cloud's request limit that the leader uses: a former leader may still be sending. */
export const CLOUD_REQUEST_SHARE = 0.7;

/** ms; an offer that the cloud could not fill is requested again after this. */
export const NO_CAPACITY_PAUSE_MS = 15_000;

/** Boot times after which a machine without a heartbeat is returned: some take several. */
export const BOOT_TIMEOUT_FACTOR = 3;

/** ms; minimum time past its boot time after which such a machine is returned: its first heartbeat
 * and the status of its shard take a while. */
export const BOOT_TIMEOUT_MIN_MARGIN_MS = 30_000;

/** ms; how long the record of a returned machine is kept: far longer than any list is out of date. */
export const RETURNED_RECORD_RETENTION_MS = 300_000;

/** Silent machines that are returned at once: more of them look like a network partition than like
 * failures of machines. */
export const SILENT_RETURN_MAX_MACHINES = 2;

/** ms; so few silent machines are returned once seen silent for this long: the status of the other
 * shards takes two of their passes. */
export const SILENT_CONFIRM_MS = 1_500;

/** Share of the fleet that may be returned within a period for silence of a whole lease. */
export const SILENT_RETURN_MAX_FLEET_SHARE = 0.1;

/** ms; the period within which no more than that many silent machines are returned. */
export const SILENT_RETURN_PERIOD_MS = 60_000;

/** Users' estimates are often wrong by half; renting assumes that tasks run this much longer. */
export const ESTIMATE_MARGIN = 1.25;

/** Boot times within which tasks are to be done that a machine rented now can't finish in time. */
export const LATE_TASK_BOOT_TIMES = 1.5;

/** s; what a running task is assumed to have left when the fleet's future capacity is computed. */
export const ASSUMED_REMAINING_RUN_S = 15;

/** Share of the CPUs under preemptible work that counts as headroom for urgent work. */
export const PREEMPTIBLE_CPU_SHARE = 0.5;

/** Upper bound of the factor by which cheap machines stay idle longer than the most expensive. */
export const IDLE_TIME_MAX_FACTOR = 4;
