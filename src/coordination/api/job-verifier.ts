/** Derives the state of jobs from checks with the key-value store. */
import type { CompareAndSwapResult, Guard, KeyValueStore } from '../../protocol/key-value-store.js';
import { finalKey, jobKey } from '../../storage/keys.js';
import type { RateLimiter } from '../../storage/rate-limiter.js';
import type { FinalRecord } from '../../storage/records.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import { AbsenceProof } from './absence-proof.js';
import { UNKNOWN_LOOKUP, finishedJobLookup, openJobLookup, type JobLookup } from './job-lookup.js';

/** Dependencies of the verifier. */
export interface JobVerifierOptions {
  readonly replica: StoreReplica;
  readonly keyValueStore: KeyValueStore;
  readonly limiter: RateLimiter;
}

/**
 * Builds the guards that compare jobs with the key-value store, derives the results of the jobs,
 * and reads the jobs whose guards failed.
 */
export class JobVerifier {
  constructor(private readonly options: JobVerifierOptions) {}

  /** Returns guards that hold if no job has finished and all records are as in the replica. */
  guardsOf(ids: readonly string[]): Guard[] {
    const { replica } = this.options;
    return ids.flatMap((id) => [
      { key: jobKey(id), revision: replica.revisionOf(jobKey(id)) },
      { key: finalKey(id), revision: 0 },
    ]);
  }

  /** Returns the result for a job after a transaction whose guards all held. */
  lookupOf(id: string, guards: readonly Guard[], result: CompareAndSwapResult): JobLookup {
    const proof = AbsenceProof.fromTransaction(id, guards, result);
    return proof ? { kind: 'absent', proof } : this.openLookup(id);
  }

  /** Returns the result for a job whose final record the replica holds; null: it holds none. */
  finishedLookup(id: string): JobLookup | null {
    const final = this.options.replica.finalRecord(id);
    return final ? finishedJobLookup(final) : null;
  }

  /**
   * Reads a job whose guards failed, and stores what it finds in the replica too. `isFinished`: the
   * guard of the final record failed.
   */
  async reread(id: string, isFinished: boolean): Promise<JobLookup> {
    const { limiter, keyValueStore, replica } = this.options;
    if (!isFinished) {
      await limiter.acquire('check', 0);
      const stored = await keyValueStore.get(jobKey(id));
      if (stored) {
        replica.applyOwnChanges([
          { key: jobKey(id), value: stored.value, revision: stored.revision },
        ]);
        return this.openLookup(id);
      }
    }
    // The transaction that removes a job's record creates its final record, which is never removed.
    await limiter.acquire('check', 0);
    const final = await keyValueStore.get(finalKey(id));
    // Two reads at two moments don't prove that the job had neither record at one moment.
    if (!final) return UNKNOWN_LOOKUP;
    replica.cacheFinalRecord(id, final.value as FinalRecord);
    return finishedJobLookup(final.value as FinalRecord);
  }

  /**
   * Returns the result for a job that was open when it was checked. If its final record has reached
   * the replica since, the result is the final state.
   */
  private openLookup(id: string): JobLookup {
    const { replica } = this.options;
    const finished = this.finishedLookup(id);
    if (finished) return finished;
    // Until the replica holds all assignments, the number of running tasks is unknown.
    return replica.isLoaded ? openJobLookup(replica, id) : UNKNOWN_LOOKUP;
  }
}
