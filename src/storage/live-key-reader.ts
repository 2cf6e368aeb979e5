/** Reads all live keys of the key-value store page by page. */

import { STORE_CHANGES_KEPT } from '../constants/storage.js';
import type { KeyValueStore } from '../protocol/key-value-store.js';
import { LIVE } from './keys.js';
import type { RateLimiter } from './rate-limiter.js';
import type { VersionedValue } from './record-index.js';

/** All live keys with their values at `firstRevision` or later. */
export interface KeyListing {
  entries: Map<string, VersionedValue>;
  /** The revision of the first page. */
  firstRevision: number;
}

/** The pages that were read so far. */
interface PartialListing {
  entries: Map<string, VersionedValue>;
  /** The revision of the first page; null before it is read. */
  firstRevision: number | null;
  /** The last key that was read; null before the first page is read. */
  lastKey: string | null;
}

/** Reads all live keys. After an error on one page the next call continues with that page. */
export class LiveKeyReader {
  private partialListing: PartialListing | null = null;
  /** The newest revision of the pages that were read. */
  newestPageRevision = 0;

  constructor(
    private readonly keyValueStore: KeyValueStore,
    private readonly limiter: RateLimiter,
    private readonly onPage: () => void,
  ) {}

  /**
   * Returns all live keys. A call continues with the page on which an earlier call failed, so the
   * pages may have different revisions; a watch from `firstRevision` on then returns the changes
   * that are missing. If `STORE_CHANGES_KEPT` changes were made since the first page, the store may
   * no longer keep all of them for that watch, so the listing starts again.
   */
  async readAll(): Promise<KeyListing> {
    for (;;) {
      const listing = (this.partialListing ??= {
        entries: new Map(),
        firstRevision: null,
        lastKey: null,
      });
      await this.limiter.acquire('watch', 0);
      const page = await this.keyValueStore.list(LIVE, listing.lastKey);
      this.onPage();
      const firstRevision = (listing.firstRevision ??= page.revision);
      this.newestPageRevision = Math.max(this.newestPageRevision, page.revision);
      for (const { key, value, revision } of page.entries) {
        listing.entries.set(key, { value, revision });
        listing.lastKey = key;
      }
      const isTooOld = page.revision - firstRevision >= STORE_CHANGES_KEPT;
      if (isTooOld || !page.more) this.partialListing = null;
      if (!isTooOld && !page.more) return { entries: listing.entries, firstRevision };
    }
  }
}
