/** Assigns tasks of arrays and services to parts, within the limits of their teams. */
import { ARRAY_USES_RESERVED_AFTER_MS } from '../../constants/gangs.js';
import { OVERDUE_TASK_SHARE, STARVED_TASK_SHARE } from '../../constants/leader.js';
import { rankOf, type JobSpec } from '../../protocol/model.js';
import type { Clock } from '../../transport/clock.js';
import {
  countFittingTasks,
  resourcesOf,
  type MachineCapacity,
} from '../capacity/machine-capacity.js';
import { URGENT } from '../capacity/priorities.js';
import type { OpenJob } from './scheduling-order.js';
import type { AssignmentHistory } from './assignment-history.js';
import type { SchedulingCycle } from './assignment-round.js';
import type { TaskDistribution } from './task-distribution.js';
import type { TeamQuota } from './team-quota.js';

/** What the assignment of arrays and services works with. */
export interface ShardAssignmentOptions {
  readonly teamQuota: TeamQuota;
  readonly history: AssignmentHistory;
  readonly distribution: TaskDistribution;
  readonly clock: Clock;
}

function isUrgent(spec: JobSpec): boolean {
  return rankOf(spec.priority) >= URGENT;
}

/** Assigns tasks of arrays and services whose turn it is. */
export class ShardAssignment {
  constructor(private readonly options: ShardAssignmentOptions) {}

  /** Assigns tasks of a job, and records how many of them find no room. */
  assign(job: OpenJob, cycle: SchedulingCycle): void {
    const { history, teamQuota } = this.options;
    const allowed = this.allowedTasks(job, cycle.startedAt);
    if (allowed <= 0) {
      teamQuota.recordWaiting(job);
      return;
    }
    // Tasks that end one by one would each bring a chunk of their own: those that follow them wait
    // until some have come together.
    const recent = isUrgent(job.spec) ? undefined : history.recentOf(job.id);
    const tasksWithoutCapacity = recent
      ? Math.min(allowed, recent.tasksWithoutCapacity)
      : this.assignAllowed(job, allowed, cycle);
    if (tasksWithoutCapacity > 0)
      cycle.unmetDemand.push({
        spec: job.spec,
        count: tasksWithoutCapacity,
        acceptedAt: job.acceptedAt,
      });
  }

  /** Assigns up to `allowed` tasks of a job; returns how many of them have no free room. */
  private assignAllowed(job: OpenJob, allowed: number, cycle: SchedulingCycle): number {
    const { distribution, history, teamQuota } = this.options;
    const { assignments, assigned, queued } = distribution.distribute(job, allowed, {
      machines: this.usableMachines(job, cycle),
      queues: cycle.queues,
    });
    cycle.assignments.push(...assignments);
    if (isUrgent(job.spec)) for (const { key } of assignments) cycle.urgentKeys.add(key);
    teamQuota.recordUse(job.spec, assigned);
    const unassigned = allowed - assigned;
    if (assigned > 0) history.recordAssignment(job.id, cycle.startedAt, unassigned);
    return unassigned + queued;
  }

  /** How many tasks of a job may be assigned now, by its team's limit. */
  private allowedTasks(job: OpenJob, now: number): number {
    const { history, teamQuota } = this.options;
    const { spec } = job;
    const free = { ...teamQuota.remaining(spec.team), memoryGb: 0 };
    let wanted = job.isStartOverdue ? Math.ceil(spec.tasks * OVERDUE_TASK_SHARE) : job.unassigned;
    // Lower work leaves some of its team's limit to urgent work, for which nothing else makes room
    // there. Where services fill all but this reserve, lower work would wait for ever in front of
    // free machines: after a while some of it may use the reserve.
    const task = { ...resourcesOf(spec, 1), memoryGb: 0 };
    if (!isUrgent(spec)) {
      const cpus = free.cpus - teamQuota.urgentReserve(spec.team);
      const blocked = countFittingTasks({ ...free, cpus }, task) === 0;
      // Where the reserve is not what blocks a starved job, it has room like all others.
      if (history.isStarved(job, now) && blocked) {
        wanted = Math.min(wanted, Math.ceil(spec.tasks * STARVED_TASK_SHARE));
      } else free.cpus = cpus;
    }
    return Math.min(wanted, countFittingTasks(free, task));
  }

  /** Machines that a job may use: an array those reserved for a gang only after a while. */
  private usableMachines(job: OpenJob, cycle: SchedulingCycle): readonly MachineCapacity[] {
    const waitsLong =
      job.placed === 0 && this.options.clock.wall() - job.acceptedAt > ARRAY_USES_RESERVED_AFTER_MS;
    return job.spec.kind === 'array' && !waitsLong ? cycle.unreservedMachines : cycle.machines;
  }
}
