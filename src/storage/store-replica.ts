/** Replicates the live keys of the key-value store by a watch. */

import {
  BACKOFF_FIRST_MS,
  BACKOFF_MAX_MS,
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
import { ROOT } from './keys.js';
import { LiveKeyReader } from './live-key-reader.js';
import type { RateLimiter } from './rate-limiter.js';
import type { Log } from './log.js';
import { RecordIndex } from './record-index.js';
import { WatchPause } from './watch-pause.js';

/** Dependencies and settings of a `StoreReplica`. */
export interface ReplicaOptions {
  keyValueStore: KeyValueStore;
  limiter: RateLimiter;
  clock: Clock;
  log: Log;
  random: () => number;
  /** Maximum time in ms for which a watch waits for a change. */
  holdMs?: number;
  /** Pause in ms between two watches. */
  spacingMs?: number;
}

/**
 * This controller's replica of the store's live keys. The replica contains all changes up to
 * `revision` and was current at `knownCurrentAt`. This is the time at which the last answered watch
 * was sent, not the time of its response, because the response may have been delayed.
 */
export class StoreReplica extends RecordIndex {
  private readonly keyValueStore: KeyValueStore;
  private readonly limiter: RateLimiter;
  private readonly clock: Clock;
  private readonly log: Log;
  private readonly holdMs: number;
  private readonly changeListeners: ((keys: string[]) => void)[] = [];
  private readonly confirmedCurrentListeners: ((sentAt: number) => void)[] = [];
  private readonly backoff: Backoff;
  private readonly reader: LiveKeyReader;
  private readonly pause: WatchPause;
  private isStopped = false;
  /** The newest revision that a peer's change notification announced. */
  private announcedRevision = 0;
  /** The newest revision that this controller received by its watch or by its own changes. */
  newestRevision = 0;
  /** Steady time in ms at which the last answered watch was sent. */
  knownCurrentAt = -Infinity;
  /** True once all keys have been read. */
  isLoaded = false;

  constructor(options: ReplicaOptions) {
    super();
    this.keyValueStore = options.keyValueStore;
    this.limiter = options.limiter;
    this.clock = options.clock;
    this.log = options.log;
    this.backoff = new Backoff(BACKOFF_FIRST_MS, BACKOFF_MAX_MS, options.random);
    this.holdMs = options.holdMs ?? WATCH_HOLD_MS;
    this.pause = new WatchPause(options.clock, options.spacingMs ?? WATCH_SPACING_MS);
    this.reader = new LiveKeyReader(options.keyValueStore, options.limiter, () =>
      this.backoff.reset(),
    );
  }

  /**
   * False until all keys have been read and the watch has reached the revision of the newest page
   * that was read. Until then the values from earlier pages may be older than those from that page.
   */
  get isSynced(): boolean {
    return this.isLoaded && this.revision >= this.reader.newestPageRevision;
  }

  /**
   * Calls `listener` after each answered watch with the steady time at which the watch was sent.
   * The replica was current at that time.
   */
  onConfirmedCurrent(listener: (sentAt: number) => void): void {
    this.confirmedCurrentListeners.push(listener);
  }

  /**
   * Calls `listener` with the changed keys after each change, and with an empty list after a watch
   * without changes.
   */
  onChange(listener: (keys: string[]) => void): void {
    this.changeListeners.push(listener);
  }

  /**
   * Applies changes that this controller made, read or received from a peer, ahead of the watch.
   */
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

  /** Reads all live keys into the replica, and removes keys from it that no longer exist. */
  async load(): Promise<void> {
    const { entries, firstRevision } = await this.reader.readAll();
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
   * Shortens the pause before the next watch if a peer has announced a change at `revision` that
   * the watch has not reached.
   */
  watchSoon(revision: number): void {
    if (revision <= this.revision) return;
    this.announcedRevision = Math.max(this.announcedRevision, revision);
    this.pause.shorten();
  }

  /**
   * Loads all keys and watches for changes until `stop` is called. Retries failures with a backoff.
   */
  async follow(): Promise<void> {
    while (!this.isStopped) {
      try {
        if (!this.isLoaded) await this.load();
        await this.limiter.acquire('watch', 0);
        const sentAt = this.clock.now();
        const result = await this.keyValueStore.watch(ROOT, this.revision, this.holdMs);
        if (this.isStopped) return;
        if (result === null) {
          this.log.info(
            { sinceRevision: this.revision },
            'watched revision compacted, reading all keys again',
          );
          await this.load();
          continue;
        }
        this.applyWatchResult(result);
        this.knownCurrentAt = Math.max(this.knownCurrentAt, sentAt);
        for (const listener of this.confirmedCurrentListeners) listener(sentAt);
        this.backoff.reset();
        await this.pause.wait(this.announcedRevision > this.revision);
      } catch (error) {
        if (error instanceof StoreRejectedError && error.status === 429)
          this.limiter.reportRefusal(0);
        this.log.debug({ error: String(error) }, 'watch failed, retrying');
        await sleep(this.clock, this.backoff.nextPauseMs());
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
    this.discardOldRemovals();
    // Listeners are called even without events, because some wait until the replica is current.
    this.notifyChangeListeners(keys);
  }

  /** Ends `follow`. */
  stop(): void {
    this.isStopped = true;
    this.pause.shorten();
  }
}
