/** Replaces the records of completed jobs by their final records. */
import type { Change, Guard } from '../../protocol/key-value-store.js';
import type { RejectedChangeBackoff } from '../../storage/rejected-change-backoff.js';
import { finalKey, jobKey } from '../../storage/keys.js';
import type { Log } from '../../storage/log.js';
import type { FinalRecord, JobRecord } from '../../storage/records.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { GuardedWriter } from '../election/guarded-writer.js';
import { doneTasksToComplete, type CapacityAccounting } from '../capacity/capacity-accounting.js';

/** Dependencies of the completion of jobs. */
export interface JobCompletionOptions {
  readonly writer: GuardedWriter;
  /** Maximum number of changes in one transaction. */
  readonly transactionOps: number;
  readonly replica: StoreReplica;
  readonly accounting: CapacityAccounting;
  readonly rejectedChangeBackoff: RejectedChangeBackoff;
  readonly log: Log;
}

/** A completed job, with the revision of its record. */
interface CompletedJob {
  readonly id: string;
  readonly revision: number;
  readonly tasks: number;
}

/** Changes per completed job: one removes its record, one writes its final record. */
const CHANGES_PER_JOB = 2;

function completionOf(jobs: readonly CompletedJob[]): { guards: Guard[]; changes: Change[] } {
  const guards: Guard[] = [];
  const changes: Change[] = [];
  for (const { id, revision, tasks } of jobs) {
    const value: FinalRecord = { state: 'done', tasks };
    guards.push({ key: jobKey(id), revision });
    changes.push({ key: jobKey(id), remove: true }, { key: finalKey(id), value });
  }
  return { guards, changes };
}

/**
 * Completes jobs, several in one transaction. The transaction commits only if the records of all
 * its jobs are unchanged.
 */
export class JobCompletion {
  private readonly jobsPerTransaction: number;

  constructor(private readonly options: JobCompletionOptions) {
    this.jobsPerTransaction = Math.max(1, Math.floor(options.transactionOps / CHANGES_PER_JOB));
  }

  /**
   * Completes the jobs whose tasks are done. Stops early if a transaction is abandoned because this
   * controller no longer holds the leader role.
   */
  async run(): Promise<void> {
    const { rejectedChangeBackoff, log, writer } = this.options;
    const completed = this.completedJobs();
    for (let start = 0; start < completed.length;) {
      const ids = completed.slice(start).map((job) => job.id);
      const end = start + rejectedChangeBackoff.batchSize(ids, this.jobsPerTransaction);
      const group = completed.slice(start, end);
      start = end;
      const { guards, changes } = completionOf(group);
      const result = await writer.commit('leader', guards, changes);
      log.info(
        { jobs: group.map((job) => job.id), result: result.kind },
        'job completion transaction finished',
      );
      if (result.kind === 'abandoned') return;
      for (const { id } of group) {
        if (result.kind === 'rejected') rejectedChangeBackoff.recordRejection(id);
        else rejectedChangeBackoff.clear(id);
      }
    }
  }

  /**
   * Returns the jobs among the completion candidates that have enough done tasks, and removes the
   * others from the candidates. Jobs that are paused because the key-value store rejected their
   * last assignment or completion are not returned, but stay candidates.
   */
  private completedJobs(): CompletedJob[] {
    const { rejectedChangeBackoff, accounting, replica } = this.options;
    const completed: CompletedJob[] = [];
    for (const id of accounting.completionCandidates) {
      if (rejectedChangeBackoff.isPaused(id)) continue;
      const versioned = replica.get<JobRecord>(jobKey(id));
      const done = accounting.jobs.get(id)?.done ?? 0;
      if (versioned && done >= doneTasksToComplete(versioned.value.spec)) {
        completed.push({ id, revision: versioned.revision, tasks: versioned.value.spec.tasks });
      } else {
        accounting.completionCandidates.delete(id);
      }
    }
    return completed;
  }
}
