/** Takes over what workers' reports show of machines and tasks. */
import type { TaskStatus, Heartbeat } from '../../protocol/model.js';
import type { Machine } from '../shard-state/machine.js';
import type { HeartbeatFreshness } from '../shard-state/machine-heartbeats.js';
import type { Task, AssignedTask } from '../shard-state/tasks.js';
import { jobSpec, type ShardContext } from './shard-context.js';
import { findReported } from './reported-task.js';

/** Brings machines and tasks up to date with the workers' reports. */
export class HeartbeatObserver {
  constructor(private readonly context: ShardContext) {}

  /**
   * Takes over what a report shows. `askedAt`: steady time of the direct call that it answers; null:
   * it came by itself. Returns what the report is worth; an older one changes nothing.
   */
  observe(machine: Machine, heartbeat: Heartbeat, askedAt: number | null): HeartbeatFreshness {
    const { log, machines, wake } = this.context;
    const wasAcknowledged = machine.isAcknowledged;
    const freshness = machines.heartbeats.apply(machine, heartbeat, askedAt);
    if (freshness === 'older') return freshness;
    if (freshness === 'newEpoch' || machine.isAcknowledged !== wasAcknowledged) {
      log.debug(
        { machine: machine.name, agentEpoch: machine.agentEpoch, hears: machine.isAcknowledged },
        freshness === 'newEpoch' ? 'machine began a new session' : 'machine hears us or does not',
      );
      wake();
    }
    const leaving = heartbeat.noticeS !== null;
    if (machine.address !== heartbeat.address || machine.isLeaving !== leaving) {
      machine.address = heartbeat.address;
      machine.isLeaving = leaving;
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
        // Its room may be what a start on this machine waited for.
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
      const pause = jobFailureBackoff.add(assignment.job);
      log.info(
        { task: `${assignment.job}/${task.index}`, machine: machine.name, cause, pause },
        'task failed',
      );
    }
    tasks.requeue(assignment, task);
  }

  /** Notes that placements which the machine did not list are not on it, where that is proven. */
  private requeueMissing(machine: Machine, listed: ReadonlySet<Task>): void {
    const { machines, tasks, wake } = this.context;
    const usable = machines.isSchedulable(machine);
    for (const [task, assignment] of [...tasks.placedOn(machine.name)]) {
      if (listed.has(task)) continue;
      // Not on the machine, which is proof only where the worker has heard nobody but us, and where
      // no command sent straight to it is still on its way.
      if (!machine.hasShownOurToken || machine.directCalls?.attempts.has(task.attempt)) continue;
      task.isStartSent = false;
      if (jobSpec(this.context, assignment.job) === null || !usable || task.isStopping) {
        tasks.requeue(assignment, task);
        wake();
      }
    }
  }
}
