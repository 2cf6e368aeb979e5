/** The package's exports: reports on failure detection. */

export { compress, readHistories, type FileFault, type Histories } from './history-files.js';
export { parseLines, type DetectionRecord } from './records.js';
export { probeQuantiles, type ProbeQuantiles } from './probe-quantiles.js';
export { reportOf } from './report.js';
