/** Commits the chunk records of an assigning round. */
import type { Guard } from '../../protocol/key-value-store.js';
import type { RejectedChangeBackoff } from '../../storage/rejected-change-backoff.js';
import { jobKey } from '../../storage/keys.js';
import type { Log } from '../../storage/log.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { GuardedWriter } from '../election/guarded-writer.js';
import type { NewAssignment } from './assignment-factory.js';

/** What the commit of chunks works with. */
export interface AssignmentCommitOptions {
  readonly writer: GuardedWriter;
  /** Changes that one transaction may hold. */
  readonly transactionOps: number;
  readonly replica: StoreReplica;
  readonly rejectedChangeBackoff: RejectedChangeBackoff;
  readonly log: Log;
}

/** The job in the key of a chunk. */
function jobOf({ key }: NewAssignment): string {
  return key.split('/').at(-2) ?? '';
}

/** The part in the key of a chunk. */
function shardOf({ key }: NewAssignment): string {
  return key.split('/').at(-3) ?? '';
}

/** Commits chunks in transactions, in the order of their jobs' turns. */
export class AssignmentCommit {
  constructor(private readonly options: AssignmentCommitOptions) {}

  /**
   * Commits chunks until a transaction fails; returns the parts that got urgent chunks.
   * `urgentKeys`: keys of the chunks that hold urgent work.
   */
  async run(
    assignments: readonly NewAssignment[],
    urgentKeys: ReadonlySet<string>,
  ): Promise<Set<string>> {
    const { rejectedChangeBackoff, log, transactionOps, writer } = this.options;
    const urgentShards = new Set<string>();
    for (let start = 0; start < assignments.length;) {
      const end =
        start + rejectedChangeBackoff.together(assignments.slice(start).map(jobOf), transactionOps);
      const group = assignments.slice(start, end);
      start = end;
      const jobs = new Set(group.map(jobOf));
      const urgent = group.some((assignment) => urgentKeys.has(assignment.key));
      // A part may use a chunk up and remove it within seconds. A late copy of this transaction must
      // not create it a second time, since its tasks may be in another chunk by then.
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
      // Lower work is assigned ahead of its room: its parts see it with their next look.
      if (urgent) for (const assignment of group) urgentShards.add(shardOf(assignment));
    }
    return urgentShards;
  }

  /**
   * Guards that the chunks are new and that their jobs were not cancelled meanwhile. With the role
   * that is at most two guards a change and one more, and a transaction holds four.
   */
  private guardsOf(assignments: readonly NewAssignment[], jobs: ReadonlySet<string>): Guard[] {
    const guards: Guard[] = assignments.map(({ key }) => ({ key, revision: 0 }));
    for (const job of jobs) {
      guards.push({ key: jobKey(job), revision: this.options.replica.revisionOf(jobKey(job)) });
    }
    return guards;
  }
}
