/** Writes to the key-value store that succeed only while this process holds a role. */

import type { CommitResult, Committer } from '../../storage/committer.js';
import type { Purpose } from '../../storage/rate-limiter.js';
import type { RoleRecord } from '../../storage/records.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Change, Guard } from '../../protocol/key-value-store.js';

/**
 * Adds a guard on the held role's key to every transaction. Rewriting that key with the same value
 * raises its revision, so all earlier transactions of this holder that the store has not executed
 * yet fail.
 */
export class GuardedWriter {
  constructor(
    private readonly key: string,
    private readonly replica: StoreReplica,
    private readonly committer: Committer,
    /** Returns whether this process still holds the role, as far as the replica shows. */
    readonly isStillHolder: () => boolean,
  ) {}

  private roleGuard(): Guard {
    return { key: this.key, revision: this.replica.revisionOf(this.key) };
  }

  /**
   * Commits a transaction on behalf of the role. `mustNotRepeat` is for records that may be removed
   * soon after the transaction created them: a copy of the transaction that got no response could
   * create them a second time, so the copy is invalidated before the transaction is retried.
   */
  async commit(
    purpose: Purpose,
    guards: Guard[],
    changes: Change[],
    mustNotRepeat = false,
  ): Promise<CommitResult> {
    for (;;) {
      if (!this.isStillHolder()) return { kind: 'abandoned', mayCommitLater: false };
      const allGuards = [this.roleGuard(), ...guards];
      const result = mustNotRepeat
        ? await this.committer.commitOnce(
            { purpose, guards: allGuards, changes },
            this.isStillHolder,
            () => this.rewriteRoleKey(),
          )
        : await this.committer.commit(purpose, allGuards, changes, this.isStillHolder);
      // If only the guard on the role's key failed while the role is still held, the key was merely
      // rewritten in the meantime, so the transaction is retried with the new revision.
      const shouldRetry =
        result.kind === 'neverCommitted' ||
        (result.kind === 'conflict' && result.failed.length === 1 && result.failed[0] === this.key);
      if (!shouldRetry || !this.isStillHolder()) return result;
    }
  }

  /** Rewrites the role's key with the same value. Returns false if this process lost the role. */
  private async rewriteRoleKey(): Promise<boolean> {
    const before = this.replica.get<RoleRecord>(this.key);
    if (!before || !this.isStillHolder()) return false;
    await this.committer.commit(
      'role',
      [this.roleGuard()],
      [{ key: this.key, value: before.value }],
      this.isStillHolder,
    );
    return this.isStillHolder() && this.replica.revisionOf(this.key) > before.revision;
  }
}
