/** Records which polls of accepted jobs are answered, and finds jobs whose polls always fail. */

/** ms for which all polls of a job may fail while most polls of other jobs are answered. */
const FAILING_MS = 90_000;
/** ms for which all polls of a job may fail after all faults, whatever other jobs' polls return. */
const UNANSWERED_MS = 75_000;

/** The outcome of one poll. */
interface PollOutcome {
  id: string;
  at: number;
  isAnswered: boolean;
}

/** The outcomes of users' polls of accepted jobs. */
export class PollOutcomes {
  private readonly outcomes: PollOutcome[] = [];
  /** Time in ms of the first failed poll since the last answered one, by job. */
  private readonly failingSince = new Map<string, number>();
  private faultsOverAt: number | null = null;

  /** Records that all faults are over. */
  recordEndOfFaults(at: number): void {
    this.faultsOverAt = at;
  }

  /** Records the outcome of a poll of an accepted job; returns the violations that it proves. */
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
      violations.push(`forgotten ${id}: each poll failed for 90 s`);
    }
    if (this.faultsOverAt !== null && at - Math.max(since, this.faultsOverAt) >= UNANSWERED_MS) {
      violations.push(`forgotten ${id}: no poll answered for 75 s after all faults`);
    }
    return violations;
  }

  private mostOthersAreAnswered(id: string, since: number): boolean {
    const others = this.outcomes.filter((one) => one.id !== id && one.at >= since);
    const answered = others.filter((one) => one.isAnswered);
    return answered.length > others.length / 2;
  }
}
