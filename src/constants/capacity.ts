/** Constants, each with unit and reason. Capacity accounting. */

/** ms; the leader's sums are made anew this often: decimals added and taken back drift by 1e-13 a
 * change, far below what a task takes. */
export const ACCOUNTING_REBUILD_MS = 10_000;
