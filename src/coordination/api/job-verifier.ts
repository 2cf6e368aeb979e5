/** Decides what a check with the key-value store says of a job. */
import type { CompareAndSwapResult, Guard, KeyValueStore } from '../../protocol/key-value-store.js';
import { finalKey, jobKey } from '../../storage/keys.js';
import type { RateLimiter } from '../../storage/rate-limiter.js';
import type { FinalRecord } from '../../storage/records.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import { AbsenceProof } from './absence-proof.js';
import { UNKNOWN_LOOKUP, finishedJobLookup, openJobLookup, type JobLookup } from './job-lookup.js';

/** What jobs are verified with. */
export interface JobVerifierOptions {
  readonly replica: StoreReplica;
  readonly keyValueStore: KeyValueStore;
  readonly limiter: RateLimiter;
}

/** Compares the replica's view of jobs with the key-value store, and reads jobs that differ. */
export class JobVerifier {
  constructor(private readonly options: JobVerifierOptions) {}

  /** Guards that hold while each job is as the replica has it, and has not finished. */
  guardsOf(ids: readonly string[]): Guard[] {
    const { replica } = this.options;
    return ids.flatMap((id) => [
      { key: jobKey(id), revision: replica.revisionOf(jobKey(id)) },
      { key: finalKey(id), revision: 0 },
    ]);
  }

  /** What a transaction whose guards held together says of a job. */
  lookupOf(id: string, guards: readonly Guard[], result: CompareAndSwapResult): JobLookup {
    const proof = AbsenceProof.fromTransaction(id, guards, result);
    return proof ? { kind: 'absent', proof } : this.openLookup(id);
  }

  /** The result for a job whose final record the replica holds; null: it holds none. */
  finishedLookup(id: string): JobLookup | null {
    const final = this.options.replica.final(id);
    return final ? finishedJobLookup(final) : null;
  }

  /** Reads a job whose guards failed; what is found goes into the replica too. */
  async reread(id: string, isFinished: boolean): Promise<JobLookup> {
    const { limiter, keyValueStore, replica } = this.options;
    if (!isFinished) {
      await limiter.acquire('check', 0);
      const live = await keyValueStore.get(jobKey(id));
      if (live) {
        replica.applyOwnChanges([{ key: jobKey(id), value: live.value, revision: live.revision }]);
        return this.openLookup(id);
      }
    }
    // The transaction that removes the job's record creates its final record, which stays.
    await limiter.acquire('check', 0);
    const final = await keyValueStore.get(finalKey(id));
    // Neither record: two reads at two moments don't prove that there was none all the time.
    if (!final) return UNKNOWN_LOOKUP;
    replica.keepFinal(id, final.value as FinalRecord);
    return finishedJobLookup(final.value as FinalRecord);
  }

  /** A job that was open when it was checked; the replica may have learned of its end since. */
  private openLookup(id: string): JobLookup {
    const { replica } = this.options;
    const finished = this.finishedLookup(id);
    if (finished) return finished;
    // Without all assignments it can't be said whether tasks of it run.
    return replica.isLoaded ? openJobLookup(replica, id) : UNKNOWN_LOOKUP;
  }
}
