/** The records of a replica, with the indexes that make their frequent readings cheap. */

import { FINAL_CACHE } from '../constants/storage.js';
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
export interface Held<Value = unknown> {
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
  private made: AssignmentSummary | null = null;

  constructor(
    private readonly name: { shard: string; job: string; number: number },
    private readonly record: AssignmentRecord,
  ) {}

  get summary(): AssignmentSummary {
    this.made ??= summarize(this.name, this.record);
    return this.made;
  }
}

/** The live keys of the state service as far as they are known, and what was read of final ones. */
export class RecordIndex {
  private readonly cells = new Map<string, Held>();
  /** The same by their kind, so that nobody walks all keys for the few of one kind. */
  private readonly held = new Map<string, Map<string, Held>>();
  /** Revisions of keys removed ahead of the watch, so that older events don't bring them back. */
  private readonly removed = new Map<string, number>();
  /** Jobs by id: they are asked for most often of all. */
  private readonly jobs = new Map<string, JobRecord>();
  private readonly machines = new Map<string, MachineRecord>();
  private readonly finals = new Map<string, FinalRecord>();
  private readonly summaries = new Map<string, LazySummary>();
  private readonly byJob = new Map<string, Set<string>>();
  /** All changes up to this revision are here. */
  revision = 0;
  /** How often the machine types changed: what was made of them holds until then. */
  catalogChanges = 0;

  /** A live key's value and revision; null: there is no such key. */
  get<Value>(key: string): Held<Value> | null {
    return (this.cells.get(key) as Held<Value> | undefined) ?? null;
  }

  /** The revision of a live key's last change; 0: there is no such key. */
  revisionOf(key: string): number {
    return this.get(key)?.revision ?? 0;
  }

  /** The keys below a prefix, in no order. */
  *below<Value>(prefix: string): Generator<[string, Held<Value>]> {
    for (const [key, held] of this.held.get(kindOf(prefix)) ?? []) {
      if (key.startsWith(prefix)) yield [key, held as Held<Value>];
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
    return this.finals.get(id) ?? null;
  }

  /** All chunks, in no order. */
  *assignments(): Generator<AssignmentSummary> {
    for (const lazy of this.summaries.values()) yield lazy.summary;
  }

  /** How many chunks there are. */
  get assignmentCount(): number {
    return this.summaries.size;
  }

  /** The keys of all chunks. */
  assignmentKeys(): Iterable<string> {
    return this.summaries.keys();
  }

  /** The keys of a job's chunks. */
  assignmentKeysOf(job: string): Iterable<string> {
    return this.byJob.get(job) ?? [];
  }

  /** The chunk under a key; null: there is none. */
  assignment(key: string): AssignmentSummary | null {
    return this.summaries.get(key)?.summary ?? null;
  }

  /** All jobs that are neither done nor cancelled. */
  openJobs(): Iterable<JobRecord> {
    return this.jobs.values();
  }

  /** The chunks of a job. */
  assignmentsOf(job: string): AssignmentSummary[] {
    const found: AssignmentSummary[] = [];
    for (const key of this.byJob.get(job) ?? []) {
      const lazy = this.summaries.get(key);
      if (lazy) found.push(lazy.summary);
    }
    return found;
  }

  /** Notes how a job ended. */
  keepFinal(id: string, record: FinalRecord): void {
    this.finals.set(id, record);
    if (this.finals.size > FINAL_CACHE) {
      const oldest = this.finals.keys().next();
      if (!oldest.done) this.finals.delete(oldest.value);
    }
  }

  /** Takes over what is known of one key, unless something newer is; `undefined` is a removal. */
  apply(key: string, value: unknown, revision: number): boolean {
    if (key.startsWith(FINALS)) {
      if (value !== undefined) this.keepFinal(key.slice(FINALS.length), value as FinalRecord);
      return true;
    }
    if (!key.startsWith(LIVE)) return false;
    if (this.revisionOf(key) >= revision || (this.removed.get(key) ?? 0) >= revision) return false;
    // The answer to an earlier read or write may come after the watch: the key was removed since.
    if (value !== undefined && revision <= this.revision && !this.cells.has(key)) return false;
    if (value === undefined) this.remove(key, revision);
    else this.store(key, { value, revision });
    this.index(key, value);
    return true;
  }

  private store(key: string, cell: Held): void {
    const kind = kindOf(key);
    const group = this.held.get(kind);
    this.cells.set(key, cell);
    if (group) group.set(key, cell);
    else this.held.set(kind, new Map([[key, cell]]));
  }

  private remove(key: string, revision: number): void {
    this.cells.delete(key);
    this.held.get(kindOf(key))?.delete(key);
    if (revision > this.revision) this.removed.set(key, revision);
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
    for (const [key, removedAt] of this.removed) {
      if (removedAt <= this.revision) this.removed.delete(key);
    }
  }

  /** All live keys with the revisions of their last changes. */
  protected *known(): Generator<{ key: string; revision: number }> {
    for (const [key, { revision }] of this.cells) yield { key, revision };
  }

  private applyAssignment(key: string, record: AssignmentRecord | undefined): void {
    const name = readAssignmentKey(key);
    if (!name) return;
    const group = this.byJob.get(name.job);
    if (record === undefined) {
      this.summaries.delete(key);
      group?.delete(key);
      if (group?.size === 0) this.byJob.delete(name.job);
      return;
    }
    this.summaries.set(key, new LazySummary(name, record));
    if (group) group.add(key);
    else this.byJob.set(name.job, new Set([key]));
  }
}
