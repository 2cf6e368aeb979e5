/** Assigns tasks of arrays and services to shards, within the quotas of their teams. */
import { ARRAY_USES_RESERVED_AFTER_MS } from '../../constants/gangs.js';
import { OVERDUE_TASK_FRACTION, STARVED_TASK_FRACTION } from '../../constants/leader.js';
import type { Clock } from '../../transport/clock.js';
import type { MachineCapacity } from '../capacity/machine-capacity.js';
import { isUrgent } from '../capacity/priorities.js';
import { countFittingTasks, resourcesOf } from '../capacity/resources.js';
import type { OpenJob } from './scheduling-order.js';
import type { AssignmentHistory } from './assignment-history.js';
import type { SchedulingCycle } from './scheduling-cycle.js';
import type { TaskDistribution } from './task-distribution.js';
import type { TeamQuota } from './team-quota.js';

/** Dependencies of the assignment of arrays and services. */
export interface ShardAssignmentOptions {
  readonly teamQuota: TeamQuota;
  readonly history: AssignmentHistory;
  readonly distribution: TaskDistribution;
  readonly clock: Clock;
}

/** Assigns tasks of arrays and services, job by job in scheduling order. */
export class ShardAssignment {
  constructor(private readonly options: ShardAssignmentOptions) {}

  /** Assigns tasks of a job, and records its tasks without capacity as unmet demand. */
  assign(job: OpenJob, cycle: SchedulingCycle): void {
    const { history, teamQuota } = this.options;
    const allowed = this.allowedTasks(job, cycle.startedAt);
    if (allowed <= 0) {
      teamQuota.recordWaiting(job);
      return;
    }
    // When tasks of a job end one after the other, each end would cause an assignment of a single
    // new task. Therefore, a non-urgent job gets no tasks within `ASSIGN_INTERVAL_MS` of its last
    // assignment.
    const recent = isUrgent(job.spec) ? undefined : history.recentOf(job.id);
    const tasksWithoutCapacity = recent
      ? Math.min(allowed, recent.tasksWithoutCapacity)
      : this.assignAllowed(job, allowed, cycle);
    if (tasksWithoutCapacity <= 0) return;
    const { spec, acceptedAt } = job;
    cycle.unmetDemand.push({ spec, count: tasksWithoutCapacity, acceptedAt });
  }

  /** Assigns up to `allowed` tasks of a job. Returns how many of these have no free capacity. */
  private assignAllowed(job: OpenJob, allowed: number, cycle: SchedulingCycle): number {
    const { distribution, history, teamQuota } = this.options;
    const { assignments, assigned, queued } = distribution.distribute(job, allowed, {
      machines: this.usableMachines(job, cycle),
      queues: cycle.queues,
    });
    cycle.assignments.push(...assignments);
    if (isUrgent(job.spec)) for (const { key } of assignments) cycle.urgentAssignmentKeys.add(key);
    teamQuota.recordUse(job.spec, assigned);
    const unassigned = allowed - assigned;
    if (assigned > 0) history.recordAssignment(job.id, cycle.startedAt, unassigned);
    return unassigned + queued;
  }

  /** Returns how many tasks of a job may be assigned now within its team's quota. */
  private allowedTasks(job: OpenJob, now: number): number {
    const { history, teamQuota } = this.options;
    const { spec } = job;
    const remaining = { ...teamQuota.remaining(spec.team), memoryGb: 0 };
    const task = { ...resourcesOf(spec, 1), memoryGb: 0 };
    const wanted = job.isStartOverdue
      ? Math.ceil(spec.tasks * OVERDUE_TASK_FRACTION)
      : job.unassigned;
    if (isUrgent(spec)) return Math.min(wanted, countFittingTasks(remaining, task));
    // Non-urgent work leaves a part of the quota unused for the team's urgent work, because urgent
    // work cannot reclaim quota from running tasks.
    const unreserved = { ...remaining, cpus: remaining.cpus - teamQuota.urgentReserve(spec.team) };
    const fitting = countFittingTasks(unreserved, task);
    // If services use the rest of the quota, non-urgent jobs would starve although machines are
    // idle. A starved job may therefore use some of the reserved quota, but only if no unreserved
    // quota is left for it.
    if (!history.checkStarved(job, now) || fitting > 0) return Math.min(wanted, fitting);
    const starvedLimit = Math.ceil(spec.tasks * STARVED_TASK_FRACTION);
    return Math.min(wanted, starvedLimit, countFittingTasks(remaining, task));
  }

  /**
   * Returns the machines that a job may use. An array may use machines reserved for the next gang
   * only if none of its tasks is placed although it was accepted more than
   * `ARRAY_USES_RESERVED_AFTER_MS` ago.
   */
  private usableMachines(job: OpenJob, cycle: SchedulingCycle): readonly MachineCapacity[] {
    const waitsLong =
      job.placed === 0 && this.options.clock.wall() - job.acceptedAt > ARRAY_USES_RESERVED_AFTER_MS;
    return job.spec.kind === 'array' && !waitsLong ? cycle.unreservedMachines : cycle.machines;
  }
}
