/** Records which polls of accepted jobs are answered: a job whose state cannot be learned is forgotten. */

/** ms for which every poll of a job may fail while most others are answered. */
const FAILING_MS = 90_000;
/** ms without an answered poll after the end of all faults, however others fare. */
const UNANSWERED_MS = 75_000;

/** The outcome of one poll. */
interface PollOutcome {
  id: string;
  at: number;
  isAnswered: boolean;
}

/** The polls that users make of accepted jobs. */
export class PollOutcomes {
  private readonly outcomes: PollOutcome[] = [];
  /** When the first of the polls failed that were not answered since, by job. */
  private readonly failingSince = new Map<string, number>();
  private faultsOverAt: number | null = null;

  /** All faults are over. */
  faultsOver(at: number): void {
    this.faultsOverAt = at;
  }

  /** A poll of an accepted job was answered or not; returns the violations that this shows. */
  record(id: string, isAnswered: boolean, at: number): string[] {
    this.outcomes.push({ id, at, isAnswered });
    if (isAnswered) {
      this.failingSince.delete(id);
      return [];
    }
    const since = this.failingSince.get(id) ?? at;
    this.failingSince.set(id, since);
    const violations: string[] = [];
    if (at - since >= FAILING_MS && this.mostOthersAreAnswered(id, since)) {
      violations.push(`forgotten ${id}: each question failed for 90 s`);
    }
    if (this.faultsOverAt !== null && at - Math.max(since, this.faultsOverAt) >= UNANSWERED_MS) {
      violations.push(`forgotten ${id}: no question answered for 75 s after all faults`);
    }
    return violations;
  }

  private mostOthersAreAnswered(id: string, since: number): boolean {
    const others = this.outcomes.filter((one) => one.id !== id && one.at >= since);
    const answered = others.filter((one) => one.isAnswered);
    return answered.length > others.length / 2;
  }
}
