/** Takes over what workers' heartbeats show of machines and tasks. */
import type { TaskStatus, Heartbeat } from '../../protocol/model.js';
import type { Machine } from '../shard-state/machine.js';
import type { HeartbeatFreshness } from '../shard-state/machine-heartbeats.js';
import type { Task } from '../shard-state/assignment.js';
import type { AssignedTask } from '../shard-state/tasks.js';
import { jobSpec, type ShardContext } from './shard-context.js';
import { findReported } from './reported-task.js';

/** Brings machines and tasks up to date with the workers' heartbeats. */
export class HeartbeatObserver {
  constructor(private readonly context: ShardContext) {}

  /**
   * Takes over what a heartbeat shows. `askedAt`: steady time of the direct call that it answers;
   * null: it came by itself. Returns whether it is newer than what was known; an older one changes
   * nothing.
   */
  observe(machine: Machine, heartbeat: Heartbeat, askedAt: number | null): HeartbeatFreshness {
    const { log, machines, wake } = this.context;
    const wasAcknowledged = machine.isAcknowledged;
    const freshness = machines.heartbeats.apply(machine, heartbeat, askedAt);
    if (freshness === 'older') return freshness;
    if (freshness === 'newEpoch' || machine.isAcknowledged !== wasAcknowledged) {
      log.debug(
        {
          machine: machine.name,
          agentEpoch: machine.agentEpoch,
          acknowledged: machine.isAcknowledged,
        },
        freshness === 'newEpoch'
          ? 'machine began a new agent epoch'
          : 'machine acknowledgement changed',
      );
      wake();
    }
    const isLeaving = heartbeat.noticeS !== null;
    if (machine.address !== heartbeat.address || machine.isLeaving !== isLeaving) {
      machine.address = heartbeat.address;
      machine.isLeaving = isLeaving;
      wake();
    }
    machine.reportedTasks = heartbeat.tasks;
    this.requeueMissing(machine, this.observeTasks(machine));
    return freshness;
  }

  /** Takes over the states of the machine's tasks; returns the placements that it listed. */
  private observeTasks(machine: Machine): Set<Task> {
    const listed = new Set<Task>();
    for (const status of machine.reportedTasks) {
      const assigned = findReported(this.context.tasks, machine, status);
      if (!assigned) continue;
      listed.add(assigned.task);
      if (status.state === 'exited') {
        this.taskExited(machine, assigned, status);
        // A start on this machine may have waited for its resources.
        this.context.machinesToCommand.add(machine.name);
        this.context.wake();
      } else if (status.state !== 'fetching') this.taskFetched(machine, assigned, status);
    }
    return listed;
  }

  /** A task has its image, and runs or waits for the others of its gang. */
  private taskFetched(
    machine: Machine,
    { assignment, task }: AssignedTask,
    status: TaskStatus,
  ): void {
    const now = this.context.clock.now();
    if (status.state === 'gathering') task.gatheringAt ??= now;
    else task.runningAt ??= now;
    const spec = jobSpec(this.context, assignment.job);
    if (spec) machine.images.add(spec.image);
  }

  private taskExited(machine: Machine, assigned: AssignedTask, { cause }: TaskStatus): void {
    const { costLearning, jobFailureBackoff, log, tasks } = this.context;
    const { assignment, task } = assigned;
    if (cause === 'done') {
      costLearning.recordSuccess(machine, assigned);
      machine.failedJobs.clear();
      jobFailureBackoff.clear(assignment.job);
      tasks.markDone(assignment, task);
      return;
    }
    if (cause === 'error' || cause === 'unknown') {
      costLearning.recordFailure(machine, assigned);
      if (cause === 'error') machine.failedJobs.add(assignment.job);
      const backoffS = jobFailureBackoff.add(assignment.job);
      log.info(
        { job: assignment.job, task: task.index, machine: machine.name, cause, backoffS },
        'task failed',
      );
    }
    tasks.requeue(assignment, task);
  }

  /** Requeues or starts again placements that are not on the machine, where that is proven. */
  private requeueMissing(machine: Machine, listed: ReadonlySet<Task>): void {
    const { machines, tasks, wake } = this.context;
    const isUsable = machines.isSchedulable(machine);
    for (const [task, assignment] of [...tasks.placedOn(machine.name)]) {
      if (listed.has(task)) continue;
      // That it is not listed is proof only where the worker has heard no other holder since, and
      // where no command sent straight to it is still on its way.
      if (!machine.hasShownOurToken || machine.directCalls?.attempts.has(task.attempt)) continue;
      task.isStartSent = false;
      if (jobSpec(this.context, assignment.job) === null || !isUsable || task.isStopping) {
        tasks.requeue(assignment, task);
        wake();
      }
    }
  }
}
