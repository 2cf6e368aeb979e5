/**
 * Constant of the leader's accounting of resources: the interval at which its sums are
 * recalculated.
 */

/**
 * Interval in ms at which the leader recalculates its sums of resources. Adding and subtracting
 * decimal fractions causes a rounding error of about 1e-13 per change. Over this interval the
 * errors stay far below the resources of one task.
 */
export const ACCOUNTING_REBUILD_MS = 10_000;
