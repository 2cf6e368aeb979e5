/** The report's plots, rendered to SVG without a browser. */

import * as Plot from '@observablehq/plot';
import { AXES_HEIGHT, LABEL_WIDTH, LANE_HEIGHT, PLOT_WIDTH, QUANTILES } from './constants.js';
import type { ProbeQuantiles } from './probe-quantiles.js';
import type { DecisionRecord, DetectionRecord, TransitionRecord } from './records.js';

/** States and their colours, distinguishable also without seeing red or green. */
const STATE_COLOURS = {
  domain: ['unknown', 'alive', 'suspect', 'failed'],
  range: ['#d0d0d0', '#4c9f70', '#e9b44c', '#b3365b'],
};

/** A time for which a member was in a state for an observer. */
interface StateSpan {
  readonly lane: string;
  readonly from: Date;
  readonly until: Date;
  readonly state: string;
}

type Mark = NonNullable<Plot.PlotOptions['marks']>[number];

const laneOf = ({ member, observer }: TransitionRecord): string => `${observer} > ${member}`;

function spansOf(transitions: readonly TransitionRecord[], endsAt: number): StateSpan[] {
  const byLane = new Map<string, TransitionRecord[]>();
  for (const one of transitions) byLane.set(laneOf(one), [...(byLane.get(laneOf(one)) ?? []), one]);
  return [...byLane].flatMap(([lane, own]) =>
    own.map((one, index) => ({
      lane,
      from: new Date(one.at),
      until: new Date(own[index + 1]?.at ?? endsAt),
      state: one.to,
    })),
  );
}

function plotLanes(document: Document, lanes: number, options: Plot.PlotOptions): string {
  const plot = Plot.plot({
    ...options,
    document,
    width: PLOT_WIDTH,
    height: lanes * LANE_HEIGHT + AXES_HEIGHT,
    marginLeft: LABEL_WIDTH,
  });
  return plot.outerHTML;
}

/** A lane for each observer and member: the member's state over time. */
export function statePlot(document: Document, records: readonly DetectionRecord[]): string {
  const transitions = records.filter((one) => one.type === 'transition');
  const endsAt = Math.max(...records.map(({ at }) => at));
  const spans = spansOf(transitions, endsAt);
  const bars: Mark = Plot.barX(spans, {
    x1: 'from',
    x2: 'until',
    y: 'lane',
    fill: 'state',
    title: (span: StateSpan) => `${span.lane}: ${span.state}`,
  });
  return plotLanes(document, new Set(spans.map(({ lane }) => lane)).size, {
    x: { type: 'utc', label: 'time of day', grid: true },
    y: { label: null },
    color: { ...STATE_COLOURS, type: 'ordinal', legend: true },
    marks: [bars],
  });
}

/** What was decided about each role over time. */
export function decisionPlot(document: Document, decisions: readonly DecisionRecord[]): string {
  const dots: Mark = Plot.dot(decisions, {
    x: (one: DecisionRecord) => new Date(one.at),
    y: 'role',
    fill: 'action',
    r: 5,
    title: (one: DecisionRecord) => `${one.observer}: ${one.action}, ${one.why}`,
  });
  return plotLanes(document, new Set(decisions.map(({ role }) => role)).size, {
    x: { type: 'utc', label: 'time of day', grid: true },
    y: { label: null, type: 'band' },
    color: {
      domain: ['take', 'wait', 'ask to stand down'],
      scheme: 'Dark2',
      type: 'ordinal',
      legend: true,
    },
    marks: [dots],
  });
}

/** Quantiles of probe times by observer and member. */
export function probePlot(document: Document, quantiles: readonly ProbeQuantiles[]): string {
  const points = quantiles.flatMap(({ lane, values }) =>
    values.map((ms, index) => ({ lane, ms, quantile: String(QUANTILES[index]) })),
  );
  return plotLanes(document, quantiles.length, {
    x: { type: 'log', label: 'probe time, ms', grid: true },
    y: { label: null, type: 'band' },
    color: { domain: QUANTILES.map(String), scheme: 'Dark2', type: 'ordinal', legend: true },
    marks: [Plot.dot(points, { x: 'ms', y: 'lane', fill: 'quantile', r: 4 })],
  });
}
