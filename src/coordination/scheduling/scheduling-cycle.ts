/** The state of one scheduling cycle of a shard. */

import { rankOf, type JobSpec } from '../../protocol/model.js';
import { isEligible } from '../capacity/machine-capacity.js';
import type { Assignment } from '../shard-state/assignment.js';
import type { Machines } from '../shard-state/machines.js';
import type { Tasks } from '../shard-state/tasks.js';
import {
  countTasksByType,
  listCandidates,
  mayRunOn,
  type Candidate,
  type JobLookup,
} from './candidates.js';
import type { GangReservations } from './gang-reservations.js';

/** What decides which work a cycle considers, and which machines that work may use. */
export interface SchedulingCycleRules {
  job: JobLookup;
  /** Whether nothing of a job runs long after it came. */
  waitsLong: (id: string) => boolean;
  /** The gang for which this shard reserves resources; null: it reserves none. */
  nextGang: () => JobSpec | null;
  /** Whether a job waits after failures. */
  pauses: (id: string) => boolean;
}

/** What a cycle reads. */
interface SchedulingCycleDependencies {
  tasks: Tasks;
  machines: Machines;
  reservations: GangReservations;
}

/** An assignment with tasks that wait for a machine, and its job's description. */
export interface WaitingAssignment {
  assignment: Assignment;
  spec: JobSpec;
}

/**
 * What waits, by priority, then in the leader's order, which is that of the assignments' numbers. By
 * deadline, jobs that can't meet theirs would pass all others here, and one whose turn came late
 * would be passed until it is given back.
 */
export function waitingAssignments(tasks: Tasks, rules: SchedulingCycleRules): WaitingAssignment[] {
  const waiting: WaitingAssignment[] = [];
  for (const assignment of tasks.waitingAssignments) {
    const job = rules.job(assignment.job);
    if (!job || rules.pauses(assignment.job)) continue;
    waiting.push({ assignment, spec: job.spec });
  }
  return waiting.sort(
    (a, b) =>
      rankOf(b.spec.priority) - rankOf(a.spec.priority) ||
      a.assignment.number - b.assignment.number,
  );
}

/** The machines of a cycle, and what its decisions so far have changed. */
export class SchedulingCycle {
  /** Queued and running tasks by machine type. */
  readonly taskCounts: Map<string, number>;
  /** Machines on which tasks must now be stopped. */
  readonly machinesWithStops = new Set<string>();
  /** All machines that may take tasks; their free resources shrink with each task assigned. */
  private readonly candidates: readonly Candidate[];
  /** The gang for which resources are reserved against arrays. */
  private readonly nextGang: JobSpec | null;
  /** The lowest rank of all placed tasks: work that doesn't rank above it can't preempt any. */
  private readonly lowestRank: number;

  constructor(
    private readonly rules: SchedulingCycleRules,
    { machines, tasks, reservations }: SchedulingCycleDependencies,
  ) {
    this.candidates = listCandidates(machines, tasks);
    const nextGang = rules.nextGang();
    this.nextGang = nextGang;
    if (nextGang) {
      const isUsable = ({ machine }: Candidate): boolean =>
        !machine.spot && isEligible(nextGang, machine);
      reservations.excludeArrays(nextGang, this.candidates.filter(isUsable));
    }
    this.taskCounts = countTasksByType(machines, tasks);
    this.lowestRank = lowestPlacedRank(tasks, rules.job);
  }

  /** The machines that an assignment may use, less those that are reserved for gangs. */
  candidatesFor({ assignment, spec }: WaitingAssignment): Candidate[] {
    const isExcludedArray =
      this.nextGang !== null && spec.kind === 'array' && !this.rules.waitsLong(assignment.job);
    return this.candidates.filter(
      ({ machine, isReserved, excludesArrays }) =>
        !isReserved && !(excludesArrays && isExcludedArray) && mayRunOn(machine, spec, assignment),
    );
  }

  /** Whether there may be tasks that a job can preempt. */
  mayPreempt(spec: JobSpec): boolean {
    return rankOf(spec.priority) > this.lowestRank;
  }

  /** Counts a task that was assigned to a machine of this type. */
  countTask(type: string): void {
    this.taskCounts.set(type, (this.taskCounts.get(type) ?? 0) + 1);
  }
}

/** The lowest rank of all placed tasks; Infinity: none is placed. */
function lowestPlacedRank(tasks: Tasks, findJob: JobLookup): number {
  let lowest = Infinity;
  for (const assignment of tasks.assignments.values()) {
    if (assignment.placedCount === 0) continue;
    const spec = findJob(assignment.job)?.spec;
    if (spec) lowest = Math.min(lowest, rankOf(spec.priority));
  }
  return lowest;
}
