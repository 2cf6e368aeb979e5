/** Makes the commands that bring a machine to its desired state. */
import { MAX_COMMANDS_PER_ANSWER } from '../../constants/shard.js';
import type { Command, TaskStatus } from '../../protocol/model.js';
import type { Machine } from '../shard-state/machine.js';
import { fits, allocate, type Resources } from '../capacity/resources.js';
import type { Task } from '../shard-state/assignment.js';
import type { AssignedTask } from '../shard-state/tasks.js';
import { jobSpec, type ShardContext } from './shard-context.js';
import { findReported } from './reported-task.js';

/** The commands for one machine while they are collected. */
interface CommandBatch {
  readonly machine: Machine;
  /** Whether what was sent before is sent again if it is still missing. */
  readonly resend: boolean;
  /** Resources of the machine that the tasks counted so far leave free. */
  readonly free: Resources;
  /** Placements that the machine's newest heartbeat lists. */
  readonly listed: Set<Task>;
  readonly commands: Command[];
}

/** Compares the desired state of a machine with its newest heartbeat. */
export class MachineCommands {
  constructor(private readonly context: ShardContext) {}

  /** The commands that are missing on the machine; `resend`: also those that were sent before. */
  commandsFor(machine: Machine, { resend }: { resend: boolean }): Command[] {
    const { machines } = this.context;
    const free = machines.capacity(machine.type);
    const batch: CommandBatch = { machine, resend, free, listed: new Set(), commands: [] };
    for (const status of machine.reportedTasks) this.addForReported(batch, status);
    // Once forgotten, a start that was sent straight to the worker and is delivered once more would
    // run again: what forgets it carries a token that makes all earlier direct calls powerless.
    if (machine.hasUnfencedStart && batch.commands.some(({ op }) => op === 'forget')) {
      machines.fencingTokens.raise(machine);
    }
    if (machines.isSchedulable(machine)) this.addStarts(batch);
    return batch.commands.slice(0, MAX_COMMANDS_PER_ANSWER);
  }

  /** Counts the resources of a task on the machine, and stops it if it is not wanted there. */
  private addForReported(batch: CommandBatch, status: TaskStatus): void {
    const { tasks } = this.context;
    const { machine, resend, free } = batch;
    const assignment = tasks.findTask(status.task.job, status.task.index)?.assignment;
    // What an unknown task needs is not known: it counts as if it took all of the machine.
    if (status.state !== 'exited') allocate(free, assignment ? assignment.record : { ...free });
    const assigned = findReported(tasks, machine, status);
    if (!assigned) {
      if (resend) this.addRemoval(batch, status);
      return;
    }
    batch.listed.add(assigned.task);
    this.addStop(batch, status, assigned);
  }

  /** Stops a placed task whose job is over, or which was preempted. */
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

  /** A task on the machine that is not wanted there: stopped, or forgotten once it has ended. */
  private addRemoval({ machine, commands }: CommandBatch, status: TaskStatus): void {
    const { task, attempt } = status;
    if (status.state !== 'exited') {
      commands.push({ op: 'stop', task, attempt, graceS: 0 });
      return;
    }
    // Forgotten only after the key-value store has the end: until then a new holder of this shard
    // would take the placement for one whose start was lost. Nor while a start sent straight to the
    // worker may still arrive: it would run once more.
    const assignment = this.context.tasks.findTask(task.job, task.index)?.assignment;
    const stored = assignment?.committedRecord.live[String(task.index)];
    if (stored?.[1] !== attempt && !machine.directCalls?.attempts.has(attempt)) {
      commands.push({ op: 'forget', task, attempt });
    }
  }

  /** Starts what is placed on the machine and not there, where its resources allow. */
  private addStarts({ machine, resend, free, listed, commands }: CommandBatch): void {
    const { gangs, tasks } = this.context;
    const missing = [...tasks.placedOn(machine.name)].filter(([task]) => !listed.has(task));
    for (const [task, assignment] of missing)
      if (task.isStartSent) allocate(free, assignment.record);
    for (const [task, assignment] of missing) {
      if (!tasks.isCommitted(assignment, task) || task.isStopping) continue;
      if (jobSpec(this.context, assignment.job) === null || !gangs.mayStart(assignment)) continue;
      if (task.isStartSent ? !resend : !fits(free, assignment.record)) continue;
      if (!task.isStartSent) allocate(free, assignment.record);
      task.isStartSent = true;
      const reference = { job: assignment.job, index: task.index };
      commands.push({ op: 'start', task: reference, attempt: task.attempt });
    }
  }
}
