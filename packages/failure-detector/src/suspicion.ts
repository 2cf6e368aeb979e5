/** A suspicion's time-out, which shortens with each independent confirmation (Lifeguard). */

/** How long a suspicion lasts. */
export interface SuspicionTiming {
  readonly leastMs: number;
  readonly mostMs: number;
  /** Confirmations beside the first witness after which it lasts no longer than `leastMs`. */
  readonly expectedConfirmations: number;
}

/** A member that was suspected at an incarnation, and by whom. */
export class Suspicion {
  private readonly witnesses = new Set<string>();

  constructor(
    readonly incarnation: number,
    readonly startedAt: number,
    private readonly timing: SuspicionTiming,
  ) {}

  /** Adds a witness; false: it is known already, and confirms nothing more. */
  confirm(witness: string): boolean {
    if (this.witnesses.has(witness)) return false;
    this.witnesses.add(witness);
    return true;
  }

  /** Steady time in ms at which the member counts as failed, unless it refutes. */
  get endsAt(): number {
    const { expectedConfirmations, leastMs, mostMs } = this.timing;
    if (expectedConfirmations <= 0) return this.startedAt + leastMs;
    const confirmations = Math.max(0, this.witnesses.size - 1);
    const fraction = Math.log(confirmations + 1) / Math.log(expectedConfirmations + 1);
    return this.startedAt + Math.max(leastMs, mostMs - (mostMs - leastMs) * fraction);
  }
}
