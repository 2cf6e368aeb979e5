/** Writes to the key-value store on behalf of a role. */

import type { CommitResult, Committer } from '../../storage/committer.js';
import type { Purpose } from '../../storage/rate-limiter.js';
import type { RoleRecord } from '../../storage/records.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Change, Guard } from '../../protocol/key-value-store.js';

/**
 * Guards every write by the key of the held role. Rewriting that key, with nothing changed but its
 * revision, invalidates all earlier transactions of this holder that have not been executed yet.
 */
export class GuardedWriter {
  constructor(
    private readonly key: string,
    private readonly replica: StoreReplica,
    private readonly committer: Committer,
    /** Whether this process still holds the role, as far as the replica shows. */
    readonly isStillHolder: () => boolean,
  ) {}

  private roleGuard(): Guard {
    return { key: this.key, revision: this.replica.revisionOf(this.key) };
  }

  /**
   * Commits on behalf of the role. `mustNotRepeat`: the records that it creates may soon be consumed
   * and removed, so an unanswered copy of the transaction could create them a second time. Such a
   * copy is invalidated first.
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
      // Not executed while the role is still held: its key was only rewritten in the meantime.
      const shouldRetry =
        result.kind === 'neverCommitted' ||
        (result.kind === 'conflict' && result.failed.length === 1 && result.failed[0] === this.key);
      if (!shouldRetry || !this.isStillHolder()) return result;
    }
  }

  /** Rewrites the role's key unchanged; false: the role is lost. */
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
