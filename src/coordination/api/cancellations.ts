/** Cancels jobs: one transaction removes the job's record and creates its final record. */
import { JOB_CHECK_TIMEOUT_MS, COMMIT_TIMEOUT_MS } from '../../constants/api.js';
import { isJobId } from '../../protocol/user-codec.js';
import type { CommitResult, Committer } from '../../storage/committer.js';
import { finalKey, jobKey } from '../../storage/keys.js';
import type { FinalRecord, JobRecord } from '../../storage/records.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Clock } from '../../transport/clock.js';
import type { HttpReply } from '../../transport/http-server.js';
import type { CommitListener } from './commit-listener.js';
import {
  noSuchJob,
  invalidJobId,
  notCommittedInTime,
  stillStarting,
  stateReply,
} from './http-replies.js';
import type { JobChecks } from './job-checks.js';

/** Dependencies of cancellations. */
export interface CancellationsOptions {
  replica: StoreReplica;
  checks: JobChecks;
  committer: Committer;
  clock: Clock;
  onCommitted: CommitListener;
}

/** Handles cancellations; none is confirmed before it is committed to the key-value store. */
export class Cancellations {
  constructor(private readonly options: CancellationsOptions) {}

  /** Cancels a job; the reply has the job's final state if it had finished before. */
  async cancel(id: string): Promise<HttpReply> {
    const { replica, clock } = this.options;
    if (!isJobId(id)) return invalidJobId();
    if (!replica.isLoaded) return this.cancelWhileLoading(id);
    const deadline = clock.now() + COMMIT_TIMEOUT_MS;
    while (clock.now() < deadline) {
      const reply = await this.attempt(id, deadline);
      if (reply) return reply;
    }
    return notCommittedInTime();
  }

  /**
   * Answers a cancellation while the replica is being loaded. Jobs that have finished or never
   * existed get a final reply; for all others the reply is 503, and the user tries again.
   */
  private async cancelWhileLoading(id: string): Promise<HttpReply> {
    const lookup = await this.options.checks.check(id, JOB_CHECK_TIMEOUT_MS);
    if (lookup.kind === 'absent') return noSuchJob(lookup.proof);
    if (lookup.kind === 'found' && lookup.job.isFinal) return stateReply(id, lookup.job.state);
    return stillStarting();
  }

  /** Tries to cancel a job as the replica holds it; null: the replica was outdated, try again. */
  private async attempt(id: string, deadline: number): Promise<HttpReply | null> {
    const { replica, checks, onCommitted } = this.options;
    const final = replica.finalRecord(id);
    if (final) return stateReply(id, final.state);
    const stored = replica.get<JobRecord>(jobKey(id));
    if (!stored) return this.cancelWithoutRecord(id);
    const { tasks } = stored.value.spec;
    const result = await this.commit(id, stored.revision, tasks, deadline);
    if (result.kind === 'done') {
      onCommitted([id], { tasks });
      return stateReply(id, 'cancelled');
    }
    if (result.kind === 'abandoned' || result.kind === 'rejected') return notCommittedInTime();
    const lookup = await checks.check(id, JOB_CHECK_TIMEOUT_MS);
    if (lookup.kind === 'absent') return noSuchJob(lookup.proof);
    if (lookup.kind === 'found' && lookup.job.isFinal) return stateReply(id, lookup.job.state);
    return null;
  }

  /**
   * Answers the cancellation of a job whose record the replica does not hold, after a check with
   * the key-value store. Null: the job is open, so the cancellation is attempted again.
   */
  private async cancelWithoutRecord(id: string): Promise<HttpReply | null> {
    const lookup = await this.options.checks.check(id, JOB_CHECK_TIMEOUT_MS);
    if (lookup.kind === 'unknown') return notCommittedInTime();
    if (lookup.kind === 'absent') return noSuchJob(lookup.proof);
    return lookup.job.isFinal ? stateReply(id, lookup.job.state) : null;
  }

  /** Commits the cancellation if the job's record has this revision and no final record exists. */
  private commit(
    id: string,
    revision: number,
    tasks: number,
    deadline: number,
  ): Promise<CommitResult> {
    const { committer, clock } = this.options;
    const final: FinalRecord = { state: 'cancelled', tasks };
    const guards = [
      { key: jobKey(id), revision },
      { key: finalKey(id), revision: 0 },
    ];
    const changes = [
      { key: jobKey(id), remove: true as const },
      { key: finalKey(id), value: final },
    ];
    return committer.commit('cancel', guards, changes, () => clock.now() < deadline);
  }
}
