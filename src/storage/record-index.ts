/** The records of a replica, with indexes for the lookups that are made often. */

import { MAX_CACHED_FINALS } from '../constants/storage.js';
import { AssignmentIndex } from './assignment-index.js';
import { ASSIGNMENTS, CATALOG, FINALS, JOBS, LIVE, MACHINES } from './keys.js';
import type {
  AssignmentRecord,
  AssignmentSummary,
  FinalRecord,
  JobRecord,
  MachineRecord,
} from './records.js';

/** A key's value at the revision of its last change. */
export interface VersionedValue<Value = unknown> {
  value: Value;
  revision: number;
}

/** A key's kind: the word after the common prefix. */
function kindOf(key: string): string {
  const end = key.indexOf('/', LIVE.length);
  return end < 0 ? key.slice(LIVE.length) : key.slice(LIVE.length, end);
}

function setOrDelete<Value>(map: Map<string, Value>, key: string, value: Value | undefined): void {
  if (value === undefined) map.delete(key);
  else map.set(key, value);
}

/** The live keys of the key-value store as far as they are known, and final records that were read. */
export class RecordIndex {
  private readonly valuesByKey = new Map<string, VersionedValue>();
  /** The same by kind, so that a scan for the few keys of one kind does not visit all. */
  private readonly valuesByKind = new Map<string, Map<string, VersionedValue>>();
  /** Revisions of keys that were removed ahead of the watch: older events must not restore them. */
  private readonly removalRevisions = new Map<string, number>();
  /** Jobs by id, the most frequent lookup. */
  private readonly jobs = new Map<string, JobRecord>();
  private readonly machines = new Map<string, MachineRecord>();
  private readonly finalRecords = new Map<string, FinalRecord>();
  private readonly assignmentIndex = new AssignmentIndex();
  /** All changes up to this revision have been applied. */
  revision = 0;
  /** Counts changes of the machine types; what was derived from them is valid until the next one. */
  catalogChanges = 0;

  /** A live key's value and revision; null: there is no such key. */
  get<Value>(key: string): VersionedValue<Value> | null {
    return (this.valuesByKey.get(key) as VersionedValue<Value> | undefined) ?? null;
  }

  /** The revision of a live key's last change; 0: there is no such key. */
  revisionOf(key: string): number {
    return this.get(key)?.revision ?? 0;
  }

  /** The keys with a prefix, in no order. */
  *below<Value>(prefix: string): Generator<[string, VersionedValue<Value>]> {
    for (const [key, versioned] of this.valuesByKind.get(kindOf(prefix)) ?? []) {
      if (key.startsWith(prefix)) yield [key, versioned as VersionedValue<Value>];
    }
  }

  /** A job that is neither done nor cancelled. */
  job(id: string): JobRecord | null {
    return this.jobs.get(id) ?? null;
  }

  /** The leader's record of a machine; null: there is none. */
  machine(name: string): MachineRecord | null {
    return this.machines.get(name) ?? null;
  }

  /** How a job ended, where this controller knows; the oldest are evicted. */
  final(id: string): FinalRecord | null {
    return this.finalRecords.get(id) ?? null;
  }

  /** All assignments, in no order. */
  assignments(): Iterable<AssignmentSummary> {
    return this.assignmentIndex.all();
  }

  get assignmentCount(): number {
    return this.assignmentIndex.count;
  }

  /** The keys of all assignments. */
  assignmentKeys(): Iterable<string> {
    return this.assignmentIndex.keys();
  }

  /** The keys of a job's assignments. */
  assignmentKeysOf(job: string): Iterable<string> {
    return this.assignmentIndex.keysOf(job);
  }

  /** The assignment under a key; null: there is none. */
  assignment(key: string): AssignmentSummary | null {
    return this.assignmentIndex.get(key);
  }

  /** All jobs that are neither done nor cancelled. */
  openJobs(): Iterable<JobRecord> {
    return this.jobs.values();
  }

  /** The assignments of a job. */
  assignmentsOf(job: string): AssignmentSummary[] {
    return this.assignmentIndex.ofJob(job);
  }

  /** Caches how a job ended. */
  keepFinal(id: string, record: FinalRecord): void {
    this.finalRecords.set(id, record);
    if (this.finalRecords.size > MAX_CACHED_FINALS) {
      const oldest = this.finalRecords.keys().next();
      if (!oldest.done) this.finalRecords.delete(oldest.value);
    }
  }

  /** Applies one key's value unless a newer one is known; `undefined` is a removal. */
  apply(key: string, value: unknown, revision: number): boolean {
    if (key.startsWith(FINALS)) {
      if (value !== undefined) this.keepFinal(key.slice(FINALS.length), value as FinalRecord);
      return true;
    }
    if (!key.startsWith(LIVE)) return false;
    if (this.revisionOf(key) >= revision || (this.removalRevisions.get(key) ?? 0) >= revision)
      return false;
    // The response to an earlier read or write may come after the watch: the key was removed since.
    if (value !== undefined && revision <= this.revision && !this.valuesByKey.has(key))
      return false;
    if (value === undefined) this.remove(key, revision);
    else this.set(key, { value, revision });
    this.index(key, value);
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

  /** Updates the indexes of single kinds. */
  private index(key: string, value: unknown): void {
    if (key.startsWith(JOBS)) {
      setOrDelete(this.jobs, key.slice(JOBS.length), value as JobRecord | undefined);
    }
    if (key.startsWith(MACHINES)) {
      setOrDelete(this.machines, key.slice(MACHINES.length), value as MachineRecord | undefined);
    }
    if (key.startsWith(CATALOG)) this.catalogChanges++;
    if (key.startsWith(ASSIGNMENTS))
      this.assignmentIndex.apply(key, value as AssignmentRecord | undefined);
  }

  /** Removals up to the revision need no entry: no older event can come any more. */
  protected forgetRemovals(): void {
    for (const [key, removedAt] of this.removalRevisions) {
      if (removedAt <= this.revision) this.removalRevisions.delete(key);
    }
  }

  /** All live keys with the revisions of their last changes. */
  protected *keyRevisions(): Generator<{ key: string; revision: number }> {
    for (const [key, { revision }] of this.valuesByKey) yield { key, revision };
  }
}
