/**
 * Checks jobs with the key-value store. Many jobs share one compare-and-swap without changes, whose
 * guards fail for the jobs that differ from the replica.
 */
import { GROUP_COMMIT_DELAY_MS, MAX_CONCURRENT_REREADS } from '../../constants/api.js';
import { GUARDS_PER_OP } from '../../constants/protocol.js';
import { StoreRejectedError, type KeyValueStore } from '../../protocol/key-value-store.js';
import { finalKey, jobKey } from '../../storage/keys.js';
import type { Log } from '../../storage/log.js';
import type { RateLimiter } from '../../storage/rate-limiter.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Clock } from '../../transport/clock.js';
import { forEachLimited } from '../../transport/concurrency.js';
import { JobCheckQueue, type JobCheck } from './job-check-queue.js';
import { UNKNOWN_LOOKUP, type JobLookup } from './job-lookup.js';
import { JobVerifier } from './job-verifier.js';

/** Dependencies and limits of job checks. */
export interface JobChecksOptions {
  /** Maximum number of changes in one transaction. */
  transactionOps: number;
  /**
   * Time in ms between two transactions that check jobs. Checks that arrive in between share the
   * later one.
   */
  checkIntervalMs: number;
  replica: StoreReplica;
  keyValueStore: KeyValueStore;
  limiter: RateLimiter;
  clock: Clock;
  log: Log;
}

/** Guards of one check: one for the job's record and one for its final record. */
const GUARDS_PER_CHECK = 2;

/** Looks up the current state of jobs in the key-value store, many jobs per request. */
export class JobChecks {
  private readonly queue: JobCheckQueue;
  private readonly verifier: JobVerifier;
  private readonly checksPerTransaction: number;
  private isScheduled = false;
  /** Steady time in ms at which the last transaction that checked jobs was sent. */
  private lastCheckedAt = -Infinity;

  constructor(private readonly options: JobChecksOptions) {
    const guards = options.transactionOps * GUARDS_PER_OP;
    this.checksPerTransaction = Math.max(1, Math.floor(guards / GUARDS_PER_CHECK));
    this.queue = new JobCheckQueue(options.clock);
    this.verifier = new JobVerifier(options);
  }

  /**
   * Looks up a job as the key-value store holds it at some moment after this call. The result is
   * `UNKNOWN_LOOKUP` after `timeoutMs` without a result. It is `UNKNOWN_LOOKUP` at once if
   * `MAX_WAITING_CHECKS` requests wait already and no check of this job is queued.
   */
  check(id: string, timeoutMs: number): Promise<JobLookup> {
    if (!this.queue.mayWaitFor(id)) return Promise.resolve(UNKNOWN_LOOKUP);
    const lookup = this.queue.waitFor(id, timeoutMs);
    this.schedule();
    return lookup;
  }

  /**
   * Schedules the next transaction that checks jobs, without waiting for the response to the last
   * one, which may be slow.
   */
  private schedule(): void {
    if (this.isScheduled || this.queue.size === 0) return;
    this.isScheduled = true;
    const { clock, checkIntervalMs } = this.options;
    const isFull = this.queue.size >= this.checksPerTransaction;
    const remainingMs = isFull ? 0 : checkIntervalMs - (clock.now() - this.lastCheckedAt);
    clock.after(Math.max(GROUP_COMMIT_DELAY_MS, remainingMs), () => void this.checkNextBatch());
  }

  private async checkNextBatch(): Promise<void> {
    const { clock, limiter } = this.options;
    await limiter.acquire('check', 0);
    // A job needs no check if its final record has reached the replica in the meantime.
    const batch = this.queue.takeNext(this.checksPerTransaction, (id) =>
      this.verifier.finishedLookup(id),
    );
    this.lastCheckedAt = clock.now();
    this.isScheduled = false;
    this.schedule();
    await this.checkBatch(batch);
  }

  /**
   * Checks a batch of jobs. A conflict proves nothing about the jobs whose keys it does not name,
   * so these are checked again.
   */
  private async checkBatch(batch: JobCheck[]): Promise<void> {
    let remaining = batch;
    try {
      while (remaining.length > 0) {
        const failedKeys = await this.compareWithReplica(remaining);
        const isFailed = ({ id }: JobCheck): boolean =>
          failedKeys.has(jobKey(id)) || failedKeys.has(finalKey(id));
        const changed = remaining.filter(isFailed);
        void this.rereadAll(changed, failedKeys);
        remaining = remaining.filter((check) => check.waiters.size > 0 && !isFailed(check));
        if (changed.length === 0) break;
        if (remaining.length > 0) await this.options.limiter.acquire('check', 0);
      }
      this.resolveAsUnknown(remaining, 'conflict names none of the guarded keys');
    } catch (error) {
      this.requeueOrResolveAsUnknown(remaining, error);
    }
  }

  /**
   * Compares the batch with the replica in one transaction. Resolves all checks if no guard failed,
   * and otherwise returns the keys whose guards failed. The guards are created when they are sent,
   * so that the result is valid for every request that arrived before.
   */
  private async compareWithReplica(batch: JobCheck[]): Promise<Set<string>> {
    const guards = this.verifier.guardsOf(batch.map(({ id }) => id));
    const result = await this.options.keyValueStore.compareAndSwap(guards, []);
    if (!result.ok) return new Set(result.failed);
    for (const check of batch) {
      this.queue.resolve(check, this.verifier.lookupOf(check.id, guards, result));
    }
    return new Set();
  }

  private async rereadAll(checks: JobCheck[], failedKeys: ReadonlySet<string>): Promise<void> {
    await forEachLimited(checks, MAX_CONCURRENT_REREADS, async (check) => {
      try {
        const isFinished = failedKeys.has(finalKey(check.id));
        this.queue.resolve(check, await this.verifier.reread(check.id, isFinished));
      } catch (error) {
        this.requeueOrResolveAsUnknown([check], error);
      }
    });
  }

  /**
   * Queues the checks of a failed request again. If the store rejected the request, and not for its
   * rate limit (429), the checks are resolved as unknown instead.
   */
  private requeueOrResolveAsUnknown(batch: JobCheck[], error: unknown): void {
    const isRejected = error instanceof StoreRejectedError;
    if (isRejected && error.status !== 429) {
      this.resolveAsUnknown(batch, String(error));
      return;
    }
    if (isRejected) this.options.limiter.reportRefusal(0);
    for (const check of batch) this.queue.requeue(check);
    this.schedule();
  }

  private resolveAsUnknown(batch: JobCheck[], reason: string): void {
    if (batch.length === 0) return;
    this.options.log.debug({ reason, jobs: batch.length }, 'job checks failed');
    for (const check of batch) this.queue.resolve(check, UNKNOWN_LOOKUP);
  }
}
