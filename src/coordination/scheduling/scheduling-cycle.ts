/** One scheduling cycle of a shard: the waiting work, and the machines that it may use. */

import { rankOf, type JobSpec } from '../../protocol/model.js';
import { isEligible } from '../capacity/machine-capacity.js';
import type { Assignment } from '../shard-state/assignment.js';
import type { Machines } from '../shard-state/machines.js';
import type { Tasks } from '../shard-state/tasks.js';
import {
  countTasksByType,
  listCandidates,
  mayRunOn,
  type CandidateMachine,
  type JobLookup,
} from './candidates.js';
import type { GangReservations } from './gang-reservations.js';

/** Rules on which work a cycle considers, and which machines that work may use. */
export interface SchedulingCycleRules {
  findJob: JobLookup;
  /**
   * Whether a job was accepted at least `ARRAY_USES_RESERVED_AFTER_MS` ago and none of its tasks is
   * placed.
   */
  hasWaitedLong: (id: string) => boolean;
  /**
   * The largest recent gang that is not urgent, if this shard keeps arrays off some machines so that
   * a similar gang would fit; null: the shard keeps arrays off no machine.
   */
  expectedGang: () => JobSpec | null;
  /** Whether a job is paused after failures. */
  isPaused: (id: string) => boolean;
}

/** Services and state that a cycle uses. */
interface SchedulingCycleDependencies {
  tasks: Tasks;
  machines: Machines;
  reservations: GangReservations;
}

/** An assignment with tasks that wait for a machine, and its job's specification. */
export interface WaitingAssignment {
  assignment: Assignment;
  spec: JobSpec;
}

/**
 * Lists the assignments with waiting tasks by priority, then in the order in which the leader made
 * them, which is that of their numbers. They are not sorted by deadline, because jobs that can't
 * meet their deadlines would then precede all others, and tasks that the leader assigned late would
 * wait until they are returned to the leader.
 */
export function waitingAssignments(tasks: Tasks, rules: SchedulingCycleRules): WaitingAssignment[] {
  const waiting: WaitingAssignment[] = [];
  for (const assignment of tasks.waitingAssignments) {
    const job = rules.findJob(assignment.job);
    if (!job || rules.isPaused(assignment.job)) continue;
    waiting.push({ assignment, spec: job.spec });
  }
  return waiting.sort(
    (a, b) =>
      rankOf(b.spec.priority) - rankOf(a.spec.priority) ||
      a.assignment.number - b.assignment.number,
  );
}

/** The machines of a cycle, and the effects of its decisions so far. */
export class SchedulingCycle {
  /** Number of placed tasks by machine type. */
  readonly taskCounts: Map<string, number>;
  /** Machines on which tasks must now be stopped. */
  readonly machinesWithStops = new Set<string>();
  /** All machines that may take tasks; their free resources decrease with each task assigned. */
  private readonly candidates: readonly CandidateMachine[];
  /**
   * The recent gang for which arrays are kept off some machines, because a similar gang may be
   * assigned to this shard; null: arrays may use all machines.
   */
  private readonly expectedGang: JobSpec | null;
  /** The lowest rank of all placed tasks; only a job of a higher rank can preempt a task. */
  private readonly lowestRank: number;

  constructor(
    private readonly rules: SchedulingCycleRules,
    { machines, tasks, reservations }: SchedulingCycleDependencies,
  ) {
    this.candidates = listCandidates(machines, tasks);
    const expectedGang = rules.expectedGang();
    this.expectedGang = expectedGang;
    if (expectedGang) {
      const isUsable = ({ machine }: CandidateMachine): boolean =>
        !machine.spot && isEligible(expectedGang, machine);
      reservations.excludeArrays(expectedGang, this.candidates.filter(isUsable));
    }
    this.taskCounts = countTasksByType(machines, tasks);
    this.lowestRank = lowestPlacedRank(tasks, rules.findJob);
  }

  /**
   * The machines that an assignment may use, without those that are reserved for gangs. For an
   * array that has not waited long, also without those that are kept for the expected gang.
   */
  candidatesFor({ assignment, spec }: WaitingAssignment): CandidateMachine[] {
    const isExcludedArray =
      this.expectedGang !== null &&
      spec.kind === 'array' &&
      !this.rules.hasWaitedLong(assignment.job);
    return this.candidates.filter(
      ({ machine, isReserved, excludesArrays }) =>
        !isReserved && !(excludesArrays && isExcludedArray) && mayRunOn(machine, spec, assignment),
    );
  }

  /** Whether any placed task ranks below a job. */
  mayPreempt(spec: JobSpec): boolean {
    return rankOf(spec.priority) > this.lowestRank;
  }

  /** Counts a task that was assigned to a machine of this type. */
  countTask(type: string): void {
    this.taskCounts.set(type, (this.taskCounts.get(type) ?? 0) + 1);
  }
}

/** The lowest rank of all placed tasks; Infinity if none is placed. */
function lowestPlacedRank(tasks: Tasks, findJob: JobLookup): number {
  let lowest = Infinity;
  for (const assignment of tasks.assignments.values()) {
    if (assignment.placedCount === 0) continue;
    const spec = findJob(assignment.job)?.spec;
    if (spec) lowest = Math.min(lowest, rankOf(spec.priority));
  }
  return lowest;
}
