/** The leader's running sums over all chunks. */

import { LEDGER_REBUILD_MS } from '../../constants.js';
import { CHUNKS, JOBS } from '../../storage/keys.js';
import type { ChunkSummary } from '../../storage/records.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import { rankOf, type JobSpec } from '../../protocol/model.js';
import type { Clock } from '../../transport/clock.js';
import type { MachineAmounts } from './machine-capacity.js';
import { URGENT, placeKey } from './priorities.js';

/** What a team uses. */
export interface Usage {
  cpus: number;
  gpus: number;
}

/** What is placed on a machine. */
export type Placed = MachineAmounts;

/** The sums of a machine on which nothing is placed. */
export function nothingPlaced(): Placed {
  return {
    cpus: 0,
    gpus: 0,
    memoryGb: 0,
    tasks: 0,
    lowCpus: 0,
    lowMemoryGb: 0,
    endingCpus: 0,
    endingMemoryGb: 0,
  };
}

/** How many tasks of a job are assigned to parts, done, and placed on machines. */
export interface Progress {
  assigned: number;
  done: number;
  live: number;
}

/** How many tasks of a job must be done for it to be over: of a gang, which ends as a whole, one. */
export function endsAt(spec: JobSpec): number {
  if (spec.kind === 'service') return Infinity;
  return spec.kind === 'gang' ? 1 : spec.tasks;
}

/** What one chunk adds to the sums, stored so that exactly this can be subtracted again. */
interface Entry {
  chunk: ChunkSummary;
  low: boolean;
  array: boolean;
  /** CPUs that end in a second. */
  ending: number;
}

/**
 * The leader's sums over all chunks, updated with each change of one: the cost of a round then
 * depends on what is open and free, not on what runs. They are calculated anew now and then, since
 * sums of decimals drift.
 */
export class Ledger {
  private entries = new Map<string, Entry>();
  /** What is placed on each machine. */
  readonly machines = new Map<string, Placed>();
  /** What each team uses. */
  readonly teams = new Map<string, Usage>();
  /** How far each job has got. */
  readonly jobs = new Map<string, Progress>();
  /** CPUs of arrays that end in a second, by place. */
  readonly ending = new Map<string, number>();
  /** Chunks of open jobs with tasks that wait for a place. */
  readonly waiting = new Map<string, ChunkSummary>();
  /** Arrays that seem to be done. */
  readonly ripe = new Set<string>();
  private builtAt = -Infinity;

  constructor(
    private readonly replica: StoreReplica,
    private readonly clock: Clock,
  ) {}

  /** Called before a round: calculates the sums anew when that is due. */
  refresh(): void {
    const now = this.clock.now();
    if (now - this.builtAt < LEDGER_REBUILD_MS) return;
    this.builtAt = now;
    this.entries = new Map();
    for (const sums of [this.machines, this.teams, this.jobs, this.ending, this.waiting]) {
      sums.clear();
    }
    this.ripe.clear();
    for (const key of this.replica.chunkKeys()) this.add(key);
  }

  /** A key changed in the replica. */
  changed(key: string): void {
    if (key.startsWith(CHUNKS)) this.recount(key);
    else if (key.startsWith(JOBS)) {
      for (const chunk of this.replica.chunkKeysOf(key.slice(JOBS.length))) this.recount(chunk);
    }
  }

  private recount(key: string): void {
    const entry = this.entries.get(key);
    if (entry) {
      this.entries.delete(key);
      this.waiting.delete(key);
      this.count(entry, -1);
    }
    this.add(key);
  }

  private add(key: string): void {
    const chunk = this.replica.chunk(key);
    if (!chunk) return;
    const spec: JobSpec | null = this.replica.job(chunk.job)?.spec ?? null;
    const ends = spec !== null && spec.kind !== 'service';
    const entry: Entry = {
      chunk,
      low: spec === null || rankOf(spec.priority) < URGENT,
      array: spec?.kind === 'array',
      ending: ends ? (chunk.liveCount * chunk.cpus) / Math.max(1, spec.estimateS) : 0,
    };
    this.entries.set(key, entry);
    this.count(entry, 1);
    if (spec && chunk.waiting > 0) this.waiting.set(key, chunk);
    const done = this.jobs.get(chunk.job)?.done ?? 0;
    if (spec && done >= endsAt(spec)) this.ripe.add(chunk.job);
  }

  /** Adds what a chunk counts for, or subtracts it. */
  private count(entry: Entry, sign: 1 | -1): void {
    const { chunk, ending } = entry;
    this.countTeam(chunk, sign);
    this.countJob(chunk, sign);
    if (ending > 0) {
      const place = placeKey(chunk.part, chunk.zone);
      this.ending.set(place, (this.ending.get(place) ?? 0) + sign * ending);
    }
    for (const name of chunk.on) this.countTask(name, entry, sign);
  }

  private countTeam(chunk: ChunkSummary, sign: 1 | -1): void {
    const use = this.teams.get(chunk.team) ?? { cpus: 0, gpus: 0 };
    this.teams.set(chunk.team, use);
    use.cpus += sign * chunk.active * chunk.cpus;
    use.gpus += sign * chunk.active * chunk.gpus;
  }

  private countJob(chunk: ChunkSummary, sign: 1 | -1): void {
    const progress = this.jobs.get(chunk.job) ?? { assigned: 0, done: 0, live: 0 };
    this.jobs.set(chunk.job, progress);
    progress.assigned += sign * chunk.ids.length;
    progress.done += sign * chunk.done;
    progress.live += sign * chunk.liveCount;
    if (progress.assigned === 0) this.jobs.delete(chunk.job);
  }

  private countTask(machine: string, { chunk, low, array }: Entry, sign: 1 | -1): void {
    const placed = this.machines.get(machine) ?? nothingPlaced();
    this.machines.set(machine, placed);
    placed.cpus += sign * chunk.cpus;
    placed.gpus += sign * chunk.gpus;
    placed.memoryGb += sign * chunk.memoryGb;
    placed.tasks += sign;
    if (low) {
      placed.lowCpus += sign * chunk.cpus;
      placed.lowMemoryGb += sign * chunk.memoryGb;
    }
    if (array) {
      placed.endingCpus += sign * chunk.cpus;
      placed.endingMemoryGb += sign * chunk.memoryGb;
    }
    if (placed.tasks === 0) this.machines.delete(machine);
  }
}
