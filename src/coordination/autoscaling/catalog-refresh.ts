/** Keeps the stored catalog of machine types up to date with the cloud's catalog. */

import { CATALOG_REFRESH_INTERVAL_MS } from '../../constants/autoscaling.js';
import { MAX_TRANSACTION_BYTES } from '../../constants/protocol.js';
import { writeCatalog } from '../../storage/catalog.js';
import { CATALOG } from '../../storage/keys.js';
import type { Change } from '../../protocol/key-value-store.js';
import type { AutoscalingContext } from './autoscaling-context.js';

/** Reads the cloud's machine types periodically and stores the changes. */
export class CatalogRefresh {
  private refreshedAt = -Infinity;

  constructor(private readonly context: AutoscalingContext) {}

  /**
   * Refreshes the stored catalog if a refresh is due and the request budget allows it. Commits the
   * changed records in order, and stops at the first transaction that is not committed.
   */
  async run(): Promise<void> {
    const { clock, cloud, cloudRequests, rejectedChangeBackoff, replica, valueBytes, writer } =
      this.context;
    const now = clock.now();
    if (now - this.refreshedAt < CATALOG_REFRESH_INTERVAL_MS || !cloudRequests.trySpend()) return;
    const types = await cloud.types();
    if (!types) return;
    this.refreshedAt = now;
    if (rejectedChangeBackoff.isPaused(CATALOG)) return;
    const changes = writeCatalog(replica, types, valueBytes);
    for (const transaction of this.transactions(changes)) {
      const guards = transaction.map(({ key }) => ({ key, revision: replica.revisionOf(key) }));
      const result = await writer.commit('leader', guards, transaction);
      if (result.kind === 'rejected') rejectedChangeBackoff.recordRejection(CATALOG);
      else rejectedChangeBackoff.clear(CATALOG);
      if (result.kind !== 'done') return;
    }
  }

  /** Divides the changes among transactions within the store's limits, in the same order. */
  private transactions(changes: readonly Change[]): Change[][] {
    const { transactionOps, valueBytes } = this.context;
    const changesPerTransaction = Math.min(
      transactionOps,
      Math.max(1, Math.floor(MAX_TRANSACTION_BYTES / valueBytes)),
    );
    const transactions: Change[][] = [];
    for (let start = 0; start < changes.length; start += changesPerTransaction) {
      transactions.push(changes.slice(start, start + changesPerTransaction));
    }
    return transactions;
  }
}
