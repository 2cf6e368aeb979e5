/**
 * Checks of jobs with the state service: many jobs share one comparing transaction, whose guards
 * fail for those that are no longer as the replica has them.
 */
import { CHECK_QUEUE, GROUP_COMMIT_MS, GUARDS_PER_OP } from '../constants.js';
import type { Guard, StateApi } from '../protocol/state-api.js';
import { finalKey, jobKey } from '../storage/keys.js';
import type { Log } from '../storage/log.js';
import type { RateLimiter } from '../storage/rate-limiter.js';
import type { FinalRecord } from '../storage/records.js';
import type { StoreReplica } from '../storage/store-replica.js';
import type { Clock } from '../transport/clock.js';
import { ABSENT, UNSURE, finalJob, openJob, type JobLookup } from './job-answers.js';

/** What the checks are made with. */
export interface JobChecksOptions {
  /** Changes that one transaction may hold. */
  txnOps: number;
  /** ms between two checking transactions: what comes meanwhile shares the next. */
  checkMs: number;
  replica: StoreReplica;
  api: StateApi;
  limiter: RateLimiter;
  clock: Clock;
  log: Log;
}

/** A check that waits for its answer. */
interface Check {
  id: string;
  /** Revision of the job's record in the replica when the check was made; 0: not there. */
  jobRevision: number;
  resolve: (lookup: JobLookup) => void;
  settled: boolean;
  /** Ends its timer: thousands left to run out would each wake the process. */
  cancelTimer: () => void;
}

/** Asks the state service what it holds on jobs now. */
export class JobChecks {
  private readonly waiting: Check[] = [];
  private running = false;
  /** Steady time of the last checking transaction. */
  private checkedAt = -Infinity;

  constructor(private readonly options: JobChecksOptions) {}

  /** What the state service holds on a job now; unsure after `limitMs`. */
  check(id: string, limitMs: number): Promise<JobLookup> {
    const { clock, replica } = this.options;
    if (this.waiting.length >= CHECK_QUEUE) return Promise.resolve(UNSURE);
    return new Promise((resolve) => {
      const cancelTimer = clock.after(limitMs, () => this.settle(check, UNSURE));
      const jobRevision = replica.revisionOf(jobKey(id));
      const check: Check = { id, jobRevision, resolve, settled: false, cancelTimer };
      this.waiting.push(check);
      this.schedule();
    });
  }

  private schedule(): void {
    if (this.running) return;
    this.running = true;
    const { clock, checkMs } = this.options;
    const since = clock.now() - this.checkedAt;
    const wait = Math.max(GROUP_COMMIT_MS, checkMs - since);
    clock.after(wait, () => void this.runAll());
  }

  private settle(check: Check, lookup: JobLookup): void {
    if (check.settled) return;
    check.settled = true;
    check.cancelTimer();
    check.resolve(lookup);
  }

  private async runAll(): Promise<void> {
    // Each check takes two guards.
    const perTxn = Math.max(1, Math.floor((this.options.txnOps * GUARDS_PER_OP) / 2));
    while (this.waiting.length > 0) {
      const group = this.waiting.splice(0, perTxn).filter((check) => !check.settled);
      if (group.length === 0) continue;
      this.checkedAt = this.options.clock.now();
      try {
        await this.runGroup(group);
      } catch (error) {
        this.options.log.debug({ error: String(error) }, 'checks failed');
        for (const check of group) this.settle(check, UNSURE);
      }
    }
    this.running = false;
  }

  private async runGroup(group: Check[]): Promise<void> {
    const { limiter, api, replica } = this.options;
    await limiter.pass('check', 0);
    const result = await api.txn(guardsOf(group), []);
    const failed = new Set(result.ok ? [] : result.failed);
    for (const check of group) {
      const { id, jobRevision } = check;
      if (failed.has(jobKey(id)) || failed.has(finalKey(id))) {
        await this.reread(check);
      } else {
        // As the replica had it when the check was made: there, or nowhere at all.
        this.settle(check, jobRevision === 0 ? ABSENT : openJob(replica, id));
      }
    }
  }

  /** Reads a job whose guards failed; what is found goes into the replica too. */
  private async reread(check: Check): Promise<void> {
    const { limiter, api, replica } = this.options;
    const { id } = check;
    // The job's record goes in the change that makes its final state: the order matters.
    await limiter.pass('check', 0);
    const live = await api.get(jobKey(id));
    if (live) {
      replica.applyOwn([{ key: jobKey(id), value: live.value, revision: live.revision }]);
      this.settle(check, openJob(replica, id));
      return;
    }
    await limiter.pass('check', 0);
    const final = await api.get(finalKey(id));
    if (final) replica.keepFinal(id, final.value as FinalRecord);
    this.settle(check, final ? finalJob(final.value as FinalRecord) : ABSENT);
  }
}

/** Guards that hold while each job is as it was when its check was made, and is not over. */
function guardsOf(group: Check[]): Guard[] {
  const guards = new Map<string, Guard>();
  for (const { id, jobRevision } of group) {
    guards.set(jobKey(id), { key: jobKey(id), revision: jobRevision });
    guards.set(finalKey(id), { key: finalKey(id), revision: 0 });
  }
  return [...guards.values()];
}
