/** Commits the assignment records of a scheduling cycle. */
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
  /** Limit of changes in one transaction. */
  readonly transactionOps: number;
  readonly replica: StoreReplica;
  readonly rejectedChangeBackoff: RejectedChangeBackoff;
  readonly log: Log;
}

/** Job of an assignment, from its key. */
function jobOf({ key }: NewAssignment): string {
  return key.split('/').at(-2) ?? '';
}

/** Shard of an assignment, from its key. */
function shardOf({ key }: NewAssignment): string {
  return key.split('/').at(-3) ?? '';
}

/** Commits assignments in transactions, in the scheduling order of their jobs. */
export class AssignmentCommit {
  constructor(private readonly options: AssignmentCommitOptions) {}

  /**
   * Commits assignments until a transaction fails; returns the shards with new urgent assignments.
   * `urgentKeys`: keys of the assignments of urgent work.
   */
  async run(
    assignments: readonly NewAssignment[],
    urgentAssignmentKeys: ReadonlySet<string>,
  ): Promise<Set<string>> {
    const { rejectedChangeBackoff, log, transactionOps, writer } = this.options;
    const urgentShards = new Set<string>();
    for (let start = 0; start < assignments.length;) {
      const end =
        start + rejectedChangeBackoff.together(assignments.slice(start).map(jobOf), transactionOps);
      const group = assignments.slice(start, end);
      start = end;
      const jobs = new Set(group.map(jobOf));
      const urgent = group.some((assignment) => urgentAssignmentKeys.has(assignment.key));
      // A shard may finish an assignment and remove its record within seconds. A delayed duplicate
      // of this transaction must not create it again: its tasks may be in another assignment by
      // then.
      const result = await writer.commit(
        urgent ? 'urgent' : 'leader',
        this.guardsOf(group, jobs),
        group,
        true,
      );
      log.debug({ jobs: [...jobs], result: result.kind }, 'tasks assigned');
      for (const job of jobs) {
        if (result.kind === 'rejected') rejectedChangeBackoff.add(job);
        else rejectedChangeBackoff.clear(job);
      }
      if (result.kind !== 'done') break;
      // Non-urgent work is assigned ahead of free capacity: its shards read it in their next pass.
      if (urgent) for (const assignment of group) urgentShards.add(shardOf(assignment));
    }
    return urgentShards;
  }

  /**
   * Conditions: the assignments are new, and their jobs were not cancelled meanwhile. With the one
   * on the role that is at most two conditions per change plus one; a transaction may hold four.
   */
  private guardsOf(assignments: readonly NewAssignment[], jobs: ReadonlySet<string>): Guard[] {
    const guards: Guard[] = assignments.map(({ key }) => ({ key, revision: 0 }));
    for (const job of jobs) {
      guards.push({ key: jobKey(job), revision: this.options.replica.revisionOf(jobKey(job)) });
    }
    return guards;
  }
}
