/**
 * Checks of jobs with the state service: many jobs share one comparing transaction, whose guards
 * fail for those that are no longer as the replica has them.
 */
import { CHECK_QUEUE, GROUP_COMMIT_MS, REREADS_AT_ONCE } from '../../constants/api.js';
import { GUARDS_PER_OP } from '../../constants/protocol.js';
import {
  StoreRejectedError,
  type Guard,
  type KeyValueStore,
} from '../../protocol/key-value-store.js';
import { finalKey, jobKey } from '../../storage/keys.js';
import type { Log } from '../../storage/log.js';
import type { RateLimiter } from '../../storage/rate-limiter.js';
import type { FinalRecord } from '../../storage/records.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Clock } from '../../transport/clock.js';
import { forEachLimited } from '../../transport/concurrency.js';
import { AbsenceProof } from './absence-proof.js';
import { UNSURE, finalJob, openJob, type JobLookup } from './job-answers.js';

/** What the checks are made with. */
export interface JobChecksOptions {
  /** Changes that one transaction may hold. */
  transactionOps: number;
  /** ms between two checking transactions: what comes meanwhile shares the next. */
  checkMs: number;
  replica: StoreReplica;
  keyValueStore: KeyValueStore;
  limiter: RateLimiter;
  clock: Clock;
  log: Log;
}

/** Someone who waits for the result of a check. */
interface Waiter {
  /** What it waits for: another one once its check was joined with a later one of the same job. */
  check: Check;
  resolve: (lookup: JobLookup) => void;
  /** Ends its timer: thousands left to run out would each wake the process. */
  cancelTimer: () => void;
}

/** A job to be checked, and all who wait for the result. */
interface Check {
  id: string;
  waiters: Set<Waiter>;
}

/** A check takes two guards: the job's record and its final record. */
const GUARDS_PER_CHECK = 2;

/** Asks the state service what it holds on jobs now. */
export class JobChecks {
  /** Checks that are not sent yet, in the order in which they came: one for each job. */
  private readonly pending = new Map<string, Check>();
  private readonly checksPerTransaction: number;
  private waiterCount = 0;
  private scheduled = false;
  /** Steady time of the last checking transaction. */
  private checkedAt = -Infinity;

  constructor(private readonly options: JobChecksOptions) {
    const guards = options.transactionOps * GUARDS_PER_OP;
    this.checksPerTransaction = Math.max(1, Math.floor(guards / GUARDS_PER_CHECK));
  }

  /** What the state service holds on a job now; unsure after `limitMs`. */
  check(id: string, limitMs: number): Promise<JobLookup> {
    const existing = this.pending.get(id);
    if (!existing && this.waiterCount >= CHECK_QUEUE) return Promise.resolve(UNSURE);
    const check = existing ?? { id, waiters: new Set() };
    this.pending.set(id, check);
    return new Promise((resolve) => {
      const cancelTimer = this.options.clock.after(limitMs, () => this.expire(waiter));
      const waiter: Waiter = { check, resolve, cancelTimer };
      check.waiters.add(waiter);
      this.waiterCount++;
      this.schedule();
    });
  }

  /** A waiter's time is up; a check that nobody waits for is not sent. */
  private expire(waiter: Waiter): void {
    const { check } = waiter;
    if (!check.waiters.delete(waiter)) return;
    this.waiterCount--;
    if (check.waiters.size === 0 && this.pending.get(check.id) === check) {
      this.pending.delete(check.id);
    }
    waiter.resolve(UNSURE);
  }

  private settle(check: Check, lookup: JobLookup): void {
    this.waiterCount -= check.waiters.size;
    for (const { resolve, cancelTimer } of check.waiters) {
      cancelTimer();
      resolve(lookup);
    }
    check.waiters.clear();
  }

  /** The next transaction does not wait for the answer to the one before: that may be slow. */
  private schedule(): void {
    if (this.scheduled || this.pending.size === 0) return;
    this.scheduled = true;
    const { clock, checkMs } = this.options;
    const isFull = this.pending.size >= this.checksPerTransaction;
    const remainingMs = isFull ? 0 : checkMs - (clock.now() - this.checkedAt);
    clock.after(Math.max(GROUP_COMMIT_MS, remainingMs), () => void this.runNext());
  }

  private async runNext(): Promise<void> {
    const { clock, limiter } = this.options;
    await limiter.acquire('check', 0);
    const group = this.takeGroup();
    this.checkedAt = clock.now();
    this.scheduled = false;
    this.schedule();
    await this.runGroup(group);
  }

  /** Takes out what one transaction may hold; whose end was heard of meanwhile needs none. */
  private takeGroup(): Check[] {
    const group: Check[] = [];
    for (const check of this.pending.values()) {
      if (group.length >= this.checksPerTransaction) break;
      this.pending.delete(check.id);
      const final = this.options.replica.final(check.id);
      if (final) this.settle(check, finalJob(final));
      else group.push(check);
    }
    return group;
  }

  /** Checks a group; a conflict proves nothing of the jobs that it does not name: they go again. */
  private async runGroup(group: Check[]): Promise<void> {
    let remaining = group;
    try {
      while (remaining.length > 0) {
        const failed = await this.compare(remaining);
        const isFailed = ({ id }: Check): boolean =>
          failed.has(jobKey(id)) || failed.has(finalKey(id));
        const changed = remaining.filter(isFailed);
        void this.rereadAll(changed, failed);
        remaining = remaining.filter((check) => check.waiters.size > 0 && !isFailed(check));
        if (changed.length === 0) break;
        if (remaining.length > 0) await this.options.limiter.acquire('check', 0);
      }
      this.settleUnsure(remaining, 'a conflict names none of the keys');
    } catch (error) {
      this.retryOrGiveUp(remaining, error);
    }
  }

  /**
   * One transaction for all; settles them if all are as the replica has them at this moment.
   * Otherwise the keys that are not. The guards are made when they are sent, so that they speak for
   * everyone who asked before.
   */
  private async compare(group: Check[]): Promise<Set<string>> {
    const { keyValueStore, replica } = this.options;
    const guards = guardsOf(group, replica);
    const result = await keyValueStore.compareAndSwap(guards, []);
    if (!result.ok) return new Set(result.failed);
    for (const check of group) {
      const proof = AbsenceProof.fromTransaction(check.id, guards, result);
      this.settle(check, proof ? { kind: 'absent', proof } : this.openLookup(check.id));
    }
    return new Set();
  }

  /** What was not served is asked again as long as someone waits, except in an outage. */
  private retryOrGiveUp(group: Check[], error: unknown): void {
    if (error instanceof StoreRejectedError && error.status !== 429) {
      this.settleUnsure(group, String(error));
      return;
    }
    if (error instanceof StoreRejectedError) this.options.limiter.reportRefusal(0);
    for (const check of group) this.putBack(check);
    this.schedule();
  }

  private putBack(check: Check): void {
    if (check.waiters.size === 0) return;
    const newer = this.pending.get(check.id);
    if (!newer) {
      this.pending.set(check.id, check);
      return;
    }
    for (const waiter of check.waiters) {
      waiter.check = newer;
      newer.waiters.add(waiter);
    }
    check.waiters.clear();
  }

  private settleUnsure(group: Check[], reason: string): void {
    if (group.length === 0) return;
    this.options.log.debug({ reason, jobs: group.length }, 'checks failed');
    for (const check of group) this.settle(check, UNSURE);
  }

  private async rereadAll(checks: Check[], failed: ReadonlySet<string>): Promise<void> {
    await forEachLimited(checks, REREADS_AT_ONCE, async (check) => {
      try {
        this.settle(check, await this.reread(check.id, failed.has(finalKey(check.id))));
      } catch (error) {
        this.retryOrGiveUp([check], error);
      }
    });
  }

  /** Reads a job whose guards failed; what is found goes into the replica too. */
  private async reread(id: string, isOver: boolean): Promise<JobLookup> {
    const { limiter, keyValueStore, replica } = this.options;
    if (!isOver) {
      await limiter.acquire('check', 0);
      const live = await keyValueStore.get(jobKey(id));
      if (live) {
        replica.applyOwnChanges([{ key: jobKey(id), value: live.value, revision: live.revision }]);
        return this.openLookup(id);
      }
    }
    // The job's record goes in the change that makes its final record, which stays.
    await limiter.acquire('check', 0);
    const final = await keyValueStore.get(finalKey(id));
    // Neither record: two reads at two moments don't prove that there was none all the time.
    if (!final) return UNSURE;
    replica.keepFinal(id, final.value as FinalRecord);
    return finalJob(final.value as FinalRecord);
  }

  /** A job that was open when it was checked; its end may have been heard of since. */
  private openLookup(id: string): JobLookup {
    const { replica } = this.options;
    const final = replica.final(id);
    if (final) return finalJob(final);
    // Without all chunks it can't be said whether tasks of it run.
    return replica.isLoaded ? openJob(replica, id) : UNSURE;
  }
}

/** Guards that hold while each job is as the replica has it, and is not over. */
function guardsOf(group: readonly Check[], replica: StoreReplica): Guard[] {
  return group.flatMap(({ id }) => [
    { key: jobKey(id), revision: replica.revisionOf(jobKey(id)) },
    { key: finalKey(id), revision: 0 },
  ]);
}
