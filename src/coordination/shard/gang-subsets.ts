/** Decides when a shard's gang subsets start, stop and are returned to the leader. */

import { GANG_RESERVATION_TIMEOUT_MS, GANG_PLACED_TIMEOUT_MS } from '../../constants/gangs.js';
import { UNPLACED_RELEASE_MS } from '../../constants/shard.js';
import type { Log } from '../../storage/log.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import { rankOf, type JobSpec } from '../../protocol/model.js';
import type { Clock } from '../../transport/clock.js';
import { LOWEST_URGENT_RANK } from '../capacity/priorities.js';
import type { Assignment } from '../shard-state/assignment.js';
import type { Tasks } from '../shard-state/tasks.js';

/** The workers' heartbeat interval, and the time that a gang's task waits for the others, in s. */
export interface GangTimes {
  heartbeatIntervalS: number;
  gangWaitS: number;
}

/** The tasks, replica, clock and log that the gang subsets use. */
export interface GangSubsetDependencies {
  tasks: Tasks;
  replica: StoreReplica;
  clock: Clock;
  log: Log;
}

/**
 * A shard's gang subsets, each of which consists of the tasks of one gang that are assigned to this
 * shard. Committed placements of a gang are reservations. The tasks start once every task of the
 * gang is placed, here and in other shards, under the same attempt. When a task ends in
 * any other way than done, all tasks of the gang are stopped and returned to the leader. Once none
 * is left in any shard, the leader assigns the gang again under a new attempt.
 */
export class GangSubsets {
  constructor(
    private readonly options: GangTimes,
    private readonly dependencies: GangSubsetDependencies,
  ) {}

  private spec(assignment: Assignment): JobSpec | null {
    return this.dependencies.replica.job(assignment.job)?.spec ?? null;
  }

  /** Whether the tasks of this assignment may start now; always true if its job is not a gang. */
  mayStart(assignment: Assignment): boolean {
    if (assignment.record.attempt === undefined) return true;
    return !assignment.hasFailed && this.isFullyPlaced(assignment);
  }

  /**
   * Whether the stored records of all shards show each task of the gang as placed or done, all
   * under the attempt of this assignment, and none of the subsets as stopping.
   */
  private isFullyPlaced(assignment: Assignment): boolean {
    let placed = 0;
    for (const subset of this.dependencies.replica.assignmentsOf(assignment.job)) {
      if (subset.attempt !== assignment.record.attempt || subset.stopping) return false;
      placed += subset.placedCount + subset.done;
    }
    return placed === this.spec(assignment)?.tasks;
  }

  /**
   * Stops failed subsets. If a subset found no machines in time, its tasks are returned to the
   * leader. Returns the machines on which tasks must now be stopped. All tasks of a subset are
   * stopped at once, so that their progress is saved.
   */
  reconcile(): Set<string> {
    const stopped = new Set<string>();
    const now = this.dependencies.clock.now();
    for (const assignment of this.dependencies.tasks.gangAssignments) {
      const spec = this.spec(assignment);
      if (spec === null) continue;
      this.failIfTimedOut(assignment, now);
      const isStopVisible = this.propagateFailure(assignment, spec);
      if (assignment.hasFailed && isStopVisible) this.stopTasks(assignment, stopped);
      else if (!assignment.hasFailed && assignment.placedCount === 0)
        this.returnIfTimedOut(assignment, spec, now);
    }
    return stopped;
  }

  /** Fails a subset if the rest of its gang was not placed, or did not start, in time. */
  private failIfTimedOut(assignment: Assignment, now: number): void {
    const { log } = this.dependencies;
    const isSubsetPlaced = assignment.waitingTasks.size === 0;
    assignment.fullyPlacedAt = isSubsetPlaced ? (assignment.fullyPlacedAt ?? now) : null;
    const hasTimedOut =
      assignment.fullyPlacedAt !== null && now - assignment.fullyPlacedAt >= GANG_PLACED_TIMEOUT_MS;
    if (!assignment.hasFailed && hasTimedOut && !this.isFullyPlaced(assignment)) {
      assignment.hasFailed = true;
      log.info({ job: assignment.job }, 'gang reservation timed out');
    }
    if (!assignment.hasFailed && this.hasWaitedTooLong(assignment, now)) {
      assignment.hasFailed = true;
      log.info({ job: assignment.job }, 'gang start timed out');
    }
  }

  /**
   * Fails a subset if another shard stops its own subset of the gang, and marks a failed subset to
   * be written as stopping. Returns whether the key-value store shows the stop to the other shards.
   * No task is stopped before the store shows it, because progress is saved only if all tasks of
   * the gang are stopped at about the same time, which an outage of the store could prevent.
   */
  private propagateFailure(assignment: Assignment, spec: JobSpec): boolean {
    const { replica, tasks } = this.dependencies;
    if (assignment.tasks.size === spec.tasks) return true;
    // All shards must stop their subsets within the time that tasks wait for lost peers.
    const isStopStored = replica.assignmentsOf(assignment.job).some((subset) => subset.stopping);
    if (isStopStored) assignment.hasFailed = true;
    if (assignment.hasFailed && !assignment.committedRecord.stopping) tasks.markChanged(assignment);
    return isStopStored || assignment.committedRecord.stopping === true;
  }

  /**
   * Whether the subset's tasks have waited for the gang's other tasks until shortly before they
   * time out one by one. If they are stopped together instead, their machines become free sooner,
   * and no progress is lost because none of them has run.
   */
  private hasWaitedTooLong(assignment: Assignment, now: number): boolean {
    const { gangWaitS, heartbeatIntervalS } = this.options;
    const maxWaitMs = Math.max(gangWaitS / 2, gangWaitS - heartbeatIntervalS) * 1000;
    let since = Infinity;
    for (const task of assignment.tasks.values()) {
      if (task.state === 'done' || task.runningAt !== null) return false;
      since = Math.min(since, task.gatheringAt ?? Infinity);
    }
    return now - since >= maxWaitMs;
  }

  /** Stops all tasks of a failed subset; returns the subset to the leader once none is placed. */
  private stopTasks(assignment: Assignment, stopped: Set<string>): void {
    const machines: string[] = [];
    for (const task of [...assignment.tasks.values()]) {
      if (task.state !== 'placed' || task.isStopping) continue;
      // No start was sent for a placement that is not committed, so such a task needs no stop.
      if (this.dependencies.tasks.isCommitted(assignment, task)) {
        task.isStopping = true;
        machines.push(task.machine);
        stopped.add(task.machine);
      } else this.dependencies.tasks.requeue(assignment, task);
    }
    if (machines.length > 0) {
      this.dependencies.log.info(
        { job: assignment.job, attempt: assignment.record.attempt, machines },
        'gang stop started',
      );
    }
    if (assignment.placedCount > 0) return;
    this.dependencies.log.info(
      { job: assignment.job, attempt: assignment.record.attempt },
      'gang subset returned to leader',
    );
    this.returnWaitingTasks(assignment);
  }

  /**
   * Returns a subset to the leader if it has waited too long for machines: for
   * `UNPLACED_RELEASE_MS` if it is urgent or infeasible, otherwise for
   * `GANG_RESERVATION_TIMEOUT_MS`.
   */
  private returnIfTimedOut(assignment: Assignment, spec: JobSpec, now: number): void {
    const isUrgent = rankOf(spec.priority) >= LOWEST_URGENT_RANK;
    const maxWaitMs =
      isUrgent || assignment.isInfeasible ? UNPLACED_RELEASE_MS : GANG_RESERVATION_TIMEOUT_MS;
    const [first] = assignment.waitingTasks;
    if (first && now - first.waitingSince >= maxWaitMs) this.returnWaitingTasks(assignment);
  }

  private returnWaitingTasks(assignment: Assignment): void {
    for (const task of [...assignment.waitingTasks])
      this.dependencies.tasks.returnToLeader(assignment, task);
  }

  /** Names of the machines on which this shard has placed tasks of a job's gang. */
  machinesOf(job: string): Set<string> {
    const machines = new Set<string>();
    for (const assignment of this.dependencies.tasks.assignmentsOf(job)) {
      if (assignment.record.attempt === undefined) continue;
      for (const task of assignment.tasks.values()) {
        if (task.state === 'placed') machines.add(task.machine);
      }
    }
    return machines;
  }
}
