/** The report on failure detection in several controllers, as one self-contained HTML page. */

import { parseHTML } from 'linkedom';
import { QUANTILES, MAX_TABLE_ROWS } from './constants.js';
import type { FileFault, Histories } from './history-files.js';
import { decisionPlot, probePlot, statePlot } from './plots.js';
import { probeQuantiles, type ProbeQuantiles } from './probe-quantiles.js';
import type { DecisionRecord, TransitionRecord } from './records.js';

const STYLE = `body { font: 14px system-ui, sans-serif; margin: 2em auto; max-width: 1100px; }
table { border-collapse: collapse; } td, th { border: 1px solid #ccc; padding: 2px 8px; text-align: left; }
.alive { color: #2c7a4f; } .suspect { color: #9a6b00; } .failed { color: #b3365b; } figure { margin: 1em 0; }`;

const TITLE = 'Failure detection between controllers';

type Evidence = TransitionRecord['evidence'][number];

const formatTime = (at: number): string => new Date(at).toISOString().slice(11, 23);

function describeEvidence(evidence: Evidence): string {
  switch (evidence.kind) {
    case 'own probe':
      return evidence.isReached ? 'own probe answered' : 'own probe failed';
    case 'witness':
      return `${evidence.witness} could not reach the member${evidence.storeAnswers ? '' : ' (while the store did not answer the witness)'}`;
    case 'newer instance':
      return `newer instance ${evidence.instance}`;
    default:
      return evidence.kind;
  }
}

/** Builds the page. Texts from records are inserted as text, never as markup. */
class ReportPage {
  private readonly document: Document;

  constructor() {
    const { document } = parseHTML(
      '<!doctype html><html lang="en"><head></head><body></body></html>',
    );
    this.document = document;
    this.document.title = TITLE;
    const charset = this.addElement(this.document.head, 'meta', null);
    charset.setAttribute('charset', 'utf-8');
    this.addElement(this.document.head, 'style', STYLE);
    this.addElement(this.document.body, 'h1', TITLE);
  }

  get html(): string {
    return `<!doctype html>\n${this.document.documentElement.outerHTML}\n`;
  }

  addParagraph(text: string): void {
    this.addElement(this.document.body, 'p', text);
  }

  addSection(title: string): void {
    this.addElement(this.document.body, 'h2', title);
  }

  addFigure(draw: (document: Document) => string): void {
    const figure = this.addElement(this.document.body, 'figure', null);
    figure.innerHTML = draw(this.document);
  }

  addTable(head: readonly string[], rows: readonly (readonly string[])[]): void {
    const table = this.addElement(this.document.body, 'table', null);
    const addRow = (cells: readonly string[], tag: string): void => {
      const row = this.addElement(table, 'tr', null);
      for (const cell of cells) this.addElement(row, tag, cell);
    };
    addRow(head, 'th');
    for (const row of rows.slice(-MAX_TABLE_ROWS)) addRow(row, 'td');
    if (rows.length > MAX_TABLE_ROWS)
      this.addParagraph(`The latest ${MAX_TABLE_ROWS} of ${rows.length} rows.`);
  }

  private addElement(parent: Element, tag: string, text: string | null): Element {
    const element = this.document.createElement(tag);
    if (text !== null) element.textContent = text;
    parent.appendChild(element);
    return element;
  }
}

function addTransitions(page: ReportPage, transitions: readonly TransitionRecord[]): void {
  const rows = transitions.map((transition) => [
    formatTime(transition.at),
    transition.observer,
    transition.member,
    `${transition.from} > ${transition.to}`,
    transition.reason,
    transition.silentMs === null ? '' : `${Math.round(transition.silentMs)} ms`,
    transition.evidence.map(describeEvidence).join('; '),
  ]);
  page.addTable(['time', 'observer', 'member', 'state', 'reason', 'silent for', 'evidence'], rows);
}

function addDecisions(page: ReportPage, decisions: readonly DecisionRecord[]): void {
  const rows = decisions.map((decision) => [
    formatTime(decision.at),
    decision.observer,
    `${decision.role} of ${decision.holder}, term ${decision.term}`,
    decision.action,
    decision.why,
    `${decision.witnesses.join(', ')} (quorum: ${decision.quorum})`,
    `${Math.round(decision.waitedMs)} ms`,
  ]);
  page.addTable(['time', 'observer', 'role', 'action', 'reason', 'witnesses', 'waited'], rows);
}

function addProbes(page: ReportPage, quantiles: readonly ProbeQuantiles[]): void {
  const rows = quantiles.map(({ lane, count, values }) => [
    lane,
    String(count),
    ...values.map((value) => value.toFixed(2)),
  ]);
  page.addTable(
    ['observer > member', 'probes', ...QUANTILES.map((quantile) => `p${quantile * 100}, ms`)],
    rows,
  );
}

function addFaults(page: ReportPage, faults: readonly FileFault[]): void {
  if (faults.length === 0) return;
  page.addSection('Files that could not be read completely');
  page.addTable(
    ['file', 'reason'],
    faults.map(({ file, reason }) => [file, reason]),
  );
}

/** Returns the report on the given histories as HTML. */
export function reportOf({ faults, records }: Histories): string {
  const page = new ReportPage();
  const transitions = records.filter((record) => record.type === 'transition');
  const decisions = records.filter((record) => record.type === 'decision');
  const quantiles = probeQuantiles(records);
  page.addParagraph(
    `${transitions.length} transitions, ${decisions.length} decisions. Times are in UTC, by the clock of each observer.`,
  );
  addFaults(page, faults);
  page.addSection('States of members by observer');
  if (transitions.length > 0) page.addFigure((document) => statePlot(document, records));
  addTransitions(page, transitions);
  page.addSection('Decisions about roles');
  if (decisions.length > 0) page.addFigure((document) => decisionPlot(document, decisions));
  addDecisions(page, decisions);
  page.addSection('Probe times');
  if (quantiles.length > 0) page.addFigure((document) => probePlot(document, quantiles));
  addProbes(page, quantiles);
  return page.html;
}
