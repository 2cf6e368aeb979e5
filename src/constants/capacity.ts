/** Constants, each with unit and reason. Capacity accounting. */

/**
 * ms; the leader's sums are recalculated at this interval: decimals that are added and subtracted
 * drift by 1e-13 a change, far below what a task takes.
 */
export const ACCOUNTING_REBUILD_MS = 10_000;
