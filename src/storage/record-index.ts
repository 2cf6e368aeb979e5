/** Stores the records of a replica, with indexes for frequent lookups. */

import { MAX_CACHED_FINAL_RECORDS } from '../constants/storage.js';
import { AssignmentIndex } from './assignment-index.js';
import { ASSIGNMENTS, CATALOG, FINALS, JOBS, LIVE, MACHINES } from './keys.js';
import type {
  AssignmentRecord,
  AssignmentSummary,
  FinalRecord,
  JobRecord,
  MachineRecord,
} from './records.js';

/** A key's value with the revision of its last change. */
export interface VersionedValue<Value = unknown> {
  value: Value;
  revision: number;
}

/** Returns the kind of a key, which is the path segment after the prefix `LIVE`. */
function kindOf(key: string): string {
  const end = key.indexOf('/', LIVE.length);
  return end < 0 ? key.slice(LIVE.length) : key.slice(LIVE.length, end);
}

function setOrDelete<Value>(map: Map<string, Value>, key: string, value: Value | undefined): void {
  if (value === undefined) map.delete(key);
  else map.set(key, value);
}

/** The live keys of the key-value store that were read, and the cached final records. */
export class RecordIndex {
  private readonly valuesByKey = new Map<string, VersionedValue>();
  /** The same values by kind of key, so that a scan of one kind does not visit the others. */
  private readonly valuesByKind = new Map<string, Map<string, VersionedValue>>();
  /**
   * Revisions at which keys were removed, by key, for removals that the watch has not reported yet.
   * Older events of the watch must not restore these keys.
   */
  private readonly removalRevisions = new Map<string, number>();
  /** Jobs by id, which are looked up most often. */
  private readonly jobs = new Map<string, JobRecord>();
  private readonly machines = new Map<string, MachineRecord>();
  private readonly finalRecords = new Map<string, FinalRecord>();
  private readonly assignmentIndex = new AssignmentIndex();
  /** All changes up to this revision have been applied. */
  revision = 0;
  /**
   * Number of changes of the machine types. Data derived from them is valid until the next change.
   */
  catalogChanges = 0;

  /** Returns a live key's value and revision, or null if the key does not exist. */
  get<Value>(key: string): VersionedValue<Value> | null {
    return (this.valuesByKey.get(key) as VersionedValue<Value> | undefined) ?? null;
  }

  /** Returns the revision of a live key's last change, or 0 if the key does not exist. */
  revisionOf(key: string): number {
    return this.get(key)?.revision ?? 0;
  }

  /** Returns the keys with a prefix and their values, in no particular order. */
  *entriesWithPrefix<Value>(prefix: string): Generator<[string, VersionedValue<Value>]> {
    for (const [key, versioned] of this.valuesByKind.get(kindOf(prefix)) ?? []) {
      if (key.startsWith(prefix)) yield [key, versioned as VersionedValue<Value>];
    }
  }

  /** Returns a job's record, or null if the job is unknown, done or cancelled. */
  job(id: string): JobRecord | null {
    return this.jobs.get(id) ?? null;
  }

  /** Returns the leader's record of a machine, or null if there is none. */
  machine(name: string): MachineRecord | null {
    return this.machines.get(name) ?? null;
  }

  /** Returns the final record of an ended job, or null if it is not cached. */
  finalRecord(id: string): FinalRecord | null {
    return this.finalRecords.get(id) ?? null;
  }

  /** Returns all assignments, in no particular order. */
  assignments(): Iterable<AssignmentSummary> {
    return this.assignmentIndex.all();
  }

  get assignmentCount(): number {
    return this.assignmentIndex.count;
  }

  /** Returns the keys of all assignments. */
  assignmentKeys(): Iterable<string> {
    return this.assignmentIndex.keys();
  }

  /** Returns the keys of a job's assignments. */
  assignmentKeysOf(job: string): Iterable<string> {
    return this.assignmentIndex.keysOf(job);
  }

  /** Returns the assignment with a key, or null if there is none. */
  assignment(key: string): AssignmentSummary | null {
    return this.assignmentIndex.get(key);
  }

  /** Returns all jobs that are neither done nor cancelled. */
  openJobs(): Iterable<JobRecord> {
    return this.jobs.values();
  }

  /** Returns the assignments of a job. */
  assignmentsOf(job: string): AssignmentSummary[] {
    return this.assignmentIndex.ofJob(job);
  }

  /**
   * Caches the final record of a job, and evicts the oldest one beyond `MAX_CACHED_FINAL_RECORDS`.
   */
  cacheFinalRecord(id: string, record: FinalRecord): void {
    this.finalRecords.set(id, record);
    if (this.finalRecords.size > MAX_CACHED_FINAL_RECORDS) {
      const oldest = this.finalRecords.keys().next();
      if (!oldest.done) this.finalRecords.delete(oldest.value);
    }
  }

  /**
   * Applies a key's value unless a newer one is known; `undefined` is a removal. Returns whether
   * the value was applied.
   */
  apply(key: string, value: unknown, revision: number): boolean {
    if (key.startsWith(FINALS)) {
      if (value !== undefined)
        this.cacheFinalRecord(key.slice(FINALS.length), value as FinalRecord);
      return true;
    }
    if (!key.startsWith(LIVE)) return false;
    if (this.revisionOf(key) >= revision || (this.removalRevisions.get(key) ?? 0) >= revision)
      return false;
    // If the watch has passed this revision and the key does not exist, the key was removed since.
    // The value comes from a read or write whose response arrived late.
    if (value !== undefined && revision <= this.revision && !this.valuesByKey.has(key))
      return false;
    if (value === undefined) this.remove(key, revision);
    else this.set(key, { value, revision });
    this.updateIndexes(key, value);
    return true;
  }

  private set(key: string, versioned: VersionedValue): void {
    const kind = kindOf(key);
    const group = this.valuesByKind.get(kind);
    this.valuesByKey.set(key, versioned);
    if (group) group.set(key, versioned);
    else this.valuesByKind.set(kind, new Map([[key, versioned]]));
  }

  private remove(key: string, revision: number): void {
    this.valuesByKey.delete(key);
    this.valuesByKind.get(kindOf(key))?.delete(key);
    if (revision > this.revision) this.removalRevisions.set(key, revision);
  }

  /** Updates the indexes of jobs, machines, machine types and assignments. */
  private updateIndexes(key: string, value: unknown): void {
    if (key.startsWith(JOBS)) {
      setOrDelete(this.jobs, key.slice(JOBS.length), value as JobRecord | undefined);
    }
    if (key.startsWith(MACHINES)) {
      setOrDelete(this.machines, key.slice(MACHINES.length), value as MachineRecord | undefined);
    }
    if (key.startsWith(CATALOG)) this.catalogChanges++;
    if (key.startsWith(ASSIGNMENTS))
      this.assignmentIndex.update(key, value as AssignmentRecord | undefined);
  }

  /**
   * Discards the removals up to `revision`, because the watch returns no events before `revision`
   * any more.
   */
  protected discardOldRemovals(): void {
    for (const [key, removedAt] of this.removalRevisions) {
      if (removedAt <= this.revision) this.removalRevisions.delete(key);
    }
  }

  /** Returns all live keys with the revisions of their last changes. */
  protected *keyRevisions(): Generator<{ key: string; revision: number }> {
    for (const [key, { revision }] of this.valuesByKey) yield { key, revision };
  }
}
