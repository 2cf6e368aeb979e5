/** Cancels jobs: the final record takes the place of the job's record in one transaction. */
import { POLL_LIMIT_MS, SUBMIT_LIMIT_MS } from '../../constants/api.js';
import { isJobId } from '../../protocol/user-codec.js';
import type { CommitResult, Committer } from '../../storage/committer.js';
import { finalKey, jobKey } from '../../storage/keys.js';
import type { FinalRecord, JobRecord } from '../../storage/records.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Clock } from '../../transport/clock.js';
import type { HttpReply } from '../../transport/http-server.js';
import {
  noSuchJob,
  notAJobId,
  notCommitted,
  notStarted,
  stateReply,
  type CommitListener,
} from './job-answers.js';
import type { JobChecks } from './job-checks.js';

/** What jobs are cancelled with. */
export interface CancellationsOptions {
  replica: StoreReplica;
  checks: JobChecks;
  committer: Committer;
  clock: Clock;
  onCommitted: CommitListener;
}

/** Takes cancellations; none is confirmed before the state service holds it. */
export class Cancellations {
  constructor(private readonly options: CancellationsOptions) {}

  /** Cancels a job; the reply tells how it ended if it was over before. */
  async cancel(id: string): Promise<HttpReply> {
    const { replica, clock } = this.options;
    if (!isJobId(id)) return notAJobId();
    if (!replica.isLoaded) return this.whileLoading(id);
    const deadline = clock.now() + SUBMIT_LIMIT_MS;
    while (clock.now() < deadline) {
      const reply = await this.attempt(id, deadline);
      if (reply) return reply;
    }
    return notCommitted();
  }

  /** What has ended or never was can be told before the replica is loaded. */
  private async whileLoading(id: string): Promise<HttpReply> {
    const lookup = await this.options.checks.check(id, POLL_LIMIT_MS);
    if (lookup.kind === 'absent') return noSuchJob(lookup.proof);
    if (lookup.kind === 'found' && lookup.job.final) return stateReply(id, lookup.job.state);
    return notStarted();
  }

  /** One try, by what the replica holds; null: the replica is newer now, so try again. */
  private async attempt(id: string, deadline: number): Promise<HttpReply | null> {
    const { replica, checks, onCommitted } = this.options;
    const final = replica.final(id);
    if (final) return stateReply(id, final.state);
    const held = replica.get<JobRecord>(jobKey(id));
    if (!held) return this.withoutRecord(id);
    const { tasks } = held.value.spec;
    const result = await this.commit(id, held.revision, tasks, deadline);
    if (result.kind === 'done') {
      onCommitted([id], { tasks });
      return stateReply(id, 'cancelled');
    }
    if (result.kind === 'abandoned' || result.kind === 'rejected') return notCommitted();
    const lookup = await checks.check(id, POLL_LIMIT_MS);
    if (lookup.kind === 'absent') return noSuchJob(lookup.proof);
    if (lookup.kind === 'found' && lookup.job.final) return stateReply(id, lookup.job.state);
    return null;
  }

  /** As `attempt`, for a job whose record the replica does not hold. */
  private async withoutRecord(id: string): Promise<HttpReply | null> {
    const lookup = await this.options.checks.check(id, POLL_LIMIT_MS);
    if (lookup.kind === 'unsure') return notCommitted();
    if (lookup.kind === 'absent') return noSuchJob(lookup.proof);
    return lookup.job.final ? stateReply(id, lookup.job.state) : null;
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
