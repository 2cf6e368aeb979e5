/** Index of the assignments by key and by job. */

import { readAssignmentKey, type AssignmentName } from './keys.js';
import { summarize, type AssignmentRecord, type AssignmentSummary } from './records.js';

/** An assignment whose summary is computed on first use, because most controllers never use it. */
class LazySummary {
  private computed: AssignmentSummary | null = null;

  constructor(
    private readonly name: AssignmentName,
    private readonly record: AssignmentRecord,
  ) {}

  get summary(): AssignmentSummary {
    this.computed ??= summarize(this.name, this.record);
    return this.computed;
  }
}

/** Summaries of all stored assignments, found by key or by job. */
export class AssignmentIndex {
  private readonly summaries = new Map<string, LazySummary>();
  private readonly keysByJob = new Map<string, Set<string>>();

  get count(): number {
    return this.summaries.size;
  }

  keys(): Iterable<string> {
    return this.summaries.keys();
  }

  keysOf(job: string): Iterable<string> {
    return this.keysByJob.get(job) ?? [];
  }

  get(key: string): AssignmentSummary | null {
    return this.summaries.get(key)?.summary ?? null;
  }

  *all(): Generator<AssignmentSummary> {
    for (const lazy of this.summaries.values()) yield lazy.summary;
  }

  ofJob(job: string): AssignmentSummary[] {
    const found: AssignmentSummary[] = [];
    for (const key of this.keysOf(job)) {
      const lazy = this.summaries.get(key);
      if (lazy) found.push(lazy.summary);
    }
    return found;
  }

  /** Updates the index after a change of an assignment's record; `record` undefined: removed. */
  update(key: string, record: AssignmentRecord | undefined): void {
    const name = readAssignmentKey(key);
    if (!name) return;
    if (record === undefined) this.remove(key, name.job);
    else this.set(key, name, record);
  }

  private remove(key: string, job: string): void {
    const keys = this.keysByJob.get(job);
    this.summaries.delete(key);
    keys?.delete(key);
    if (keys?.size === 0) this.keysByJob.delete(job);
  }

  private set(key: string, name: AssignmentName, record: AssignmentRecord): void {
    const keys = this.keysByJob.get(name.job);
    this.summaries.set(key, new LazySummary(name, record));
    if (keys) keys.add(key);
    else this.keysByJob.set(name.job, new Set([key]));
  }
}
