/** Commits the chunk records of an assigning round. */
import type { Guard } from '../../protocol/key-value-store.js';
import type { InvalidChangeBackoff } from '../../storage/rejected-change-backoff.js';
import { jobKey } from '../../storage/keys.js';
import type { Log } from '../../storage/log.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { GuardedWriter } from '../election/guarded-writer.js';
import type { NewChunk } from './assignment-factory.js';

/** What the commit of chunks works with. */
export interface ChunkCommitOptions {
  readonly writer: GuardedWriter;
  /** Changes that one transaction may hold. */
  readonly txnOps: number;
  readonly replica: StoreReplica;
  readonly invalidBackoff: InvalidChangeBackoff;
  readonly log: Log;
}

/** The job in the key of a chunk. */
function jobOf({ key }: NewChunk): string {
  return key.split('/').at(-2) ?? '';
}

/** The part in the key of a chunk. */
function partOf({ key }: NewChunk): string {
  return key.split('/').at(-3) ?? '';
}

/** Commits chunks in transactions, in the order of their jobs' turns. */
export class ChunkCommit {
  constructor(private readonly options: ChunkCommitOptions) {}

  /**
   * Commits chunks until a transaction fails; returns the parts that got urgent chunks.
   * `urgentKeys`: keys of the chunks that hold urgent work.
   */
  async run(chunks: readonly NewChunk[], urgentKeys: ReadonlySet<string>): Promise<Set<string>> {
    const { invalidBackoff, log, txnOps, writer } = this.options;
    const urgentParts = new Set<string>();
    for (let start = 0; start < chunks.length;) {
      const end = start + invalidBackoff.together(chunks.slice(start).map(jobOf), txnOps);
      const group = chunks.slice(start, end);
      start = end;
      const jobs = new Set(group.map(jobOf));
      const urgent = group.some((chunk) => urgentKeys.has(chunk.key));
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
        if (result.kind === 'invalid') invalidBackoff.add(job);
        else invalidBackoff.clear(job);
      }
      if (result.kind !== 'done') break;
      // Lower work is assigned ahead of its room: its parts see it with their next look.
      if (urgent) for (const chunk of group) urgentParts.add(partOf(chunk));
    }
    return urgentParts;
  }

  /**
   * Guards that the chunks are new and that their jobs were not cancelled meanwhile. With the role
   * that is at most two guards a change and one more, and a transaction holds four.
   */
  private guardsOf(chunks: readonly NewChunk[], jobs: ReadonlySet<string>): Guard[] {
    const guards: Guard[] = chunks.map(({ key }) => ({ key, revision: 0 }));
    for (const job of jobs) {
      guards.push({ key: jobKey(job), revision: this.options.replica.revisionOf(jobKey(job)) });
    }
    return guards;
  }
}
