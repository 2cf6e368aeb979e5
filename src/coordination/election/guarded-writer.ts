/** Writes to the state service on behalf of a role. */

import type { CommitResult, Committer } from '../../storage/committer.js';
import type { Purpose } from '../../storage/rate-limiter.js';
import type { RoleRecord } from '../../storage/records.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Change, Guard } from '../../protocol/key-value-store.js';

/**
 * A role in our hands: every write in it guards its key. Writing that key anew, with nothing changed
 * but its revision, makes all of our earlier transactions powerless that were not carried out yet.
 */
export class GuardedWriter {
  constructor(
    private readonly key: string,
    private readonly replica: StoreReplica,
    private readonly committer: Committer,
    /** Still ours, as far as the replica knows. */
    readonly alive: () => boolean,
  ) {}

  private guard(): Guard {
    return { key: this.key, revision: this.replica.revisionOf(this.key) };
  }

  /**
   * Commits in the role. `once`: what it creates may be used up and removed soon, so that a copy of
   * it without an answer could create it a second time. Such a copy is made powerless first.
   */
  async commit(
    purpose: Purpose,
    guards: Guard[],
    changes: Change[],
    once = false,
  ): Promise<CommitResult> {
    for (;;) {
      if (!this.alive()) return { kind: 'abandoned', mayCommitLater: false };
      const guarded = [this.guard(), ...guards];
      const result = once
        ? await this.committer.commitOnce({ purpose, guards: guarded, changes }, this.alive, () =>
            this.renew(),
          )
        : await this.committer.commit(purpose, guarded, changes, this.alive);
      // Not carried out, and the role is still ours: its key was only written anew meanwhile.
      const again =
        result.kind === 'neverCommitted' ||
        (result.kind === 'conflict' && result.failed.length === 1 && result.failed[0] === this.key);
      if (!again || !this.alive()) return result;
    }
  }

  /** Writes the role's key anew; false: the role is lost. */
  private async renew(): Promise<boolean> {
    const before = this.replica.get<RoleRecord>(this.key);
    if (!before || !this.alive()) return false;
    await this.committer.commit(
      'role',
      [this.guard()],
      [{ key: this.key, value: before.value }],
      this.alive,
    );
    return this.alive() && this.replica.revisionOf(this.key) > before.revision;
  }
}
