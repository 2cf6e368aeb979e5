/** Decides when a shard's shares of gangs start, when they stop, and when they return to the leader. */

import { GANG_RESERVATION_TIMEOUT_MS, GANG_PLACED_TIMEOUT_MS } from '../../constants/gangs.js';
import { UNPLACED_RELEASE_MS } from '../../constants/shard.js';
import type { Log } from '../../storage/log.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import { rankOf, type JobSpec } from '../../protocol/model.js';
import type { Clock } from '../../transport/clock.js';
import { URGENT } from '../capacity/priorities.js';
import type { Assignment } from '../shard-state/assignment.js';
import type { Tasks } from '../shard-state/tasks.js';

/** The workers' times for gangs. */
export interface GangTimes {
  heartbeatIntervalS: number;
  gangWaitS: number;
}

/** What the shares read and write. */
export interface GangShareDependencies {
  tasks: Tasks;
  replica: StoreReplica;
  clock: Clock;
  log: Log;
}

/**
 * A shard's shares of gangs: the tasks of a gang that are assigned to this shard. A share's
 * placements are reserved when they are committed; they start once every task of the gang is
 * reserved, here and in other shards, all under one attempt. When one of its tasks ends otherwise
 * than done, all end, and the whole share returns to the leader, which assigns the gang anew under a
 * new attempt when nothing of the old one is left anywhere.
 */
export class GangShares {
  constructor(
    private readonly options: GangTimes,
    private readonly dependencies: GangShareDependencies,
  ) {}

  private spec(assignment: Assignment): JobSpec | null {
    return this.dependencies.replica.job(assignment.job)?.spec ?? null;
  }

  /** Whether tasks of this assignment may start now. */
  mayStart(assignment: Assignment): boolean {
    if (assignment.record.attempt === undefined) return true;
    return !assignment.hasFailed && this.isFullyPlaced(assignment);
  }

  /** Whether all tasks of the gang have their machines, by what the key-value store holds. */
  private isFullyPlaced(assignment: Assignment): boolean {
    let placed = 0;
    for (const share of this.dependencies.replica.assignmentsOf(assignment.job)) {
      if (share.attempt !== assignment.record.attempt || share.stopping) return false;
      placed += share.placedCount + share.done;
    }
    return placed === this.spec(assignment)?.tasks;
  }

  /**
   * Stops shares that failed, and returns those that found no machines in time to the leader. Gives
   * the machines on which tasks must now be stopped: all at once, so that their progress is saved.
   */
  reconcile(): Set<string> {
    const stopped = new Set<string>();
    const now = this.dependencies.clock.now();
    for (const assignment of this.dependencies.tasks.gangAssignments) {
      const spec = this.spec(assignment);
      if (spec === null) continue;
      this.failOverdue(assignment, now);
      const isAnnounced = this.propagateFailure(assignment, spec);
      if (assignment.hasFailed && isAnnounced) this.stopTasks(assignment, stopped);
      else if (!assignment.hasFailed && assignment.placedCount === 0)
        this.returnOverdue(assignment, spec, now);
    }
    return stopped;
  }

  /** Fails a share if the rest of its gang was not reserved, or did not start, in time. */
  private failOverdue(assignment: Assignment, now: number): void {
    const { log } = this.dependencies;
    const isPlacedHere = assignment.waitingTasks.size === 0;
    assignment.fullyPlacedAt = isPlacedHere ? (assignment.fullyPlacedAt ?? now) : null;
    const isLate =
      assignment.fullyPlacedAt !== null && now - assignment.fullyPlacedAt >= GANG_PLACED_TIMEOUT_MS;
    if (!assignment.hasFailed && isLate && !this.isFullyPlaced(assignment)) {
      assignment.hasFailed = true;
      log.info({ job: assignment.job }, 'gang reservation timed out');
    }
    if (!assignment.hasFailed && this.hasWaitedTooLong(assignment, now)) {
      assignment.hasFailed = true;
      log.info({ job: assignment.job }, 'gang start timed out');
    }
  }

  /**
   * Fails a share if another shard stops its own, and announces a failed one to the other shards.
   * Returns whether they can see the stop. No task is told before that: progress is saved only where
   * all are told at about the same time, which an outage of the key-value store would prevent.
   */
  private propagateFailure(assignment: Assignment, spec: JobSpec): boolean {
    const { replica, tasks } = this.dependencies;
    if (assignment.tasks.size === spec.tasks) return true;
    // All shards must stop their shares within the time that tasks wait for lost peers.
    const isStored = replica.assignmentsOf(assignment.job).some((share) => share.stopping);
    if (isStored) assignment.hasFailed = true;
    if (assignment.hasFailed && !assignment.committedRecord.stopping) tasks.markChanged(assignment);
    return isStored || assignment.committedRecord.stopping === true;
  }

  /**
   * Whether tasks here have waited for the others until just before they end by themselves, one by
   * one. Stopped together they free their machines sooner, and nothing is lost.
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

  /** Stops all tasks of a failed share; once none is left it returns to the leader. */
  private stopTasks(assignment: Assignment, stopped: Set<string>): void {
    const machines: string[] = [];
    for (const task of [...assignment.tasks.values()]) {
      if (task.state !== 'placed' || task.isStopping) continue;
      // What was never committed was never sent either.
      if (this.dependencies.tasks.isCommitted(assignment, task)) {
        task.isStopping = true;
        machines.push(task.machine);
        stopped.add(task.machine);
      } else this.dependencies.tasks.requeue(assignment, task);
    }
    if (machines.length > 0) {
      this.dependencies.log.info(
        { job: assignment.job, attempt: assignment.record.attempt, machines },
        'stopping gang',
      );
    }
    if (assignment.placedCount > 0) return;
    this.dependencies.log.info(
      { job: assignment.job, attempt: assignment.record.attempt },
      'gang returned to leader',
    );
    this.returnWaitingTasks(assignment);
  }

  /** Returns a share that has waited for machines for its time; infeasible ones wait less. */
  private returnOverdue(assignment: Assignment, spec: JobSpec, now: number): void {
    const isUrgent = rankOf(spec.priority) >= URGENT;
    const patienceMs =
      isUrgent || assignment.isInfeasible ? UNPLACED_RELEASE_MS : GANG_RESERVATION_TIMEOUT_MS;
    const [first] = assignment.waitingTasks;
    if (first && now - first.waitingSince >= patienceMs) this.returnWaitingTasks(assignment);
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
