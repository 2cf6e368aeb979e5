/** Writes the records of a shard that only its holder writes, apart from assignments. */
import type { Change, Guard } from '../../protocol/key-value-store.js';
import type { Clock } from '../../transport/clock.js';
import type { Committer } from '../../storage/committer.js';
import { RejectedChangeBackoff } from '../../storage/rejected-change-backoff.js';
import type { StoreReplica } from '../../storage/store-replica.js';

/** The role and its revision, which guard the holder's writes. */
export interface HolderOptions {
  roleKey: string;
  roleRevision: number;
  /** Whether this controller still holds the shard, according to the replica. */
  isHolder: () => boolean;
}

/** The services that `HolderRecords` uses. */
export interface HolderRecordsServices {
  readonly replica: StoreReplica;
  readonly committer: Committer;
  readonly clock: Clock;
}

/** Commits records in transactions that are guarded by the shard's role. */
export class HolderRecords {
  private readonly rejected: RejectedChangeBackoff;

  constructor(
    private readonly options: HolderOptions,
    private readonly services: HolderRecordsServices,
  ) {
    this.rejected = new RejectedChangeBackoff(services.clock);
  }

  /** Whether changes of this key are paused because the store rejected one recently. */
  isRejected(key: string): boolean {
    return this.rejected.isPaused(key);
  }

  /**
   * Commits changes; returns whether they were committed. If the store rejects the transaction,
   * further changes of its keys are paused.
   */
  async write(purpose: 'status' | 'part', changes: Change[]): Promise<boolean> {
    const { committer, replica } = this.services;
    const { roleKey, roleRevision, isHolder } = this.options;
    const guards: Guard[] = [{ key: roleKey, revision: roleRevision }];
    for (const { key } of changes) guards.push({ key, revision: replica.revisionOf(key) });
    const result = await committer.commit(purpose, guards, changes, isHolder);
    for (const { key } of changes) {
      if (result.kind === 'rejected') this.rejected.recordRejection(key);
      else this.rejected.clear(key);
    }
    return result.kind === 'done';
  }
}
