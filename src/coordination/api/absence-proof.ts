/** Proof that the key-value store holds no record of a job. */
import type { Guard, CompareAndSwapResult } from '../../protocol/key-value-store.js';
import { finalKey, jobKey } from '../../storage/keys.js';

/**
 * Proof that a job had neither a record nor a final record at one moment after the arrival of the
 * request for which the proof is used. A reply that a job is unknown, or a refusal of a submission,
 * requires one. A lookup without an answer, two reads at two moments, and a conflict that names
 * other keys prove nothing.
 */
export class AbsenceProof {
  /** A private field, so that no object created elsewhere has the type of a proof. */
  readonly #job: string;

  private constructor(job: string) {
    this.#job = job;
  }

  /** Id of the job that has no record in the key-value store. */
  get job(): string {
    return this.#job;
  }

  /**
   * Returns the proof that a transaction with these guards gives; null: a guard failed, or the
   * guards don't require that both records of the job are absent.
   */
  static fromTransaction(
    job: string,
    guards: readonly Guard[],
    result: CompareAndSwapResult,
  ): AbsenceProof | null {
    if (!result.ok) return null;
    const isAbsent = (key: string): boolean => {
      const guardsOfKey = guards.filter((guard) => guard.key === key);
      return guardsOfKey.length > 0 && guardsOfKey.every((guard) => guard.revision === 0);
    };
    return isAbsent(jobKey(job)) && isAbsent(finalKey(job)) ? new AbsenceProof(job) : null;
  }
}
