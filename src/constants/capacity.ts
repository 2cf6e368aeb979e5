/** Constants, each with unit and reason. Capacity accounting. */

/**
 * ms; interval at which the leader recalculates its sums of resources. Adding and subtracting
 * decimal fractions causes a rounding error of about 1e-13 per change; over this interval the
 * errors stay far below the resources of one task.
 */
export const ACCOUNTING_REBUILD_MS = 10_000;
