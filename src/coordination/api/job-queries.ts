/** Queries for the state of jobs, made by users' polls and at the beginning of submissions. */
import { JOB_CHECK_TIMEOUT_MS, FRESH_REPLICA_TIMEOUT_MS } from '../../constants/api.js';
import { encodeJobView, isJobId } from '../../protocol/user-codec.js';
import { jobKey } from '../../storage/keys.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Clock } from '../../transport/clock.js';
import type { HttpReply } from '../../transport/http-server.js';
import { noSuchJob, invalidJobId, stillStarting, storeNotResponding } from './http-replies.js';
import { finishedJobLookup, openJobLookup, type JobLookup } from './job-lookup.js';
import type { JobChecks } from './job-checks.js';

/** A user's poll that waits for the response to a watch that is sent after the poll arrived. */
interface FreshReplicaWaiter {
  /** Steady time in ms at which the user's poll for a job's state arrived. */
  arrivedAt: number;
  resolve: (isFresh: boolean) => void;
  cancelTimer: () => void;
}

/** Answers queries from the replica if it is current enough, else from the key-value store. */
export class JobQueries {
  private readonly waiters = new Set<FreshReplicaWaiter>();

  constructor(
    private readonly replica: StoreReplica,
    private readonly checks: JobChecks,
    private readonly clock: Clock,
  ) {
    replica.onConfirmedCurrent((sentAt) => this.resolveWaiters(sentAt));
  }

  /** Answers a user's poll. */
  async poll(id: string): Promise<HttpReply> {
    if (!isJobId(id)) return invalidJobId();
    const lookup = await this.lookUpNewest(id);
    if (lookup.kind === 'unknown')
      return this.replica.isLoaded ? storeNotResponding() : stillStarting();
    if (lookup.kind === 'absent') return noSuchJob(lookup.proof);
    const { state, doneTasks, runningTasks } = lookup.job;
    return { status: 200, body: encodeJobView(id, state, doneTasks, runningTasks) };
  }

  /**
   * Looks up a job. Null: the replica is loaded and holds no record of the job, which does not
   * prove that the job is absent.
   */
  lookUpIfKnown(id: string): Promise<JobLookup | null> {
    const final = this.replica.finalRecord(id);
    if (final) return Promise.resolve(finishedJobLookup(final));
    // Until the replica is loaded no submission is accepted, and finished jobs can only be looked
    // up in the store.
    if (this.replica.isLoaded && !this.replica.get(jobKey(id))) return Promise.resolve(null);
    return this.checks.check(id, JOB_CHECK_TIMEOUT_MS);
  }

  /**
   * Looks up a job as the key-value store holds it now. Once a watch that was sent after the poll
   * arrived is answered, the replica's state of an open job is as current as the answer to a
   * separate request, so that no such request is sent. If no watch is answered in time because
   * changes are rare, or the replica does not hold the job, the job is checked with the store.
   */
  private async lookUpNewest(id: string): Promise<JobLookup> {
    const knownFinal = this.replica.finalRecord(id);
    if (knownFinal) return finishedJobLookup(knownFinal);
    if (this.replica.isLoaded && this.replica.job(id) && (await this.awaitFreshReplica())) {
      const final = this.replica.finalRecord(id);
      if (final) return finishedJobLookup(final);
      if (this.replica.job(id)) return openJobLookup(this.replica, id);
    }
    return this.checks.check(id, JOB_CHECK_TIMEOUT_MS - FRESH_REPLICA_TIMEOUT_MS);
  }

  /**
   * Resolves with true once a watch that is sent from now on is answered, and with false if none is
   * within `FRESH_REPLICA_TIMEOUT_MS`.
   */
  private awaitFreshReplica(): Promise<boolean> {
    return new Promise((resolve) => {
      const waiter: FreshReplicaWaiter = {
        arrivedAt: this.clock.now(),
        resolve,
        cancelTimer: () => undefined,
      };
      waiter.cancelTimer = this.clock.after(FRESH_REPLICA_TIMEOUT_MS, () => {
        this.waiters.delete(waiter);
        resolve(false);
      });
      this.waiters.add(waiter);
    });
  }

  /** Resolves the polls that arrived by `sentAt`, the steady time at which a watch was sent. */
  private resolveWaiters(sentAt: number): void {
    for (const waiter of this.waiters) {
      if (waiter.arrivedAt > sentAt) continue;
      this.waiters.delete(waiter);
      waiter.cancelTimer();
      waiter.resolve(true);
    }
  }
}
