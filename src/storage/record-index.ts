/** The records of a replica, with the indexes that make their frequent readings cheap. */

import { MAX_CACHED_FINALS } from '../constants/storage.js';
import { CATALOG, ASSIGNMENTS, FINALS, JOBS, LIVE, MACHINES, readAssignmentKey } from './keys.js';
import {
  summarize,
  type AssignmentRecord,
  type AssignmentSummary,
  type FinalRecord,
  type JobRecord,
  type MachineRecord,
} from './records.js';

/** A key's value at the revision of its last change. */
export interface VersionedValue<Value = unknown> {
  value: Value;
  revision: number;
}

/** What a key is about: the word after the common prefix. */
function kindOf(key: string): string {
  const end = key.indexOf('/', LIVE.length);
  return end < 0 ? key.slice(LIVE.length) : key.slice(LIVE.length, end);
}

function setOrDelete<Value>(map: Map<string, Value>, key: string, value: Value | undefined): void {
  if (value === undefined) map.delete(key);
  else map.set(key, value);
}

/** A chunk whose summary is made when somebody asks for it: most nodes never do. */
class LazySummary {
  private computed: AssignmentSummary | null = null;

  constructor(
    private readonly name: { shard: string; job: string; number: number },
    private readonly record: AssignmentRecord,
  ) {}

  get summary(): AssignmentSummary {
    this.computed ??= summarize(this.name, this.record);
    return this.computed;
  }
}

/** The live keys of the state service as far as they are known, and what was read of final ones. */
export class RecordIndex {
  private readonly valuesByKey = new Map<string, VersionedValue>();
  /** The same by their kind, so that nobody walks all keys for the few of one kind. */
  private readonly valuesByKind = new Map<string, Map<string, VersionedValue>>();
  /** Revisions of keys removed ahead of the watch, so that older events don't bring them back. */
  private readonly removalRevisions = new Map<string, number>();
  /** Jobs by id: they are asked for most often of all. */
  private readonly jobs = new Map<string, JobRecord>();
  private readonly machines = new Map<string, MachineRecord>();
  private readonly finalRecords = new Map<string, FinalRecord>();
  private readonly assignmentSummaries = new Map<string, LazySummary>();
  private readonly assignmentKeysByJob = new Map<string, Set<string>>();
  /** All changes up to this revision are here. */
  revision = 0;
  /** How often the machine types changed: what was made of them holds until then. */
  catalogChanges = 0;

  /** A live key's value and revision; null: there is no such key. */
  get<Value>(key: string): VersionedValue<Value> | null {
    return (this.valuesByKey.get(key) as VersionedValue<Value> | undefined) ?? null;
  }

  /** The revision of a live key's last change; 0: there is no such key. */
  revisionOf(key: string): number {
    return this.get(key)?.revision ?? 0;
  }

  /** The keys below a prefix, in no order. */
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

  /** How a job ended, where this node has heard of it; the oldest are forgotten. */
  final(id: string): FinalRecord | null {
    return this.finalRecords.get(id) ?? null;
  }

  /** All chunks, in no order. */
  *assignments(): Generator<AssignmentSummary> {
    for (const lazy of this.assignmentSummaries.values()) yield lazy.summary;
  }

  /** How many chunks there are. */
  get assignmentCount(): number {
    return this.assignmentSummaries.size;
  }

  /** The keys of all chunks. */
  assignmentKeys(): Iterable<string> {
    return this.assignmentSummaries.keys();
  }

  /** The keys of a job's chunks. */
  assignmentKeysOf(job: string): Iterable<string> {
    return this.assignmentKeysByJob.get(job) ?? [];
  }

  /** The chunk under a key; null: there is none. */
  assignment(key: string): AssignmentSummary | null {
    return this.assignmentSummaries.get(key)?.summary ?? null;
  }

  /** All jobs that are neither done nor cancelled. */
  openJobs(): Iterable<JobRecord> {
    return this.jobs.values();
  }

  /** The chunks of a job. */
  assignmentsOf(job: string): AssignmentSummary[] {
    const found: AssignmentSummary[] = [];
    for (const key of this.assignmentKeysByJob.get(job) ?? []) {
      const lazy = this.assignmentSummaries.get(key);
      if (lazy) found.push(lazy.summary);
    }
    return found;
  }

  /** Notes how a job ended. */
  keepFinal(id: string, record: FinalRecord): void {
    this.finalRecords.set(id, record);
    if (this.finalRecords.size > MAX_CACHED_FINALS) {
      const oldest = this.finalRecords.keys().next();
      if (!oldest.done) this.finalRecords.delete(oldest.value);
    }
  }

  /** Takes over what is known of one key, unless something newer is; `undefined` is a removal. */
  apply(key: string, value: unknown, revision: number): boolean {
    if (key.startsWith(FINALS)) {
      if (value !== undefined) this.keepFinal(key.slice(FINALS.length), value as FinalRecord);
      return true;
    }
    if (!key.startsWith(LIVE)) return false;
    if (this.revisionOf(key) >= revision || (this.removalRevisions.get(key) ?? 0) >= revision)
      return false;
    // The answer to an earlier read or write may come after the watch: the key was removed since.
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

  /** Keeps the indexes of single kinds. */
  private index(key: string, value: unknown): void {
    if (key.startsWith(JOBS)) {
      setOrDelete(this.jobs, key.slice(JOBS.length), value as JobRecord | undefined);
    }
    if (key.startsWith(MACHINES)) {
      setOrDelete(this.machines, key.slice(MACHINES.length), value as MachineRecord | undefined);
    }
    if (key.startsWith(CATALOG)) this.catalogChanges++;
    if (key.startsWith(ASSIGNMENTS))
      this.applyAssignment(key, value as AssignmentRecord | undefined);
  }

  /** Removals that the revision has reached need no note: no older event can come any more. */
  protected forgetRemovals(): void {
    for (const [key, removedAt] of this.removalRevisions) {
      if (removedAt <= this.revision) this.removalRevisions.delete(key);
    }
  }

  /** All live keys with the revisions of their last changes. */
  protected *keyRevisions(): Generator<{ key: string; revision: number }> {
    for (const [key, { revision }] of this.valuesByKey) yield { key, revision };
  }

  private applyAssignment(key: string, record: AssignmentRecord | undefined): void {
    const name = readAssignmentKey(key);
    if (!name) return;
    const group = this.assignmentKeysByJob.get(name.job);
    if (record === undefined) {
      this.assignmentSummaries.delete(key);
      group?.delete(key);
      if (group?.size === 0) this.assignmentKeysByJob.delete(name.job);
      return;
    }
    this.assignmentSummaries.set(key, new LazySummary(name, record));
    if (group) group.add(key);
    else this.assignmentKeysByJob.set(name.job, new Set([key]));
  }
}
