/** Constants of the report. */

/** Width of a plot in pixels, which fits on a laptop's screen. */
export const PLOT_WIDTH_PX = 1_080;
/** Height, in pixels, of a lane: the row of a plot for one observer and member, or for one role. */
export const LANE_HEIGHT_PX = 22;
/** Height, in pixels, that a plot needs for its axes in addition to the lanes. */
export const AXES_HEIGHT_PX = 60;
/** Width, in pixels, of the margin for the names of lanes. */
export const LABEL_WIDTH_PX = 150;
/** Relative accuracy of the quantiles of probe times, far below the variation of a network. */
export const SKETCH_RELATIVE_ACCURACY = 0.01;
/** Quantiles of probe times that the report shows. */
export const QUANTILES = [0.5, 0.9, 0.99] as const;
/** Shortest probe time, in ms, in the report: the plot's logarithmic axis can't show 0. */
export const MIN_PROBE_TIME_MS = 0.01;
/** Maximum number of rows in a table; the latest are shown. */
export const MAX_TABLE_ROWS = 500;
