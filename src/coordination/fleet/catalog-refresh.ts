/** Stores the cloud's machine types in the state service and brings them up to date periodically. */
import { CATALOG_PERIOD_MS, TXN_BYTES } from '../../constants.js';
import { writeCatalog } from '../../storage/catalog.js';
import { CATALOG } from '../../storage/keys.js';
import type { Change } from '../../protocol/state-api.js';
import type { FleetContext } from './fleet-context.js';

/** Reads the cloud's machine types periodically and writes what changed. */
export class CatalogRefresh {
  private refreshedAt = -Infinity;

  constructor(private readonly context: FleetContext) {}

  /** Refreshes the catalog if it is due and the cloud's limit allows a request. */
  async run(): Promise<void> {
    const { clock, cloud, cloudRequests, invalidBackoff, replica, valueBytes } = this.context;
    const now = clock.now();
    if (now - this.refreshedAt < CATALOG_PERIOD_MS || !cloudRequests.trySpend()) return;
    const types = await cloud.types();
    if (!types) return;
    this.refreshedAt = now;
    if (invalidBackoff.has(CATALOG)) return;
    await this.write(writeCatalog(replica, types, valueBytes));
  }

  /** Commits the changes in order, in transactions within the limits; stops at the first failure. */
  private async write(changes: Change[]): Promise<void> {
    const { invalidBackoff, replica, txnOps, valueBytes, writer } = this.context;
    const changesPerTxn = Math.min(txnOps, Math.max(1, Math.floor(TXN_BYTES / valueBytes)));
    for (let start = 0; start < changes.length; start += changesPerTxn) {
      const group = changes.slice(start, start + changesPerTxn);
      const guards = group.map(({ key }) => ({ key, revision: replica.revisionOf(key) }));
      const result = await writer.commit('leader', guards, group);
      if (result.kind === 'invalid') invalidBackoff.add(CATALOG);
      else invalidBackoff.clear(CATALOG);
      if (result.kind !== 'done') return;
    }
  }
}
