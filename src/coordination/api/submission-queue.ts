/** Group commit of submissions: those that arrive within a few ms share one transaction. */
import {
  GROUP_COMMIT_DELAY_MS,
  SUBMISSION_OVERHEAD_BYTES,
  COMMIT_TIMEOUT_MS,
  MAX_QUEUED_SUBMISSIONS,
} from '../../constants/api.js';
import { MAX_TRANSACTION_BYTES } from '../../constants/protocol.js';
import type { JobSpec } from '../../protocol/model.js';
import type { Change, Guard } from '../../protocol/key-value-store.js';
import { bytesOf, type CommitResult, type Committer } from '../../storage/committer.js';
import { finalKey, jobKey } from '../../storage/keys.js';
import type { Log } from '../../storage/log.js';
import type { JobRecord } from '../../storage/records.js';
import type { Clock } from '../../transport/clock.js';
import type { CommitListener } from './commit-listener.js';

/**
 * Outcome of a submission. 'exists': there is or was a job with its id; 'unknown': it is not known
 * in time whether the job was committed; 'invalid': the key-value store can't hold the job's
 * record.
 */
export type SubmissionOutcome = 'accepted' | 'exists' | 'unknown' | 'invalid';

/** Dependencies and limits of the queue. */
export interface SubmissionQueueOptions {
  /** Maximum number of changes in one transaction. */
  transactionOps: number;
  committer: Committer;
  clock: Clock;
  log: Log;
  onCommitted: CommitListener;
}

/** A submission that waits for its commit. */
interface Submission {
  spec: JobSpec;
  resolve: (outcome: SubmissionOutcome) => void;
  isResolved: boolean;
  cancelTimer: () => void;
}

/** Queue of submissions that wait for their commit, in order of arrival. */
export class SubmissionQueue {
  private readonly queue: Submission[] = [];
  private isCommitting = false;

  constructor(private readonly options: SubmissionQueueOptions) {}

  /** Whether `MAX_QUEUED_SUBMISSIONS` submissions wait, so that no further one should be added. */
  get isFull(): boolean {
    return this.queue.length >= MAX_QUEUED_SUBMISSIONS;
  }

  /** Returns the size in bytes of the job's record in the key-value store. */
  recordBytes(spec: JobSpec): number {
    return bytesOf(this.recordOf(spec));
  }

  /** Commits a new job; resolves with 'unknown' after `COMMIT_TIMEOUT_MS`. */
  commit(spec: JobSpec): Promise<SubmissionOutcome> {
    const { clock } = this.options;
    return new Promise((resolve) => {
      const cancelTimer = clock.after(COMMIT_TIMEOUT_MS, () => this.resolve(submission, 'unknown'));
      const submission: Submission = { spec, resolve, isResolved: false, cancelTimer };
      this.queue.push(submission);
      if (!this.isCommitting) {
        this.isCommitting = true;
        clock.after(GROUP_COMMIT_DELAY_MS, () => void this.commitAll());
      }
    });
  }

  private recordOf(spec: JobSpec): JobRecord {
    return { spec, at: this.options.clock.wall() };
  }

  private resolve(submission: Submission, outcome: SubmissionOutcome): void {
    if (submission.isResolved) return;
    submission.isResolved = true;
    submission.cancelTimer();
    submission.resolve(outcome);
  }

  private resolveAll(group: Submission[], outcome: SubmissionOutcome): void {
    for (const submission of group) this.resolve(submission, outcome);
  }

  private async commitAll(): Promise<void> {
    try {
      while (this.queue.length > 0) await this.commitGroup(this.takeGroup());
    } catch (error) {
      this.options.log.warn({ error: String(error) }, 'group commit of submissions failed');
    } finally {
      this.isCommitting = false;
    }
  }

  /**
   * Removes and returns the submissions for one transaction, within `transactionOps` changes and
   * `MAX_TRANSACTION_BYTES`. Each id occurs once; a repeated id ends the group.
   */
  private takeGroup(): Submission[] {
    const group: Submission[] = [];
    const ids = new Set<string>();
    let bytes = 0;
    while (group.length < this.options.transactionOps) {
      const next = this.queue[0];
      if (!next || ids.has(next.spec.id)) break;
      bytes += this.recordBytes(next.spec) + SUBMISSION_OVERHEAD_BYTES;
      if (group.length > 0 && bytes > MAX_TRANSACTION_BYTES) break;
      this.queue.shift();
      if (next.isResolved) continue;
      ids.add(next.spec.id);
      group.push(next);
    }
    return group;
  }

  private async commitGroup(group: Submission[]): Promise<void> {
    let remaining = group;
    while (remaining.length > 0) {
      const result = await this.tryCommit(remaining);
      if (result.kind !== 'conflict') return this.resolveByResult(remaining, result);
      remaining = this.withoutExistingJobs(remaining, new Set(result.failed));
    }
  }

  /** Sends a transaction that creates all jobs of the group if none of them exists or existed. */
  private tryCommit(group: Submission[]): Promise<CommitResult> {
    const guards: Guard[] = [];
    const changes: Change[] = [];
    for (const { spec } of group) {
      guards.push({ key: jobKey(spec.id), revision: 0 }, { key: finalKey(spec.id), revision: 0 });
      changes.push({ key: jobKey(spec.id), value: this.recordOf(spec) });
    }
    const isStillWanted = (): boolean => group.some((submission) => !submission.isResolved);
    return this.options.committer.commit('submit', guards, changes, isStillWanted);
  }

  /** Resolves the submissions of a group by the result of their transaction. */
  private async resolveByResult(group: Submission[], result: CommitResult): Promise<void> {
    if (result.kind === 'done') {
      this.resolveAll(group, 'accepted');
      this.options.onCommitted(group.map((submission) => submission.spec.id));
    } else if (result.kind !== 'rejected') {
      this.resolveAll(group, 'unknown');
    } else if (group.length > 1) {
      // One invalid job must not make the others fail, so each is committed on its own.
      for (const submission of group) await this.commitGroup([submission]);
    } else {
      this.resolveAll(group, result.mayCommitLater ? 'unknown' : 'invalid');
    }
  }

  /**
   * Resolves the submissions whose jobs exist, and returns those that are left to commit. `failed`:
   * the keys whose guards failed in the transaction of the group.
   */
  private withoutExistingJobs(group: Submission[], failed: Set<string>): Submission[] {
    const exists = ({ spec }: Submission): boolean =>
      failed.has(jobKey(spec.id)) || failed.has(finalKey(spec.id));
    const existing = group.filter(exists);
    this.resolveAll(existing, 'exists');
    const remaining = group.filter((submission) => !exists(submission) && !submission.isResolved);
    if (existing.length > 0) return remaining;
    // No failed key belongs to these jobs, so the cause of the conflict is unknown.
    this.resolveAll(remaining, 'unknown');
    return [];
  }
}
