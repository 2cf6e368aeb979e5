/** Notes which questions about accepted jobs are answered: a job of which nothing can be learned is forgotten. */

/** ms for which each question about a job may fail while most others get answers. */
const FAILING_MS = 90_000;
/** ms after all troubles without an answered question, however others fare. */
const SILENT_MS = 75_000;

/** The outcome of one question. */
interface Outcome {
  id: string;
  at: number;
  isAnswered: boolean;
}

/** The questions that users ask about accepted jobs. */
export class Questions {
  private readonly outcomes: Outcome[] = [];
  /** When the first of the questions failed that were not answered since, by job. */
  private readonly failingSince = new Map<string, number>();
  private overAt: number | null = null;

  /** All troubles are over. */
  faultsOver(at: number): void {
    this.overAt = at;
  }

  /** A question about an accepted job was answered or not; returns the breaches that this shows. */
  asked(id: string, isAnswered: boolean, at: number): string[] {
    this.outcomes.push({ id, at, isAnswered });
    if (isAnswered) {
      this.failingSince.delete(id);
      return [];
    }
    const since = this.failingSince.get(id) ?? at;
    this.failingSince.set(id, since);
    const breaches: string[] = [];
    if (at - since >= FAILING_MS && this.othersAreAnswered(id, since)) {
      breaches.push(`forgotten ${id}: each question failed for 90 s`);
    }
    if (this.overAt !== null && at - Math.max(since, this.overAt) >= SILENT_MS) {
      breaches.push(`forgotten ${id}: no question answered for 75 s after all troubles`);
    }
    return breaches;
  }

  private othersAreAnswered(id: string, since: number): boolean {
    const others = this.outcomes.filter((one) => one.id !== id && one.at >= since);
    const answered = others.filter((one) => one.isAnswered);
    return answered.length > others.length / 2;
  }
}
