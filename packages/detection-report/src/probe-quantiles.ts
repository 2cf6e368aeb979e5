/** Quantiles of probe times, from sketches that can be merged over controllers. */

import { DDSketch } from '@datadog/sketches-js';
import { PROBE_TIME_LEAST_MS, QUANTILES, SKETCH_ACCURACY } from './constants.js';
import type { DetectionRecord } from './records.js';

/** Quantiles of the probes of one member: by one observer, or by all. */
export interface ProbeQuantiles {
  readonly lane: string;
  readonly count: number;
  /** ms, in the order of `QUANTILES`. */
  readonly values: readonly number[];
}

function sketchOf(sketches: Map<string, DDSketch>, lane: string): DDSketch {
  const known = sketches.get(lane);
  if (known) return known;
  const sketch = new DDSketch({ relativeAccuracy: SKETCH_ACCURACY });
  sketches.set(lane, sketch);
  return sketch;
}

function quantilesOf(lane: string, sketch: DDSketch): ProbeQuantiles {
  const values = QUANTILES.map((quantile) =>
    Math.max(PROBE_TIME_LEAST_MS, sketch.getValueAtQuantile(quantile)),
  );
  return { lane, count: sketch.count, values };
}

/** For each member the probes of each observer, then those of all observers together. */
export function probeQuantiles(records: readonly DetectionRecord[]): ProbeQuantiles[] {
  const pairs = new Map<string, DDSketch>();
  const members = new Map<string, DDSketch>();
  for (const record of records) {
    if (record.type !== 'probeTimes') continue;
    const pair = sketchOf(pairs, `${record.observer} > ${record.member}`);
    for (const roundTripMs of record.roundTripsMs) pair.accept(roundTripMs);
  }
  for (const [lane, sketch] of pairs) {
    const [, member = ''] = lane.split(' > ');
    sketchOf(members, `all > ${member}`).merge(sketch);
  }
  return [...pairs, ...members]
    .map(([lane, sketch]) => quantilesOf(lane, sketch))
    .sort((a, b) => (a.lane < b.lane ? -1 : 1));
}
