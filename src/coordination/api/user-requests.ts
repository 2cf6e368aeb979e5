/** Users' requests as a whole: builds the handlers of submissions, polls and cancellations. */
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

/** What users' requests are served with. */
export interface UserRequestsOptions {
  teams: readonly Team[];
  /** Changes that one transaction may hold. */
  transactionOps: number;
  /** Bytes that the key-value store takes for one job's record. */
  valueBytes: number;
  /** ms between two checking transactions: what comes meanwhile shares the next. */
  checkMs: number;
  replica: StoreReplica;
  keyValueStore: KeyValueStore;
  limiter: RateLimiter;
  committer: Committer;
  clock: Clock;
  log: Log;
  onCommitted: CommitListener;
}

/** Serves users. No change is confirmed before the key-value store holds it. */
export class UserRequests {
  /** Number of replies to submissions by status, for the log of requests. */
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

  /** The replica is loaded, so that requests can be answered. */
  get isReady(): boolean {
    return this.replica.isLoaded;
  }

  /** Answers a submission with this body; null: the body was too long to be read. */
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
