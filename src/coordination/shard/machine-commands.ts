/** Builds the commands that bring a machine to its desired state. */
import { MAX_COMMANDS_PER_ANSWER } from '../../constants/shard.js';
import type { Command, TaskStatus } from '../../protocol/model.js';
import { mayStillStart, type Machine } from '../shard-state/machine.js';
import { fits, allocate, type Resources } from '../capacity/resources.js';
import type { Task } from '../shard-state/assignment.js';
import type { AssignedTask } from '../shard-state/tasks.js';
import { jobSpec, type ShardContext } from './shard-context.js';
import { findReportedTask } from './reported-task.js';

/** The commands for one machine while they are being collected. */
interface CommandBatch {
  readonly machine: Machine;
  /**
   * Whether commands that were sent before are sent again, if the newest heartbeat shows no effect
   * of them.
   */
  readonly resend: boolean;
  /** Resources of the machine that are not taken by the tasks counted so far. */
  readonly free: Resources;
  /** Placed tasks that the machine's newest heartbeat lists. */
  readonly listed: Set<Task>;
  readonly commands: Command[];
}

/** Compares the placements on a machine with its newest heartbeat. */
export class MachineCommands {
  constructor(private readonly context: ShardContext) {}

  /**
   * The commands that are needed so that the machine runs exactly the tasks placed on it; `resend`:
   * also commands that were sent before.
   */
  commandsFor(machine: Machine, { resend }: { resend: boolean }): Command[] {
    const { machines } = this.context;
    const free = machines.capacity(machine.type);
    const batch: CommandBatch = { machine, resend, free, listed: new Set(), commands: [] };
    for (const status of machine.reportedTasks) this.addForReported(batch, status);
    // After a `forget`, a duplicate of a start that was sent directly would start the task again.
    // Raising the token first fences all earlier direct calls.
    if (machine.hasUnfencedStart && batch.commands.some(({ op }) => op === 'forget')) {
      machines.fencingTokens.raise(machine);
    }
    if (machines.isSchedulable(machine)) this.addStarts(batch);
    return batch.commands.slice(0, MAX_COMMANDS_PER_ANSWER);
  }

  /**
   * Counts the resources of a reported task, and adds a stop or a `forget` if one is needed.
   */
  private addForReported(batch: CommandBatch, status: TaskStatus): void {
    const { tasks } = this.context;
    const { machine, resend, free } = batch;
    const assignment = tasks.findTask(status.task.job, status.task.index)?.assignment;
    // The resources of a task without an assignment are unknown, so the task is counted as using all
    // resources of the machine that are still free.
    if (status.state !== 'exited') allocate(free, assignment ? assignment.record : { ...free });
    const assigned = findReportedTask(tasks, machine, status);
    if (!assigned) {
      if (resend) this.addRemoval(batch, status);
      return;
    }
    batch.listed.add(assigned.task);
    this.addStop(batch, status, assigned);
  }

  /**
   * Adds a stop for a placed task if its job has ended, or if the task is being stopped and the
   * heartbeat does not show it as saving its progress.
   */
  private addStop(
    batch: CommandBatch,
    status: TaskStatus,
    { assignment, task }: AssignedTask,
  ): void {
    const spec = jobSpec(this.context, assignment.job);
    const mustStop = spec === null || (task.isStopping && status.state !== 'saving');
    if (!mustStop || (task.isStopSent && !batch.resend)) return;
    task.isStopSent = true;
    const graceS = spec !== null && spec.checkpointS > 0 ? spec.saveS : 0;
    batch.commands.push({ op: 'stop', task: status.task, attempt: status.attempt, graceS });
  }

  /** Adds a stop for a reported task that is not placed here, or a `forget` once it has exited. */
  private addRemoval({ machine, commands }: CommandBatch, status: TaskStatus): void {
    const { task, attempt } = status;
    if (status.state !== 'exited') {
      commands.push({ op: 'stop', task, attempt, graceS: 0 });
      return;
    }
    // An exited task is forgotten only after its end is stored. Before that, a new holder of this
    // shard would treat the placement as one whose start was lost, and start it again. The task is
    // not forgotten either while its start may still arrive and start it again.
    const assignment = this.context.tasks.findTask(task.job, task.index)?.assignment;
    const stored = assignment?.committedRecord.live[String(task.index)];
    if (stored?.[1] !== attempt && !mayStillStart(machine, attempt)) {
      commands.push({ op: 'forget', task, attempt });
    }
  }

  /**
   * Adds starts for tasks that are placed on the machine but missing from its newest heartbeat, as
   * far as the machine's free resources suffice.
   */
  private addStarts({ machine, resend, free, listed, commands }: CommandBatch): void {
    const { gangSubsets, tasks } = this.context;
    const missing = [...tasks.placedOn(machine.name)].filter(([task]) => !listed.has(task));
    for (const [task, assignment] of missing)
      if (task.isStartSent) allocate(free, assignment.record);
    for (const [task, assignment] of missing) {
      if (!tasks.isCommitted(assignment, task) || task.isStopping) continue;
      if (jobSpec(this.context, assignment.job) === null || !gangSubsets.mayStart(assignment))
        continue;
      if (task.isStartSent ? !resend : !fits(free, assignment.record)) continue;
      if (!task.isStartSent) allocate(free, assignment.record);
      task.isStartSent = true;
      const reference = { job: assignment.job, index: task.index };
      commands.push({ op: 'start', task: reference, attempt: task.attempt });
    }
  }
}
