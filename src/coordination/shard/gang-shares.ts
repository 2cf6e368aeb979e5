/** Decides when a part's shares of gangs start, when they are stopped, and when they are given back. */

import {
  GANG_HOLD_MS,
  GANG_LOSS_S,
  GANG_RESERVE_MS,
  SHARED_STOP_MS,
} from '../../constants/gangs.js';
import { UNPLACED_RELEASE_MS } from '../../constants/shard.js';
import type { Log } from '../../storage/log.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import { rankOf, type JobSpec } from '../../protocol/model.js';
import type { Clock } from '../../transport/clock.js';
import { URGENT } from '../capacity/priorities.js';
import type { Machines } from '../shard-state/machines.js';
import type { Assignment, Tasks } from '../shard-state/tasks.js';

/** The workers' times for gangs. */
export interface GangTimes {
  heartbeatIntervalS: number;
  gangWaitS: number;
  gangPeerS: number;
}

/** What the shares read and write. */
export interface GangShareDependencies {
  tasks: Tasks;
  machines: Machines;
  replica: StoreReplica;
  clock: Clock;
  log: Log;
}

/**
 * A part's shares of gangs. A share's placements are reserved when they are committed; they start
 * once every task of the gang is reserved, here and in other parts, all under one attempt. When one
 * of its tasks ends otherwise than done, all end, and the whole share goes back to the leader, which
 * hands the gang out anew under a new attempt when nothing of the old one is left anywhere.
 */
export class GangShares {
  constructor(
    private readonly options: GangTimes,
    private readonly dependencies: GangShareDependencies,
  ) {}

  private spec(assignment: Assignment): JobSpec | null {
    return this.dependencies.replica.job(assignment.job)?.spec ?? null;
  }

  /** Whether tasks of this chunk may start now. */
  mayStart(assignment: Assignment): boolean {
    if (assignment.record.attempt === undefined) return true;
    return !assignment.hasFailed && this.isFullyPlaced(assignment);
  }

  /** Whether all tasks of the gang have their machines, by what the state service holds. */
  private isFullyPlaced(assignment: Assignment): boolean {
    let placed = 0;
    for (const share of this.dependencies.replica.assignmentsOf(assignment.job)) {
      if (share.attempt !== assignment.record.attempt || share.stopping) return false;
      placed += share.placedCount + share.done;
    }
    return placed === this.spec(assignment)?.tasks;
  }

  /**
   * Stops shares that failed, gives back those that found no room or whose other shares are missing.
   * Returns the machines on which tasks must now be stopped: all at once, so that their progress is
   * saved.
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
    const allPlaced = assignment.waitingTasks.size === 0;
    assignment.fullyPlacedAt = allPlaced ? (assignment.fullyPlacedAt ?? now) : null;
    const late =
      assignment.fullyPlacedAt !== null && now - assignment.fullyPlacedAt >= GANG_RESERVE_MS;
    if (!assignment.hasFailed && late && !this.isFullyPlaced(assignment)) {
      assignment.hasFailed = true;
      log.info({ job: assignment.job }, 'gang not reserved in time');
    }
    if (!assignment.hasFailed && this.hasWaitedTooLong(assignment, now)) {
      assignment.hasFailed = true;
      log.info({ job: assignment.job }, 'gang withdrawn, it was not complete in time');
    }
  }

  /**
   * Fails a share if another part stops its own, and tells the other parts of a failed one. Returns
   * whether they can see the stop. No task is told before that: progress is saved only where all
   * are told at about the same time, which an outage of the state service would prevent.
   */
  private propagateFailure(assignment: Assignment, spec: JobSpec): boolean {
    const { replica, tasks } = this.dependencies;
    if (assignment.tasks.size === spec.tasks) return true;
    // All parts must stop their shares within the time that tasks wait for lost peers.
    const isStored = replica.assignmentsOf(assignment.job).some((share) => share.stopping);
    if (isStored) assignment.hasFailed = true;
    if (assignment.hasFailed && !assignment.committedRecord.stopping) tasks.markChanged(assignment);
    return isStored || assignment.committedRecord.stopping === true;
  }

  /**
   * Whether tasks here have waited for the others until just before they end by themselves, one by
   * one. Withdrawn together they free their machines sooner, and nothing is lost.
   */
  private hasWaitedTooLong(assignment: Assignment, now: number): boolean {
    const { gangWaitS, heartbeatIntervalS } = this.options;
    const patienceMs = Math.max(gangWaitS / 2, gangWaitS - heartbeatIntervalS) * 1000;
    let since = Infinity;
    for (const task of assignment.tasks.values()) {
      if (task.state === 'done' || task.runningAt !== null) return false;
      since = Math.min(since, task.gatheringAt ?? Infinity);
    }
    return now - since >= patienceMs;
  }

  /**
   * Whether a stop of the gang for other work is worth what it costs. Its progress is saved only if
   * all of its tasks are told within `gang_peer_s`; else what it did since its last checkpoint is
   * lost, and it goes on unless that is little.
   */
  mayStop(assignment: Assignment): boolean {
    const spec = this.spec(assignment);
    if (spec === null) return true;
    return (
      this.isReachable(assignment, spec) || this.progressAtRiskS(assignment, spec) <= GANG_LOSS_S
    );
  }

  /** Whether a stop reaches all tasks of the gang in time. */
  private isReachable(assignment: Assignment, spec: JobSpec): boolean {
    const shared = assignment.tasks.size < spec.tasks;
    if (shared && this.options.gangPeerS * 1000 < SHARED_STOP_MS) return false;
    return [...this.machinesOf(assignment.job)].every((name) => {
      const machine = this.dependencies.machines.all.get(name);
      return (
        machine?.isAcknowledged === true &&
        !machine.directCalls &&
        this.dependencies.machines.health(machine) === 'ok'
      );
    });
  }

  /** Seconds that the gang ran since its last checkpoint, at the most; 0 where it never saves. */
  private progressAtRiskS(assignment: Assignment, spec: JobSpec): number {
    let since = Infinity;
    for (const task of assignment.tasks.values())
      since = Math.min(since, task.runningAt ?? Infinity);
    if (since === Infinity) return 0;
    // Where its last attempt ended is not known here: its checkpoints may come at any moment.
    return Math.min(spec.checkpointS, (this.dependencies.clock.now() - since) / 1000);
  }

  /** Stops all tasks of a failed share; once none is left it goes back to the leader. */
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
        'gang stops',
      );
    }
    if (assignment.placedCount > 0) return;
    this.dependencies.log.info(
      { job: assignment.job, attempt: assignment.record.attempt },
      'gang goes back',
    );
    this.returnWaitingTasks(assignment);
  }

  /** Gives a share back that has waited for room for its time; infeasible ones wait less. */
  private returnOverdue(assignment: Assignment, spec: JobSpec, now: number): void {
    const urgent = rankOf(spec.priority) >= URGENT;
    const patience = urgent || assignment.isInfeasible ? UNPLACED_RELEASE_MS : GANG_HOLD_MS;
    const [first] = assignment.waitingTasks;
    if (first && now - first.waitingSince >= patience) this.returnWaitingTasks(assignment);
  }

  private returnWaitingTasks(assignment: Assignment): void {
    for (const task of [...assignment.waitingTasks])
      this.dependencies.tasks.returnToLeader(assignment, task);
  }

  /** Names of the machines on which this part has placed tasks of a job's gang. */
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
