/** Every constant of the package, with unit and reason. */

/** Pixels; width of a plot: fits a laptop's screen. */
export const PLOT_WIDTH_PX = 1_080;
/** Pixels; height of a lane, and of the axes beside the lanes. */
export const LANE_HEIGHT_PX = 22;
export const AXES_HEIGHT_PX = 60;
/** Pixels; room for the names of lanes. */
export const LABEL_WIDTH_PX = 150;
/** Relative accuracy of quantiles of probe times: far below what networks vary by. */
export const SKETCH_RELATIVE_ACCURACY = 0.01;
/** Quantiles of probe times that are shown. */
export const QUANTILES = [0.5, 0.9, 0.99] as const;
/** ms; the shortest probe time that a plot shows, since its axis is logarithmic. */
export const MIN_PROBE_TIME_MS = 0.01;
/** Rows of a table; the latest are shown. */
export const MAX_TABLE_ROWS = 500;
