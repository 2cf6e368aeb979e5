/** Queries for the state of a job: users' polls, and what submissions ask first. */
import { JOB_CHECK_TIMEOUT_MS, FRESH_REPLICA_TIMEOUT_MS } from '../../constants/api.js';
import { encodeJobView, isJobId } from '../../protocol/user-codec.js';
import { jobKey } from '../../storage/keys.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Clock } from '../../transport/clock.js';
import type { HttpReply } from '../../transport/http-server.js';
import { noSuchJob, invalidJobId, stillStarting, storeNotResponding } from './http-replies.js';
import { finishedJobLookup, openJobLookup, type JobLookup } from './job-lookup.js';
import type { JobChecks } from './job-checks.js';

/** A poll that waits for the answer to a watch request that is sent after the poll arrived. */
interface FreshReplicaWaiter {
  /** Steady time at which the poll arrived. */
  arrivedAt: number;
  resolve: (fresh: boolean) => void;
  cancelTimer: () => void;
}

/** Answers from the replica where it is fresh enough, and from the key-value store otherwise. */
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

  /** What is known of a job that the replica holds; null: it holds none, which proves nothing. */
  lookUpIfKnown(id: string): Promise<JobLookup | null> {
    const final = this.replica.final(id);
    if (final) return Promise.resolve(finishedJobLookup(final));
    // Until the replica is loaded nothing can be accepted, and finished jobs can only be looked up
    // in the store.
    if (this.replica.isLoaded && !this.replica.get(jobKey(id))) return Promise.resolve(null);
    return this.checks.check(id, JOB_CHECK_TIMEOUT_MS);
  }

  /**
   * A job as the key-value store holds it now. What the replica shows of an open job after a
   * watch that was sent after the poll came is as good as a request of its own, and costs no
   * request; where changes are seldom, or the job is not in the replica, the store is asked.
   */
  private async lookUpNewest(id: string): Promise<JobLookup> {
    const before = this.replica.final(id);
    if (before) return finishedJobLookup(before);
    if (this.replica.isLoaded && this.replica.job(id) && (await this.awaitFreshReplica())) {
      const final = this.replica.final(id);
      if (final) return finishedJobLookup(final);
      if (this.replica.job(id)) return openJobLookup(this.replica, id);
    }
    return this.checks.check(id, JOB_CHECK_TIMEOUT_MS - FRESH_REPLICA_TIMEOUT_MS);
  }

  /** True once a watch request sent from now on is answered; false: it was not in time. */
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

  /** A watch request that was sent at this steady time is answered. */
  private resolveWaiters(sentAt: number): void {
    for (const waiter of this.waiters) {
      if (waiter.arrivedAt > sentAt) continue;
      this.waiters.delete(waiter);
      waiter.cancelTimer();
      waiter.resolve(true);
    }
  }
}
