/** Writes the records of a shard that only its holder writes, beside its assignments. */
import type { Change, Guard } from '../../protocol/key-value-store.js';
import type { Clock } from '../../transport/clock.js';
import type { Committer } from '../../storage/committer.js';
import { RejectedChangeBackoff } from '../../storage/rejected-change-backoff.js';
import type { StoreReplica } from '../../storage/store-replica.js';

/** The holder's identity, which guards its writes. */
export interface HolderOptions {
  roleKey: string;
  roleRevision: number;
  /** Whether it still holds the shard, as far as the replica knows. */
  isHolder: () => boolean;
}

/** The services that such writes use. */
export interface HolderRecordsServices {
  readonly replica: StoreReplica;
  readonly committer: Committer;
  readonly clock: Clock;
}

/** Commits records under the guard of the holder's role. */
export class HolderRecords {
  private readonly rejected: RejectedChangeBackoff;

  constructor(
    private readonly options: HolderOptions,
    private readonly services: HolderRecordsServices,
  ) {
    this.rejected = new RejectedChangeBackoff(services.clock);
  }

  /** Whether the store called a change of this key invalid a while ago, so that it must wait. */
  isRejected(key: string): boolean {
    return this.rejected.has(key);
  }

  /** False: not written; what the store calls invalid is left alone for a while. */
  async write(purpose: 'status' | 'part', changes: Change[]): Promise<boolean> {
    const { committer, replica } = this.services;
    const { roleKey, roleRevision, isHolder } = this.options;
    const guards: Guard[] = [{ key: roleKey, revision: roleRevision }];
    for (const { key } of changes) guards.push({ key, revision: replica.revisionOf(key) });
    const result = await committer.commit(purpose, guards, changes, isHolder);
    for (const { key } of changes) {
      if (result.kind === 'rejected') this.rejected.add(key);
      else this.rejected.clear(key);
    }
    return result.kind === 'done';
  }
}
