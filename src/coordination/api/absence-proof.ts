/** Proves that the key-value store holds nothing on a job. */
import type { Guard, CompareAndSwapResult } from '../../protocol/key-value-store.js';
import { finalKey, jobKey } from '../../storage/keys.js';

/**
 * Proof that there was neither a record nor a final record of a job at one moment, which lies
 * after the request that it is used for. Code that answers that a job is unknown, or refuses a
 * submission, must hold one: a lookup without an answer, two reads at two moments, or a conflict
 * that names other keys prove nothing.
 */
export class AbsenceProof {
  /** Private, so that nothing else has the type of a proof. */
  readonly #job: string;

  private constructor(job: string) {
    this.#job = job;
  }

  /** The job that is absent. */
  get job(): string {
    return this.#job;
  }

  /** Null: these guards did not hold together, or they don't say that the job is absent. */
  static fromTransaction(
    job: string,
    guards: readonly Guard[],
    result: CompareAndSwapResult,
  ): AbsenceProof | null {
    if (!result.ok) return null;
    const isAbsent = (key: string): boolean => {
      const ofKey = guards.filter((guard) => guard.key === key);
      return ofKey.length > 0 && ofKey.every((guard) => guard.revision === 0);
    };
    return isAbsent(jobKey(job)) && isAbsent(finalKey(job)) ? new AbsenceProof(job) : null;
  }
}
