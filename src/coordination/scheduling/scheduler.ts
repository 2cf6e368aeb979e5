/** One part's rounds of placing: waiting tasks go to machines, in the order of their priorities. */

import { ATTEMPT_PARTS, ATTEMPT_STEP, FETCH_SLOWEST } from '../../constants.js';
import { rankOf, type JobSpec } from '../../protocol/model.js';
import type { Log } from '../../storage/log.js';
import type { Clock } from '../../transport/clock.js';
import type { Bandit } from './bandit.js';
import { countTasksByType, listCandidates, mayRunOn, type Candidate } from './candidates.js';
import { isEligible } from '../capacity/machine-capacity.js';
import { Consolidation } from './consolidation.js';
import { GangLayouts, type GangLayout } from './gang-layout.js';
import { GangReservations } from './gang-reservations.js';
import { MachineChoice, type MachineChoiceOptions } from './machine-choice.js';
import type { Machines } from '../shard-state/machines.js';
import { Preemption, type PreemptionRules } from './preemption.js';
import { take } from '../capacity/resources.js';
import type { Chunk, Slot, Tasks } from '../shard-state/tasks.js';
import { TermNumbers } from '../election/term-numbers.js';

/** What placing needs of its part, beside tasks and machines. */
export interface PlacingOptions extends MachineChoiceOptions, PreemptionRules {
  /** The part's number and the term of its owner; both are in the attempt numbers. */
  number: number;
  term: number;
  /** Whether nothing of a job runs long after it came. */
  waitsLong: (id: string) => boolean;
  /** The gang for which this part reserves some room; null: it reserves none. */
  nextGang: () => JobSpec | null;
  /** Whether a job waits after failures. */
  pauses: (id: string) => boolean;
  /** Seconds for which a gang's task waits for the others. */
  gangWaitS: number;
}

/** What placing reads and writes. */
export interface PlacingDependencies {
  tasks: Tasks;
  machines: Machines;
  bandit: Bandit;
  clock: Clock;
  log: Log;
}

/** A chunk with tasks that wait for a place, and its job's description. */
interface WaitingChunk {
  chunk: Chunk;
  spec: JobSpec;
}

/** The state of one round. */
interface Round {
  /** All machines that may take tasks; their room shrinks with each placement. */
  candidates: readonly Candidate[];
  /** The gang for which some room is reserved against arrays. */
  nextGang: JobSpec | null;
  /** Queued and running tasks by machine type. */
  load: Map<string, number>;
  /** The lowest rank of all work that is placed: what doesn't rank above it can't stop anything. */
  lowestRank: number;
  /** Machines on which tasks must now be stopped. */
  stopped: Set<string>;
}

/** Decides where a part's waiting tasks go. */
export class Placing {
  private readonly attempts: TermNumbers;
  private readonly choice: MachineChoice;
  private readonly preemption: Preemption;
  private readonly layouts: GangLayouts;
  private readonly reservations: GangReservations;
  private readonly consolidation: Consolidation;

  constructor(
    private readonly options: PlacingOptions,
    private readonly dependencies: PlacingDependencies,
  ) {
    const { tasks, machines, bandit, clock } = dependencies;
    const range = options.term * ATTEMPT_PARTS + options.number;
    this.attempts = new TermNumbers(range * ATTEMPT_STEP, ATTEMPT_STEP);
    this.choice = new MachineChoice(options, machines, bandit);
    this.preemption = new Preemption(options, dependencies);
    this.layouts = new GangLayouts(this.preemption, options.job, clock);
    this.reservations = new GangReservations(tasks, options.job);
    this.consolidation = new Consolidation(options.job, dependencies);
  }

  /** The part needs a new term before it has used all attempts of this one. */
  get isRunningOut(): boolean {
    return this.attempts.isRunningOut;
  }

  /** Moves services off little-used machines; returns those on which tasks must now be stopped. */
  consolidate(): Set<string> {
    return this.consolidation.run();
  }

  /** Places what waits; returns the machines on which tasks must now be stopped. */
  place(): Set<string> {
    const waiting = this.waitingChunks();
    if (waiting.length === 0) return new Set();
    const round = this.startRound();
    let short = false;
    for (const entry of waiting) {
      const open = this.openTo(entry, round);
      const isGang = entry.chunk.record.attempt !== undefined;
      const placed = isGang
        ? this.placeShare(entry, open, round)
        : this.placeTasks(entry, open, round);
      if (!placed) short = true;
    }
    // Room is short: a machine that was being emptied is needed after all.
    if (short) {
      for (const machine of this.dependencies.machines.all.values()) machine.closing = false;
    }
    return round.stopped;
  }

  /**
   * What waits, by priority, then in the leader's order, which is that of the chunks' numbers. By
   * deadline, jobs that can't meet theirs would pass all others here, and one whose turn came late
   * would be passed until it is given back.
   */
  private waitingChunks(): WaitingChunk[] {
    const waiting: WaitingChunk[] = [];
    for (const chunk of this.dependencies.tasks.waiting) {
      const job = this.options.job(chunk.job);
      if (!job || this.options.pauses(chunk.job)) continue;
      waiting.push({ chunk, spec: job.spec });
    }
    return waiting.sort(
      (a, b) =>
        rankOf(b.spec.priority) - rankOf(a.spec.priority) || a.chunk.number - b.chunk.number,
    );
  }

  private startRound(): Round {
    const { machines, tasks } = this.dependencies;
    const candidates = listCandidates(machines, tasks);
    const nextGang = this.options.nextGang();
    if (nextGang) {
      this.reservations.excludeArrays(
        nextGang,
        candidates.filter(({ machine }) => !machine.spot && isEligible(nextGang, machine)),
      );
    }
    const load = countTasksByType(machines, tasks);
    return { candidates, nextGang, load, lowestRank: this.lowestRank(), stopped: new Set() };
  }

  private lowestRank(): number {
    let lowest = Infinity;
    for (const chunk of this.dependencies.tasks.chunks.values()) {
      if (chunk.placed === 0) continue;
      const spec = this.options.job(chunk.job)?.spec;
      if (spec) lowest = Math.min(lowest, rankOf(spec.priority));
    }
    return lowest;
  }

  /** The machines that a chunk may use, less those whose room is reserved for gangs. */
  private openTo({ chunk, spec }: WaitingChunk, round: Round): Candidate[] {
    const isExcluded =
      round.nextGang !== null && spec.kind === 'array' && !this.options.waitsLong(chunk.job);
    return round.candidates.filter(
      ({ machine, reserved, excludesArrays }) =>
        !reserved && !(excludesArrays && isExcluded) && mayRunOn(machine, spec, chunk),
    );
  }

  /** Places tasks one by one; false: there is no room for some. */
  private placeTasks(entry: WaitingChunk, open: readonly Candidate[], round: Round): boolean {
    const { chunk, spec } = entry;
    for (const slot of [...chunk.waiting]) {
      let target = this.choice.choose(spec, chunk.record, open, round.load);
      if (!target && rankOf(spec.priority) > round.lowestRank) {
        target = this.preemption.makeRoom(spec, chunk.record, open, round.stopped);
      }
      // No room for one task of a chunk is none for the others: they are alike.
      if (!target) return false;
      this.assign(entry, slot, target, round);
    }
    return true;
  }

  /**
   * All tasks of a gang's share at once, under the attempt that the leader gave it; or none: then
   * room is reserved for it. False: there was no room.
   */
  private placeShare(entry: WaitingChunk, open: readonly Candidate[], round: Round): boolean {
    const { chunk, spec } = entry;
    if (chunk.broken || chunk.placed > 0) return true;
    const layout = this.layOut(entry, open, round);
    if (!layout) {
      chunk.infeasible = !this.reservations.reserve(chunk, open);
      return false;
    }
    for (const [candidate, victims] of layout.victims) {
      this.preemption.stop(spec, candidate, victims, round.stopped);
    }
    for (const [at, slot] of [...chunk.waiting].entries()) {
      const target = layout.places[at];
      if (!target) break;
      this.assign(entry, slot, target, round);
    }
    return true;
  }

  private layOut(
    { chunk, spec }: WaitingChunk,
    open: readonly Candidate[],
    round: Round,
  ): GangLayout | null {
    return this.layouts.find({
      spec,
      chunk,
      candidates: open,
      types: this.choice.rankTypes(spec, open, round.load),
      fetches: {
        inTime: (machine) => this.choice.fetchesInTime(machine, spec),
        whileOthersWait: (machine) =>
          this.choice.fetchSeconds(machine, spec) * FETCH_SLOWEST <= this.options.gangWaitS,
      },
    });
  }

  /** Places one task on a machine. */
  private assign(
    { chunk, spec }: WaitingChunk,
    slot: Slot,
    target: Candidate,
    { load }: Round,
  ): void {
    take(target.room, chunk.record);
    target.empty = false;
    const { type, name } = target.machine;
    load.set(type, (load.get(type) ?? 0) + 1);
    const context = this.choice.context(spec, type, load);
    const attempt = chunk.record.attempt ?? this.attempts.next();
    this.dependencies.tasks.place(chunk, slot, { machine: name, attempt, context });
  }
}
