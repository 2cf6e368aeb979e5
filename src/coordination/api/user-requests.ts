/** Serves users' requests with the handlers of submissions, polls and cancellations. */
import type { Team } from '../../protocol/settings.js';
import type { KeyValueStore } from '../../protocol/key-value-store.js';
import type { Committer } from '../../storage/committer.js';
import type { Log } from '../../storage/log.js';
import type { RateLimiter } from '../../storage/rate-limiter.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Clock } from '../../transport/clock.js';
import type { HttpReply } from '../../transport/http-server.js';
import { Cancellations } from './cancellations.js';
import type { CommitListener } from './commit-listener.js';
import { JobChecks } from './job-checks.js';
import { JobQueries } from './job-queries.js';
import { SubmissionQueue } from './submission-queue.js';
import { Submissions } from './submissions.js';

/** Dependencies and limits of users' requests. */
export interface UserRequestsOptions {
  teams: readonly Team[];
  /** Maximum number of changes in one transaction. */
  transactionOps: number;
  /** Largest size in bytes of a job's record in the key-value store. */
  valueBytes: number;
  /**
   * Time in ms between two transactions that check jobs. Checks that arrive in between share the
   * later one.
   */
  checkIntervalMs: number;
  replica: StoreReplica;
  keyValueStore: KeyValueStore;
  limiter: RateLimiter;
  committer: Committer;
  clock: Clock;
  log: Log;
  onCommitted: CommitListener;
}

/** Serves users' requests. No change is confirmed before it is committed to the key-value store. */
export class UserRequests {
  /** Number of replies to submissions by HTTP status, for the log of requests. */
  readonly submissionReplyCounts = new Map<number, number>();
  private readonly replica: StoreReplica;
  private readonly submissions: Submissions;
  private readonly queries: JobQueries;
  private readonly cancellations: Cancellations;

  constructor(options: UserRequestsOptions) {
    this.replica = options.replica;
    const checks = new JobChecks(options);
    this.queries = new JobQueries(options.replica, checks, options.clock);
    const queue = new SubmissionQueue(options);
    this.submissions = new Submissions({ ...options, checks, queries: this.queries, queue });
    this.cancellations = new Cancellations({ ...options, checks });
  }

  /** Whether the replica is loaded, so that requests can be answered. */
  get isReady(): boolean {
    return this.replica.isLoaded;
  }

  /** Answers a submission. `text`: its body; null: the body was longer than the limit. */
  async submit(text: string | null): Promise<HttpReply> {
    const reply = await this.submissions.submit(text);
    this.submissionReplyCounts.set(
      reply.status,
      (this.submissionReplyCounts.get(reply.status) ?? 0) + 1,
    );
    return reply;
  }

  /** Answers a poll for the state of a job. */
  poll(id: string): Promise<HttpReply> {
    return this.queries.poll(id);
  }

  /** Cancels a job. */
  cancel(id: string): Promise<HttpReply> {
    return this.cancellations.cancel(id);
  }
}
