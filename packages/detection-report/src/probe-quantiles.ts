/** Quantiles of probe times, from sketches that are merged for all observers of a member. */

import { DDSketch } from '@datadog/sketches-js';
import { MIN_PROBE_TIME_MS, QUANTILES, SKETCH_RELATIVE_ACCURACY } from './constants.js';
import type { DetectionRecord } from './records.js';

/** Quantiles of the probe times of one member, as one observer or all observers measured them. */
export interface ProbeQuantiles {
  /** `OBSERVER > MEMBER`, or `all > MEMBER`. */
  readonly lane: string;
  /** Number of probe times from which the quantiles were computed. */
  readonly count: number;
  /** Probe times in ms, in the order of `QUANTILES`. */
  readonly values: readonly number[];
}

function sketchOf(sketches: Map<string, DDSketch>, lane: string): DDSketch {
  const existing = sketches.get(lane);
  if (existing) return existing;
  const sketch = new DDSketch({ relativeAccuracy: SKETCH_RELATIVE_ACCURACY });
  sketches.set(lane, sketch);
  return sketch;
}

function quantilesOf(lane: string, sketch: DDSketch): ProbeQuantiles {
  const values = QUANTILES.map((quantile) =>
    Math.max(MIN_PROBE_TIME_MS, sketch.getValueAtQuantile(quantile)),
  );
  return { lane, count: sketch.count, values };
}

/** Returns the quantiles for each pair of observer and member, and for each member over all observers. */
export function probeQuantiles(records: readonly DetectionRecord[]): ProbeQuantiles[] {
  const pairSketches = new Map<string, DDSketch>();
  const memberSketches = new Map<string, DDSketch>();
  for (const record of records) {
    if (record.type !== 'probeTimes') continue;
    const sketch = sketchOf(pairSketches, `${record.observer} > ${record.member}`);
    for (const roundTripMs of record.roundTripsMs) sketch.accept(roundTripMs);
  }
  for (const [lane, sketch] of pairSketches) {
    const [, member = ''] = lane.split(' > ');
    sketchOf(memberSketches, `all > ${member}`).merge(sketch);
  }
  return [...pairSketches, ...memberSketches]
    .map(([lane, sketch]) => quantilesOf(lane, sketch))
    .sort((a, b) => (a.lane < b.lane ? -1 : 1));
}
