/** Cancels jobs: the final record takes the place of the job's record in one transaction. */
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

/** What jobs are cancelled with. */
export interface CancellationsOptions {
  replica: StoreReplica;
  checks: JobChecks;
  committer: Committer;
  clock: Clock;
  onCommitted: CommitListener;
}

/** Takes cancellations; none is confirmed before the key-value store holds it. */
export class Cancellations {
  constructor(private readonly options: CancellationsOptions) {}

  /** Cancels a job; the reply says how it ended if it had finished before. */
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

  /** Until the replica is loaded, only jobs that have finished or never existed get an answer. */
  private async cancelWhileLoading(id: string): Promise<HttpReply> {
    const lookup = await this.options.checks.check(id, JOB_CHECK_TIMEOUT_MS);
    if (lookup.kind === 'absent') return noSuchJob(lookup.proof);
    if (lookup.kind === 'found' && lookup.job.isFinal) return stateReply(id, lookup.job.state);
    return stillStarting();
  }

  /** One try, by what the replica holds; null: the replica is newer now, so try again. */
  private async attempt(id: string, deadline: number): Promise<HttpReply | null> {
    const { replica, checks, onCommitted } = this.options;
    const final = replica.final(id);
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

  /** As `attempt`, for a job whose record the replica does not hold. */
  private async cancelWithoutRecord(id: string): Promise<HttpReply | null> {
    const lookup = await this.options.checks.check(id, JOB_CHECK_TIMEOUT_MS);
    if (lookup.kind === 'unknown') return notCommittedInTime();
    if (lookup.kind === 'absent') return noSuchJob(lookup.proof);
    return lookup.job.isFinal ? stateReply(id, lookup.job.state) : null;
  }

  /** Ends the job if its record has this revision still, and no final record is there. */
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
