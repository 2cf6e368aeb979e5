/** Group commit of submissions: those that come within a few ms share one transaction. */
import {
  GROUP_COMMIT_MS,
  SUBMIT_BYTES,
  SUBMIT_LIMIT_MS,
  SUBMIT_QUEUE,
} from '../../constants/api.js';
import { TRANSACTION_BYTES } from '../../constants/protocol.js';
import type { JobSpec } from '../../protocol/model.js';
import type { Change, Guard } from '../../protocol/key-value-store.js';
import { bytesOf, type CommitResult, type Committer } from '../../storage/committer.js';
import { finalKey, jobKey } from '../../storage/keys.js';
import type { Log } from '../../storage/log.js';
import type { JobRecord } from '../../storage/records.js';
import type { Clock } from '../../transport/clock.js';
import type { CommitListener } from './job-answers.js';

/**
 * What became of a submission: 'known': there is or was a job with its id; 'unsure': not known in
 * time whether it was committed; 'invalid': the state service can't hold it.
 */
export type SubmissionOutcome = 'accepted' | 'known' | 'unsure' | 'invalid';

/** What the queue commits with. */
export interface SubmissionQueueOptions {
  /** Changes that one transaction may hold. */
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
  settled: boolean;
  cancelTimer: () => void;
}

/** Submissions on their way to the state service, in the order in which they came. */
export class SubmissionQueue {
  private readonly waiting: Submission[] = [];
  private committing = false;

  constructor(private readonly options: SubmissionQueueOptions) {}

  /** No further submission should be put in. */
  get full(): boolean {
    return this.waiting.length >= SUBMIT_QUEUE;
  }

  /** Bytes that the job's record takes in the state service. */
  recordBytes(spec: JobSpec): number {
    return bytesOf(this.recordOf(spec));
  }

  /** Commits a new job; resolves with 'unsure' when that takes too long. */
  commit(spec: JobSpec): Promise<SubmissionOutcome> {
    const { clock } = this.options;
    return new Promise((resolve) => {
      const cancelTimer = clock.after(SUBMIT_LIMIT_MS, () => this.settle(submission, 'unsure'));
      const submission: Submission = { spec, resolve, settled: false, cancelTimer };
      this.waiting.push(submission);
      if (!this.committing) {
        this.committing = true;
        clock.after(GROUP_COMMIT_MS, () => void this.commitAll());
      }
    });
  }

  private recordOf(spec: JobSpec): JobRecord {
    return { spec, at: this.options.clock.wall() };
  }

  private settle(submission: Submission, outcome: SubmissionOutcome): void {
    if (submission.settled) return;
    submission.settled = true;
    submission.cancelTimer();
    submission.resolve(outcome);
  }

  private settleAll(group: Submission[], outcome: SubmissionOutcome): void {
    for (const submission of group) this.settle(submission, outcome);
  }

  private async commitAll(): Promise<void> {
    try {
      while (this.waiting.length > 0) await this.commitGroup(this.nextGroup());
    } catch (error) {
      this.options.log.warn({ error: String(error) }, 'submissions not committed');
    } finally {
      this.committing = false;
    }
  }

  /** Takes out what one transaction may hold; an id comes once, its repeats with the next group. */
  private nextGroup(): Submission[] {
    const group: Submission[] = [];
    const ids = new Set<string>();
    let bytes = 0;
    while (group.length < this.options.transactionOps) {
      const next = this.waiting[0];
      if (!next || ids.has(next.spec.id)) break;
      bytes += this.recordBytes(next.spec) + SUBMIT_BYTES;
      if (group.length > 0 && bytes > TRANSACTION_BYTES) break;
      this.waiting.shift();
      if (next.settled) continue;
      ids.add(next.spec.id);
      group.push(next);
    }
    return group;
  }

  private async commitGroup(group: Submission[]): Promise<void> {
    let remaining = group;
    while (remaining.length > 0) {
      const result = await this.tryCommit(remaining);
      if (result.kind !== 'conflict') return this.conclude(remaining, result);
      remaining = this.withoutKnown(remaining, new Set(result.failed));
    }
  }

  /** One transaction that creates all jobs of the group, if none of them is or was there. */
  private tryCommit(group: Submission[]): Promise<CommitResult> {
    const guards: Guard[] = [];
    const changes: Change[] = [];
    for (const { spec } of group) {
      guards.push({ key: jobKey(spec.id), revision: 0 }, { key: finalKey(spec.id), revision: 0 });
      changes.push({ key: jobKey(spec.id), value: this.recordOf(spec) });
    }
    const wanted = (): boolean => group.some((one) => !one.settled);
    return this.options.committer.commit('submit', guards, changes, wanted);
  }

  /** Tells the users of a group how its transaction ended. */
  private async conclude(group: Submission[], result: CommitResult): Promise<void> {
    if (result.kind === 'done') {
      this.settleAll(group, 'accepted');
      this.options.onCommitted(group.map((one) => one.spec.id));
    } else if (result.kind !== 'rejected') {
      this.settleAll(group, 'unsure');
    } else if (group.length > 1) {
      // One job must not take the others down: each is tried on its own, and then told.
      for (const one of group) await this.commitGroup([one]);
    } else {
      this.settleAll(group, result.mayCommitLater ? 'unsure' : 'invalid');
    }
  }

  /** What is left to commit of a group after these keys were found otherwise than its guards say. */
  private withoutKnown(group: Submission[], failed: Set<string>): Submission[] {
    const isKnown = ({ spec }: Submission): boolean =>
      failed.has(jobKey(spec.id)) || failed.has(finalKey(spec.id));
    const known = group.filter(isKnown);
    this.settleAll(known, 'known');
    const remaining = group.filter((one) => !isKnown(one) && !one.settled);
    if (known.length > 0) return remaining;
    // Refused for no reason that these jobs give.
    this.settleAll(remaining, 'unsure');
    return [];
  }
}
