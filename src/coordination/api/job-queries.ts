/** Queries for the state of a job: users' polls, and what submissions ask first. */
import { POLL_LIMIT_MS, WATCHED_MS } from '../../constants/api.js';
import { encodeJobView, isJobId } from '../../protocol/user-codec.js';
import { jobKey } from '../../storage/keys.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Clock } from '../../transport/clock.js';
import type { HttpReply } from '../../transport/http-server.js';
import {
  finalJob,
  noSuchJob,
  notAJobId,
  notStarted,
  openJob,
  storeSilent,
  type JobLookup,
} from './job-answers.js';
import type { JobChecks } from './job-checks.js';

/** A poll that waits for a watch sent after it came. */
interface WatchWaiter {
  /** Steady time at which it came. */
  from: number;
  resolve: (fresh: boolean) => void;
  cancelTimer: () => void;
}

/** Answers from the replica where it is fresh enough, and from the state service otherwise. */
export class JobQueries {
  private readonly watching = new Set<WatchWaiter>();

  constructor(
    private readonly replica: StoreReplica,
    private readonly checks: JobChecks,
    private readonly clock: Clock,
  ) {
    replica.onConfirmedCurrent((sentAt) => this.fresh(sentAt));
  }

  /** Answers a user's poll. */
  async poll(id: string): Promise<HttpReply> {
    if (!isJobId(id)) return notAJobId();
    const lookup = await this.newest(id);
    if (lookup.kind === 'unsure') return this.replica.isLoaded ? storeSilent() : notStarted();
    if (lookup.kind === 'absent') return noSuchJob(lookup.proof);
    const { state, done, running } = lookup.job;
    return { status: 200, body: encodeJobView(id, state, done, running) };
  }

  /** What is known of a job that this node has heard of; null: it has not, which proves nothing. */
  heardOf(id: string): Promise<JobLookup | null> {
    const final = this.replica.final(id);
    if (final) return Promise.resolve(finalJob(final));
    // Until the replica is loaded nothing can be accepted, and what ended can only be looked up.
    if (this.replica.isLoaded && !this.replica.get(jobKey(id))) return Promise.resolve(null);
    return this.checks.check(id, POLL_LIMIT_MS);
  }

  /**
   * A job as the state service holds it now. What the replica shows of an open job after a watch that
   * was sent later than the question came is as good as an answer to the question itself, and costs
   * no request; where changes are seldom, or the job is not in the replica, the service is asked.
   */
  private async newest(id: string): Promise<JobLookup> {
    const before = this.replica.final(id);
    if (before) return finalJob(before);
    if (this.replica.isLoaded && this.replica.job(id) && (await this.watched())) {
      const final = this.replica.final(id);
      if (final) return finalJob(final);
      if (this.replica.job(id)) return openJob(this.replica, id);
    }
    return this.checks.check(id, POLL_LIMIT_MS - WATCHED_MS);
  }

  /** True once a watch that is sent from now on is answered; false: not soon. */
  private watched(): Promise<boolean> {
    return new Promise((resolve) => {
      const waiter: WatchWaiter = {
        from: this.clock.now(),
        resolve,
        cancelTimer: () => undefined,
      };
      waiter.cancelTimer = this.clock.after(WATCHED_MS, () => {
        this.watching.delete(waiter);
        resolve(false);
      });
      this.watching.add(waiter);
    });
  }

  /** A watch that was sent at this steady time is answered. */
  private fresh(sentAt: number): void {
    for (const waiter of this.watching) {
      if (waiter.from > sentAt) continue;
      this.watching.delete(waiter);
      waiter.cancelTimer();
      waiter.resolve(true);
    }
  }
}
