/** Suspicions, whose time-out shortens with each independent confirmation (Lifeguard). */

/** Bounds of a suspicion's time-out. */
export interface SuspicionTiming {
  readonly leastMs: number;
  readonly mostMs: number;
  /** Number of confirmations, the first witness not counted, that shorten the time-out to `leastMs`. */
  readonly expectedConfirmations: number;
}

/** The suspicion of a member at one incarnation, with its witnesses. */
export class Suspicion {
  private readonly witnesses = new Set<string>();

  constructor(
    readonly incarnation: number,
    /** Monotonic time in ms. */
    readonly startedAt: number,
    private readonly timing: SuspicionTiming,
  ) {}

  /** Adds a witness; false: the witness was added before, and does not count again. */
  confirm(witness: string): boolean {
    if (this.witnesses.has(witness)) return false;
    this.witnesses.add(witness);
    return true;
  }

  /** Monotonic time in ms at which the suspicion times out, unless the member refutes it. */
  get endsAt(): number {
    const { expectedConfirmations, leastMs, mostMs } = this.timing;
    if (expectedConfirmations <= 0) return this.startedAt + leastMs;
    const confirmations = Math.max(0, this.witnesses.size - 1);
    const fraction = Math.log(confirmations + 1) / Math.log(expectedConfirmations + 1);
    return this.startedAt + Math.max(leastMs, mostMs - (mostMs - leastMs) * fraction);
  }
}
