/** Reads all live keys of the key-value store, page by page. */

import { STORE_CHANGES_KEPT } from '../constants/storage.js';
import type { KeyValueStore } from '../protocol/key-value-store.js';
import { LIVE } from './keys.js';
import type { RateLimiter } from './rate-limiter.js';
import type { VersionedValue } from './record-index.js';

/** All live keys, as of `firstRevision` or later. */
export interface KeyListing {
  entries: Map<string, VersionedValue>;
  /** The revision of the first page. */
  firstRevision: number;
}

/** What was read so far. */
interface PartialListing {
  entries: Map<string, VersionedValue>;
  /** The revision of the first page; null: not read yet. */
  firstRevision: number | null;
  /** The last key that was read; null: none. */
  lastKey: string | null;
}

/** Reads all live keys; a reading that failed is resumed by the next one. */
export class LiveKeyReader {
  private pending: PartialListing | null = null;
  /** The newest revision of any page that was read. */
  newestPageRevision = 0;

  constructor(
    private readonly keyValueStore: KeyValueStore,
    private readonly limiter: RateLimiter,
    private readonly onPage: () => void,
  ) {}

  /**
   * All pages of the live keys. An error on one page ends the reading for now; the next one goes on
   * from there, since the watch brings pages of different revisions up to the same one anyway.
   */
  async readAll(): Promise<KeyListing> {
    for (;;) {
      const listing = (this.pending ??= { entries: new Map(), firstRevision: null, lastKey: null });
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
      if (isTooOld || !page.more) this.pending = null;
      if (!isTooOld && !page.more) return { entries: listing.entries, firstRevision };
    }
  }
}
