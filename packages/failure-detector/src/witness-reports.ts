/** Reports of other members that they could not reach one instance of a member. */

import type { Evidence } from './verdict.js';

type WitnessEvidence = Extract<Evidence, { kind: 'witness' }>;

/** The latest report of each witness about one instance; there is one entry a witness at the most. */
export class WitnessReports {
  private readonly reports = new Map<string, WitnessEvidence & { readonly incarnation: number }>();

  /** Notes a report; a repeated one only counts as newer where its incarnation is. */
  add(report: WitnessEvidence, incarnation: number): void {
    const known = this.reports.get(report.witness);
    if (known && known.incarnation > incarnation) return;
    this.reports.set(report.witness, { ...report, incarnation });
  }

  /** Forgets reports about incarnations that the member has refuted. */
  removeRefuted(incarnation: number): void {
    for (const [witness, report] of this.reports) {
      if (report.incarnation < incarnation) this.reports.delete(witness);
    }
  }

  /** Forgets all reports: they were about another instance. */
  clear(): void {
    this.reports.clear();
  }

  /** Reports since a steady time in ms; older ones are forgotten. */
  receivedSince(time: number): WitnessEvidence[] {
    for (const [witness, report] of this.reports) {
      if (report.at < time) this.reports.delete(witness);
    }
    return [...this.reports.values()].map(({ kind, witness, at, storeAnswers }) => ({
      kind,
      witness,
      at,
      storeAnswers,
    }));
  }
}
