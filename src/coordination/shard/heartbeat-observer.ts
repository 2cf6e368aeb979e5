/** Takes over what workers' reports show of machines and tasks. */
import type { TaskStatus, Heartbeat } from '../../protocol/model.js';
import type { Machine } from '../shard-state/machine.js';
import type { HeartbeatFreshness } from '../shard-state/machines.js';
import type { Slot, TaskSlot } from '../shard-state/tasks.js';
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
    const wasProven = machine.isAcknowledged;
    const freshness = machines.order(machine, heartbeat, askedAt);
    if (freshness === 'older') return freshness;
    if (freshness === 'newSession' || machine.isAcknowledged !== wasProven) {
      log.debug(
        { machine: machine.name, agentEpoch: machine.agentEpoch, hears: machine.isAcknowledged },
        freshness === 'newSession' ? 'machine began a new session' : 'machine hears us or does not',
      );
      wake();
    }
    const leaving = heartbeat.noticeS !== null;
    if (machine.address !== heartbeat.address || machine.isLeaving !== leaving) {
      machine.address = heartbeat.address;
      machine.isLeaving = leaving;
      wake();
    }
    machine.tasks = heartbeat.tasks;
    this.requeueMissing(machine, this.observeTasks(machine));
    return freshness;
  }

  /** Takes over the states of the machine's tasks; returns the placements that it listed. */
  private observeTasks(machine: Machine): Set<Slot> {
    const listed = new Set<Slot>();
    for (const heartbeat of machine.tasks) {
      const task = findReported(this.context.tasks, machine, heartbeat);
      if (!task) continue;
      listed.add(task.slot);
      if (heartbeat.state === 'exited') {
        this.taskExited(machine, task, heartbeat);
        // Its room may be what a start on this machine waited for.
        this.context.dirtyMachines.add(machine.name);
        this.context.wake();
      } else if (heartbeat.state !== 'fetching') this.taskFetched(machine, task, heartbeat);
    }
    return listed;
  }

  /** A task has its image, and runs or waits for the others of its gang. */
  private taskFetched(
    machine: Machine,
    { assignment, slot }: TaskSlot,
    heartbeat: TaskStatus,
  ): void {
    const now = this.context.clock.now();
    if (heartbeat.state === 'gathering') slot.gatheringAt ??= now;
    else slot.runningAt ??= now;
    const spec = jobSpec(this.context, assignment.job);
    if (spec) machine.images.add(spec.image);
  }

  private taskExited(machine: Machine, task: TaskSlot, { cause }: TaskStatus): void {
    const { costLearning, jobFailureBackoff, log, tasks } = this.context;
    const { assignment, slot } = task;
    if (cause === 'done') {
      costLearning.finished(machine, task);
      machine.errors.clear();
      jobFailureBackoff.clear(assignment.job);
      tasks.finish(assignment, slot);
      return;
    }
    if (cause === 'error' || cause === 'unknown') {
      costLearning.failed(machine, task);
      if (cause === 'error') machine.errors.add(assignment.job);
      const pause = jobFailureBackoff.add(assignment.job);
      log.info(
        { task: `${assignment.job}/${slot.index}`, machine: machine.name, cause, pause },
        'task failed',
      );
    }
    tasks.requeue(assignment, slot);
  }

  /** Notes that placements which the machine did not list are not on it, where that is proven. */
  private requeueMissing(machine: Machine, listed: ReadonlySet<Slot>): void {
    const { machines, tasks, wake } = this.context;
    const usable = machines.isSchedulable(machine);
    for (const [slot, assignment] of [...tasks.on(machine.name)]) {
      if (listed.has(slot)) continue;
      // Not on the machine, which is proof only where the worker has heard nobody but us, and where
      // no command sent straight to it is still on its way.
      if (!machine.hasShownOurToken || machine.directCalls?.attempts.has(slot.attempt)) continue;
      slot.startSent = false;
      if (jobSpec(this.context, assignment.job) === null || !usable || slot.halting) {
        tasks.requeue(assignment, slot);
        wake();
      }
    }
  }
}
