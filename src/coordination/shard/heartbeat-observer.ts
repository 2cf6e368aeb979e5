/** Updates a shard's machines and tasks from the heartbeats of workers. */
import type { TaskStatus, Heartbeat } from '../../protocol/model.js';
import { mayStillStart, type Machine } from '../shard-state/machine.js';
import type { HeartbeatFreshness } from '../shard-state/machine-heartbeats.js';
import type { Task } from '../shard-state/assignment.js';
import type { AssignedTask } from '../shard-state/tasks.js';
import { jobSpec, type ShardContext } from './shard-context.js';
import { findReportedTask } from './reported-task.js';

/** How a heartbeat arrived: the worker sent it on its own, or it answers a direct call. */
type HeartbeatSource = 'heartbeat' | 'directCall';

/** Applies heartbeats to the machines and tasks of a shard. */
export class HeartbeatObserver {
  constructor(private readonly context: ShardContext) {}

  /**
   * Applies a heartbeat unless it is older than the newest one of its machine. `callSentAt`: steady
   * time of the direct call that the heartbeat answers; null: the worker sent it on its own.
   * Returns whether the heartbeat is older, newer, or newer and of a later worker epoch.
   */
  observe(machine: Machine, heartbeat: Heartbeat, callSentAt: number | null): HeartbeatFreshness {
    const { log, machines, wake } = this.context;
    const wasAcknowledged = machine.isAcknowledged;
    const freshness = machines.heartbeats.apply(machine, heartbeat, callSentAt);
    if (freshness === 'older') return freshness;
    if (freshness === 'newEpoch' || machine.isAcknowledged !== wasAcknowledged) {
      log.debug(
        {
          machine: machine.name,
          workerEpoch: machine.workerEpoch,
          acknowledged: machine.isAcknowledged,
        },
        freshness === 'newEpoch' ? 'worker epoch changed' : 'machine acknowledgement changed',
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
    const source = callSentAt === null ? 'heartbeat' : 'directCall';
    this.handleMissing(machine, this.observeTasks(machine), source);
    return freshness;
  }

  /** Applies the task states of the newest heartbeat; returns the placed tasks that it lists. */
  private observeTasks(machine: Machine): Set<Task> {
    const listed = new Set<Task>();
    for (const status of machine.reportedTasks) {
      const assigned = findReportedTask(this.context.tasks, machine, status);
      if (!assigned) continue;
      listed.add(assigned.task);
      if (status.state === 'exited') {
        this.handleExited(machine, assigned, status);
        // A start on this machine may wait for the resources of the exited task.
        this.context.machinesToCommand.add(machine.name);
        this.context.wake();
      } else if (status.state !== 'fetching') this.handleFetched(machine, assigned, status);
    }
    return listed;
  }

  /**
   * Records that a task's image is on the machine, and that the task runs or waits for its gang.
   */
  private handleFetched(
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

  private handleExited(machine: Machine, assigned: AssignedTask, { cause }: TaskStatus): void {
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
      const backoffS = jobFailureBackoff.recordFailure(assignment.job);
      log.info(
        { job: assignment.job, task: task.index, machine: machine.name, cause, backoffS },
        'task failed',
      );
    }
    tasks.requeue(assignment, task);
  }

  /**
   * Handles placed tasks that are proven to be missing on the machine. They are marked to be
   * started again, or requeued if they may not start there any more.
   */
  private handleMissing(
    machine: Machine,
    listed: ReadonlySet<Task>,
    source: HeartbeatSource,
  ): void {
    const { log, machines, tasks, wake } = this.context;
    const isSchedulable = machines.isSchedulable(machine);
    for (const [task, assignment] of [...tasks.placedOn(machine.name)]) {
      if (listed.has(task)) continue;
      // A task that is not listed is proven to be missing only if the worker has shown a token of
      // this holder, which fences the starts of former holders, and if the task's start cannot
      // arrive any more.
      if (!machine.hasShownTokenOfEntry || mayStillStart(machine, task.attempt)) continue;
      task.isStartSent = false;
      if (jobSpec(this.context, assignment.job) === null || !isSchedulable || task.isStopping) {
        const { attempt, index } = task;
        log.info(
          { job: assignment.job, task: index, attempt, machine: machine.name, source },
          'missing task requeued',
        );
        tasks.requeue(assignment, task);
        wake();
      }
    }
  }
}
