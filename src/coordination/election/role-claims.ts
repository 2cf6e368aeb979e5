/** Claims roles, each by one compare-and-swap transaction that raises the role's term. */

import type { Change, Guard } from '../../protocol/key-value-store.js';
import { nodeKey, roleKey } from '../../storage/keys.js';
import type { RoleRecord } from '../../storage/records.js';
import type { ElectionContext } from './election-context.js';

/**
 * Returns the role record that this process writes to claim a role. `holder` is the current record,
 * or null if the role was never held.
 */
export function claimRecord(
  { clock, incarnation, self }: Pick<ElectionContext, 'clock' | 'incarnation' | 'self'>,
  holder: RoleRecord | null,
): RoleRecord {
  const isFailover = holder !== null && holder.owner !== self.node;
  return {
    owner: self.node,
    incarnation,
    term: (holder?.term ?? 0) + 1,
    movedAt: isFailover ? clock.wall() : (holder?.movedAt ?? 0),
  };
}

/** Claims roles for this process. */
export class RoleClaims {
  constructor(private readonly context: ElectionContext) {}

  /** Claims, one after another, all free roles that the candidate order allows this process now. */
  async claimFreeRoles(): Promise<void> {
    const { candidateOrder, electableRoles } = this.context;
    for (const { role, preferredHolder } of electableRoles) {
      if (candidateOrder.shouldClaim(role, preferredHolder)) await this.claim(role);
    }
  }

  /** Claims one role under the next term. */
  async claim(role: string): Promise<void> {
    const { committer, log, rejectedChangeBackoff, replica } = this.context;
    const key = roleKey(role);
    const entry = replica.get<RoleRecord>(key);
    const holder = entry?.value ?? null;
    const guards: Guard[] = [{ key, revision: entry?.revision ?? 0 }, ...this.holderGuards(holder)];
    const record = claimRecord(this.context, holder);
    const changes: Change[] = [{ key, value: record }];
    const result = await committer.commit('role', guards, changes, () => true);
    if (result.kind === 'rejected') rejectedChangeBackoff.recordRejection(role);
    else rejectedChangeBackoff.clear(role);
    const formerHolder = holder?.owner ?? null;
    log.info({ role, formerHolder, term: record.term, result: result.kind }, 'role claim finished');
  }

  /**
   * Returns a guard that makes the claim fail if a holder with an expired lease registers again.
   * Returns none if the role was never held or its holder is registered.
   */
  private holderGuards(holder: RoleRecord | null): Guard[] {
    const { candidateOrder, replica } = this.context;
    if (holder === null || candidateOrder.isHolderRegistered(holder)) return [];
    const key = nodeKey(holder.owner);
    return [{ key, revision: replica.revisionOf(key) }];
  }
}
