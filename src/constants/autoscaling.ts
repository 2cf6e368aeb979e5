/**
 * Constants of scale-out and scale-in: planning of capacity, requests to the cloud, and the return
 * of idle or silent machines.
 */

/**
 * First pause in ms of the autoscaler after a failed pass. The pause doubles with each further
 * failure.
 */
export const CLOUD_BACKOFF_MIN_MS = 500;
/**
 * Longest pause in ms of the autoscaler after failed passes. The pauses may be long, because no
 * user waits for a pass.
 */
export const CLOUD_BACKOFF_MAX_MS = 8_000;

/**
 * Time in ms without an open job after which headroom is released, because the machines kept for it
 * would otherwise never be returned.
 */
export const HEADROOM_RELEASE_AFTER_MS = 25_000;

/**
 * Fraction of the work expected from recent arrivals for which the fleet keeps capacity. With 1,
 * the price of the fleet rose by a seventh.
 */
export const EXPECTED_WORK_FRACTION = 0.8;

/** Interval in ms at which the catalog of machine types is read again for current spot prices. */
export const CATALOG_REFRESH_INTERVAL_MS = 60_000;

/**
 * Fraction of the cloud's request limit that the leader uses, because a former leader may still be
 * sending requests.
 */
export const CLOUD_REQUEST_FRACTION = 0.7;

/**
 * Pause in ms before an offer is requested again after the cloud had too little capacity for it.
 */
export const NO_CAPACITY_PAUSE_MS = 15_000;

/**
 * Time after which a machine without a heartbeat is returned, as a multiple of its type's boot
 * time. Some machines take several times the boot time of their type.
 */
export const BOOT_TIMEOUT_FACTOR = 3;

/**
 * Minimum time in ms beyond the boot time before a machine without a heartbeat is returned, because
 * the first heartbeat and the next status record of its shard take time as well.
 */
export const BOOT_TIMEOUT_MIN_MARGIN_MS = 30_000;

/**
 * Retention time in ms of a returned machine's record. It is far longer than the time by which the
 * cloud's list of machines may be out of date.
 */
export const RETURNED_RECORD_RETENTION_MS = 300_000;

/**
 * Number of silent machines up to which they are returned before their leases expire. A greater
 * number is more likely caused by a network partition than by failures of machines.
 */
export const SILENT_RETURN_MAX_MACHINES = 2;

/**
 * Duration of silence in ms after which up to `SILENT_RETURN_MAX_MACHINES` machines are returned.
 * The other shards take two of their passes to write the status records that show whether more
 * machines are silent.
 */
export const SILENT_CONFIRMATION_MS = 1_500;

/**
 * Fraction of the fleet that may be returned for silence within `SILENT_RETURN_PERIOD_MS`. In a
 * small fleet, up to `SILENT_RETURN_MAX_MACHINES` machines may be returned nevertheless.
 */
export const SILENT_RETURN_MAX_FLEET_FRACTION = 0.1;

/**
 * Time in ms for which a machine returned for silence counts towards
 * `SILENT_RETURN_MAX_FLEET_FRACTION` and `SILENT_RETURN_MAX_MACHINES`.
 */
export const SILENT_RETURN_PERIOD_MS = 60_000;

/**
 * Factor by which tasks are assumed to run longer than estimated when machines are rented, because
 * users' estimates are often wrong by half.
 */
export const RUN_ESTIMATE_FACTOR = 1.25;

/**
 * Length of the period over which the needed CPUs are computed, as a multiple of the fastest boot
 * time. Tasks that even a machine rented now could not finish by their deadlines are planned as if
 * the same period were left until their latest start.
 */
export const LATE_TASK_BOOT_FACTOR = 1.5;

/**
 * Remaining run time in s that is assumed for running tasks when the fleet's future capacity is
 * computed.
 */
export const ASSUMED_REMAINING_RUN_S = 15;

/**
 * Fraction of the CPUs used by preemptible work that counts as headroom for urgent work, because a
 * preempted task loses work done.
 */
export const PREEMPTIBLE_CPU_FRACTION = 0.5;

/**
 * Upper bound of the factor by which a machine with a low price per CPU stays idle longer than one
 * with the highest price.
 */
export const IDLE_TIME_MAX_FACTOR = 4;
