/** A copy of the live keys, kept current by watching the state service. */

import {
  BACKOFF_FIRST_MS,
  BACKOFF_LAST_MS,
  HINTED_WATCH_SPACING_SHARE,
  STORE_CHANGES_KEPT,
  WATCH_HOLD_MS,
  WATCH_SPACING_MS,
} from '../constants/storage.js';
import {
  StoreRejectedError,
  type KeyValueStore,
  type WatchResult,
} from '../protocol/key-value-store.js';
import { Backoff } from '../transport/backoff.js';
import { sleep, type Clock } from '../transport/clock.js';
import { LIVE, ROOT } from './keys.js';
import type { RateLimiter } from './rate-limiter.js';
import type { Log } from './log.js';
import { RecordIndex, type VersionedValue } from './record-index.js';

/** What a replica works with. */
export interface ReplicaOptions {
  keyValueStore: KeyValueStore;
  limiter: RateLimiter;
  clock: Clock;
  log: Log;
  random: () => number;
  /** The longest that a watch waits for a change. */
  holdMs?: number;
  /** The pause between two watches. */
  spacingMs?: number;
}

/** What was read of all keys so far. */
interface KeyListing {
  entries: Map<string, VersionedValue>;
  /** The revision of the first page; null: not read yet. */
  firstRevision: number | null;
  /** The last key that was read; null: none. */
  lastKey: string | null;
}

/**
 * This node's copy of the live keys, kept by a watch. It is complete up to `revision`, and was so
 * at `freshAt` of this node's steady clock: the time at which the last answered watch was *sent*,
 * since the answer may have been held on its way.
 */
export class StoreReplica extends RecordIndex {
  private readonly keyValueStore: KeyValueStore;
  private readonly limiter: RateLimiter;
  private readonly clock: Clock;
  private readonly log: Log;
  private readonly holdMs: number;
  private readonly spacingMs: number;
  private readonly changeListeners: ((keys: string[]) => void)[] = [];
  private readonly confirmedCurrentListeners: ((sentAt: number) => void)[] = [];
  private readonly backoff: Backoff;
  /** A reading of all keys under way; null: there is none. */
  private pendingListing: KeyListing | null = null;
  private isStopped = false;
  private shortenPause: (() => void) | null = null;
  /** A revision that a peer told of. */
  private hintedRevision = 0;
  /** The newest revision that this node knows of, by its watch or by its own changes. */
  newestRevision = 0;
  /** Steady time at which the last answered watch was sent. */
  knownCurrentAt = -Infinity;
  /** All keys were read once. */
  isLoaded = false;
  /** The newest revision of any page of the last reading of all keys. */
  private syncedFromRevision = 0;

  constructor(options: ReplicaOptions) {
    super();
    this.keyValueStore = options.keyValueStore;
    this.limiter = options.limiter;
    this.clock = options.clock;
    this.log = options.log;
    this.backoff = new Backoff(BACKOFF_FIRST_MS, BACKOFF_LAST_MS, options.random);
    this.holdMs = options.holdMs ?? WATCH_HOLD_MS;
    this.spacingMs = options.spacingMs ?? WATCH_SPACING_MS;
  }

  /**
   * False while pages of a reading of all keys describe different moments: the watch has yet to
   * bring the first up to the last.
   */
  get isSynced(): boolean {
    return this.isLoaded && this.revision >= this.syncedFromRevision;
  }

  /** `listener` hears when each answered watch was sent: the replica is as new as that. */
  onConfirmedCurrent(listener: (sentAt: number) => void): void {
    this.confirmedCurrentListeners.push(listener);
  }

  /** `listener` hears of the keys that changed; of none where only the revision did. */
  onChange(listener: (keys: string[]) => void): void {
    this.changeListeners.push(listener);
  }

  /** Takes over changes made by this node itself, ahead of the watch. */
  applyOwnChanges(changes: { key: string; value: unknown; revision: number }[]): void {
    for (const change of changes)
      this.newestRevision = Math.max(this.newestRevision, change.revision);
    const changed = changes.filter((change) =>
      this.apply(change.key, change.value, change.revision),
    );
    if (changed.length > 0) this.notifyChangeListeners(changed.map((change) => change.key));
  }

  private notifyChangeListeners(keys: string[]): void {
    for (const listener of this.changeListeners) listener(keys);
  }

  /** Reads all live keys, or those left of a reading that failed; keys no longer there go. */
  async load(): Promise<void> {
    const { entries, firstRevision } = await this.readAll();
    const keys: string[] = [];
    for (const { key, revision } of this.keyRevisions()) {
      if (entries.has(key) || revision > firstRevision) continue;
      this.apply(key, undefined, firstRevision);
      keys.push(key);
    }
    for (const [key, versioned] of entries) {
      if (this.apply(key, versioned.value, versioned.revision)) keys.push(key);
    }
    this.revision = Math.max(this.revision, firstRevision);
    this.isLoaded = true;
    this.notifyChangeListeners(keys);
  }

  /**
   * All pages of the live keys. An error on one page ends the reading for now; the next one goes on
   * from there, since pages of different moments are brought together by the watch anyway.
   */
  private async readAll(): Promise<{
    entries: Map<string, VersionedValue>;
    firstRevision: number;
  }> {
    for (;;) {
      const listing = (this.pendingListing ??= {
        entries: new Map(),
        firstRevision: null,
        lastKey: null,
      });
      await this.limiter.acquire('watch', 0);
      const page = await this.keyValueStore.list(LIVE, listing.lastKey);
      this.backoff.reset();
      listing.firstRevision ??= page.revision;
      this.syncedFromRevision = Math.max(this.syncedFromRevision, page.revision);
      for (const { key, value, revision } of page.entries) {
        listing.entries.set(key, { value, revision });
        listing.lastKey = key;
      }
      const isTooOld = page.revision - listing.firstRevision >= STORE_CHANGES_KEPT;
      if (isTooOld || !page.more) this.pendingListing = null;
      if (!isTooOld && !page.more)
        return { entries: listing.entries, firstRevision: listing.firstRevision };
    }
  }

  /** There is something new, of this revision: asks for changes soon, not after the spacing. */
  pollSoon(revision: number): void {
    if (revision <= this.revision) return;
    this.hintedRevision = Math.max(this.hintedRevision, revision);
    this.shortenPause?.();
  }

  /**
   * The pause between two watches: what comes meanwhile shares the next answer. A hint cuts it
   * short, though not below its least part.
   */
  private pauseBeforeNextWatch(): Promise<void> {
    return new Promise((resolve) => {
      const minPauseMs = this.spacingMs * HINTED_WATCH_SPACING_SHARE;
      const startedAt = this.clock.now();
      const end = (): void => {
        this.shortenPause = null;
        resolve();
      };
      let cancel = this.clock.after(
        this.hintedRevision > this.revision ? minPauseMs : this.spacingMs,
        end,
      );
      this.shortenPause = () => {
        cancel();
        cancel = this.clock.after(Math.max(0, minPauseMs - (this.clock.now() - startedAt)), end);
      };
    });
  }

  /** Follows the changes until stopped; failures are waited out. */
  async follow(): Promise<void> {
    while (!this.isStopped) {
      try {
        if (!this.isLoaded) await this.load();
        await this.limiter.acquire('watch', 0);
        const sentAt = this.clock.now();
        const result = await this.keyValueStore.watch(ROOT, this.revision, this.holdMs);
        if (this.isStopped) return;
        if (result === null) {
          this.log.info({ since: this.revision }, 'changes no longer kept, reading all keys again');
          await this.load();
          continue;
        }
        this.applyWatchResult(result);
        this.knownCurrentAt = Math.max(this.knownCurrentAt, sentAt);
        for (const listener of this.confirmedCurrentListeners) listener(sentAt);
        this.backoff.reset();
        await this.pauseBeforeNextWatch();
      } catch (error) {
        if (error instanceof StoreRejectedError && error.status === 429)
          this.limiter.reportRefusal(0);
        this.log.debug({ error: String(error) }, 'watch failed');
        await sleep(this.clock, this.backoff.next());
      }
    }
  }

  private applyWatchResult({ events, revision }: WatchResult): void {
    const keys: string[] = [];
    for (const event of events) {
      const value = event.removed ? undefined : event.value;
      if (this.apply(event.key, value, event.revision)) keys.push(event.key);
    }
    this.revision = Math.max(this.revision, revision);
    this.newestRevision = Math.max(this.newestRevision, revision);
    this.forgetRemovals();
    // Told even without events: the replica's freshness is what owners wait for.
    this.notifyChangeListeners(keys);
  }

  /** Ends `follow`. */
  stop(): void {
    this.isStopped = true;
    this.shortenPause?.();
  }
}
