/** The report's plots, rendered as SVG without a browser. */

import * as Plot from '@observablehq/plot';
import {
  AXES_HEIGHT_PX,
  LABEL_WIDTH_PX,
  LANE_HEIGHT_PX,
  PLOT_WIDTH_PX,
  QUANTILES,
} from './constants.js';
import type { ProbeQuantiles } from './probe-quantiles.js';
import type { DecisionRecord, DetectionRecord, TransitionRecord } from './records.js';

/** The states and their colours, which readers with red-green colour blindness can tell apart. */
const STATE_COLOURS = {
  domain: ['unknown', 'alive', 'suspect', 'failed'],
  range: ['#d0d0d0', '#4c9f70', '#e9b44c', '#b3365b'],
};

/** A period in which an observer saw a member in one state; `lane`: `OBSERVER > MEMBER`. */
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
  for (const transition of transitions)
    byLane.set(laneOf(transition), [...(byLane.get(laneOf(transition)) ?? []), transition]);
  return [...byLane].flatMap(([lane, laneTransitions]) =>
    laneTransitions.map((transition, index) => ({
      lane,
      from: new Date(transition.at),
      until: new Date(laneTransitions[index + 1]?.at ?? endsAt),
      state: transition.to,
    })),
  );
}

function plotLanes(document: Document, lanes: number, options: Plot.PlotOptions): string {
  const plot = Plot.plot({
    ...options,
    document,
    width: PLOT_WIDTH_PX,
    height: lanes * LANE_HEIGHT_PX + AXES_HEIGHT_PX,
    marginLeft: LABEL_WIDTH_PX,
  });
  return plot.outerHTML;
}

/** Plots the state of each member over time, with a lane for each observer and member. */
export function statePlot(document: Document, records: readonly DetectionRecord[]): string {
  const transitions = records.filter((record) => record.type === 'transition');
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
    x: { type: 'utc', label: 'time, UTC', grid: true },
    y: { label: null },
    color: { ...STATE_COLOURS, type: 'ordinal', legend: true },
    marks: [bars],
  });
}

/** Plots the decisions about each role over time. */
export function decisionPlot(document: Document, decisions: readonly DecisionRecord[]): string {
  const dots: Mark = Plot.dot(decisions, {
    x: (decision: DecisionRecord) => new Date(decision.at),
    y: 'role',
    fill: 'action',
    r: 5,
    title: (decision: DecisionRecord) =>
      `${decision.observer}: ${decision.action}, ${decision.why}`,
  });
  return plotLanes(document, new Set(decisions.map(({ role }) => role)).size, {
    x: { type: 'utc', label: 'time, UTC', grid: true },
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

/** Plots the quantiles of probe times by observer and member. */
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
