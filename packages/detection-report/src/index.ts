/** Reports of failure detection: the package's entry. */

export { compress, readHistories, type FileFault, type Histories } from './history-files.js';
export { parseLines, type DetectionRecord } from './records.js';
export { probeQuantiles, type ProbeQuantiles } from './probe-quantiles.js';
export { reportOf } from './report.js';
