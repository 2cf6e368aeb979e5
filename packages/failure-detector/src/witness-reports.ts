/** The reports of witnesses that could not reach one instance of a member. */

import type { Evidence } from './verdict.js';

type WitnessEvidence = Extract<Evidence, { kind: 'witness' }>;

/**
 * The reports that one instance, which is one process of a member, can't be reached: the latest
 * report of each witness.
 */
export class WitnessReports {
  private readonly reports = new Map<string, WitnessEvidence & { readonly incarnation: number }>();

  /**
   * Adds a report. It replaces the earlier report of the same witness, unless the earlier one has a
   * higher incarnation.
   */
  add(report: WitnessEvidence, incarnation: number): void {
    const previous = this.reports.get(report.witness);
    if (previous && previous.incarnation > incarnation) return;
    this.reports.set(report.witness, { ...report, incarnation });
  }

  /** Removes the reports on incarnations below the given one, which the member has refuted. */
  removeRefuted(incarnation: number): void {
    for (const [witness, report] of this.reports) {
      if (report.incarnation < incarnation) this.reports.delete(witness);
    }
  }

  /** Removes all reports, because the member has a new instance. */
  clear(): void {
    this.reports.clear();
  }

  /** Returns the reports received since a monotonic time in ms, and removes older ones. */
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
