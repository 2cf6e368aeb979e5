/** Commits the assignment records of a scheduling cycle to the key-value store. */
import type { Guard } from '../../protocol/key-value-store.js';
import type { RejectedChangeBackoff } from '../../storage/rejected-change-backoff.js';
import { jobKey } from '../../storage/keys.js';
import type { Log } from '../../storage/log.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { GuardedWriter } from '../election/guarded-writer.js';
import type { NewAssignment } from './assignment-factory.js';

/** Dependencies of the commit of assignments. */
export interface AssignmentCommitOptions {
  readonly writer: GuardedWriter;
  /** Maximum number of changes in one transaction. */
  readonly transactionOps: number;
  readonly replica: StoreReplica;
  readonly rejectedChangeBackoff: RejectedChangeBackoff;
  readonly log: Log;
}

/** Returns the job of an assignment, read from its key. */
function jobOf({ key }: NewAssignment): string {
  return key.split('/').at(-2) ?? '';
}

/** Returns the shard of an assignment, read from its key. */
function shardOf({ key }: NewAssignment): string {
  return key.split('/').at(-3) ?? '';
}

/** Commits assignments in transactions, in the scheduling order of their jobs. */
export class AssignmentCommit {
  constructor(private readonly options: AssignmentCommitOptions) {}

  /**
   * Commits assignments until a transaction ends without a confirmed commit. `urgentAssignmentKeys`
   * contains the keys of the assignments of urgent work and of gangs. A transaction with at least
   * one such key is urgent. Returns the shards with an assignment in an urgent transaction.
   */
  async run(
    assignments: readonly NewAssignment[],
    urgentAssignmentKeys: ReadonlySet<string>,
  ): Promise<Set<string>> {
    const { rejectedChangeBackoff, log, transactionOps, writer } = this.options;
    const urgentShards = new Set<string>();
    for (let start = 0; start < assignments.length;) {
      const end =
        start +
        rejectedChangeBackoff.batchSize(assignments.slice(start).map(jobOf), transactionOps);
      const group = assignments.slice(start, end);
      start = end;
      const jobs = new Set(group.map(jobOf));
      const urgent = group.some((assignment) => urgentAssignmentKeys.has(assignment.key));
      // A shard may finish an assignment and remove its record within seconds. A delayed duplicate
      // of this transaction must not create the record again, because its tasks may be in another
      // assignment by then. The last argument, `mustNotRepeat`, prevents that.
      const result = await writer.commit(
        urgent ? 'urgent' : 'leader',
        this.guardsOf(group, jobs),
        group,
        true,
      );
      log.debug({ jobs: [...jobs], result: result.kind }, 'assignment transaction finished');
      for (const job of jobs) {
        if (result.kind === 'rejected') rejectedChangeBackoff.recordRejection(job);
        else rejectedChangeBackoff.clear(job);
      }
      if (result.kind !== 'done') break;
      // Only the shards of urgent transactions are returned. Other work is assigned before capacity
      // is free, so it is early enough if its shards read it in their next scheduling cycle.
      if (urgent) for (const assignment of group) urgentShards.add(shardOf(assignment));
    }
    return urgentShards;
  }

  /**
   * Returns guards that require each assignment to be new and each job's record to be unchanged, so
   * that no task of a job cancelled meanwhile is assigned. Together with the guard on the leader
   * role these are at most two guards per change plus one. The key-value store accepts four per
   * change.
   */
  private guardsOf(assignments: readonly NewAssignment[], jobs: ReadonlySet<string>): Guard[] {
    const guards: Guard[] = assignments.map(({ key }) => ({ key, revision: 0 }));
    for (const job of jobs) {
      guards.push({ key: jobKey(job), revision: this.options.replica.revisionOf(jobKey(job)) });
    }
    return guards;
  }
}
