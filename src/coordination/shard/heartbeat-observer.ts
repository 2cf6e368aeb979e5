/** Takes over what workers' reports show of machines and tasks. */
import type { TaskReport, WorkerReport } from '../../protocol/model.js';
import type { Machine } from '../shard-state/machine.js';
import type { Worth } from '../shard-state/machines.js';
import type { Slot, TaskSlot } from '../shard-state/tasks.js';
import { jobSpec, type PartContext } from './shard-context.js';
import { findReported } from './reported-task.js';

/** Brings machines and tasks up to date with the workers' reports. */
export class ReportObserver {
  constructor(private readonly context: PartContext) {}

  /**
   * Takes over what a report shows. `askedAt`: steady time of the direct call that it answers; null:
   * it came by itself. Returns what the report is worth; an older one changes nothing.
   */
  observe(machine: Machine, report: WorkerReport, askedAt: number | null): Worth {
    const { log, machines, wake } = this.context;
    const wasProven = machine.proven;
    const worth = machines.order(machine, report, askedAt);
    if (worth === 'older') return worth;
    if (worth === 'newSession' || machine.proven !== wasProven) {
      log.debug(
        { machine: machine.name, session: machine.session, hears: machine.proven },
        worth === 'newSession' ? 'machine began a new session' : 'machine hears us or does not',
      );
      wake();
    }
    const leaving = report.noticeS !== null;
    if (machine.address !== report.address || machine.leaving !== leaving) {
      machine.address = report.address;
      machine.leaving = leaving;
      wake();
    }
    machine.tasks = report.tasks;
    this.requeueMissing(machine, this.observeTasks(machine));
    return worth;
  }

  /** Takes over the states of the machine's tasks; returns the placements that it listed. */
  private observeTasks(machine: Machine): Set<Slot> {
    const listed = new Set<Slot>();
    for (const report of machine.tasks) {
      const task = findReported(this.context.tasks, machine, report);
      if (!task) continue;
      listed.add(task.slot);
      if (report.state === 'exited') {
        this.taskExited(machine, task, report);
        // Its room may be what a start on this machine waited for.
        this.context.dirtyMachines.add(machine.name);
        this.context.wake();
      } else if (report.state !== 'fetching') this.taskFetched(machine, task, report);
    }
    return listed;
  }

  /** A task has its image, and runs or waits for the others of its gang. */
  private taskFetched(machine: Machine, { chunk, slot }: TaskSlot, report: TaskReport): void {
    const now = this.context.clock.now();
    if (report.state === 'gathering') slot.gatheringAt ??= now;
    else slot.runningAt ??= now;
    const spec = jobSpec(this.context, chunk.job);
    if (spec) machine.images.add(spec.image);
  }

  private taskExited(machine: Machine, task: TaskSlot, { cause }: TaskReport): void {
    const { costLearning, failurePauses, log, tasks } = this.context;
    const { chunk, slot } = task;
    if (cause === 'done') {
      costLearning.finished(machine, task);
      machine.errors.clear();
      failurePauses.clear(chunk.job);
      tasks.finish(chunk, slot);
      return;
    }
    if (cause === 'error' || cause === 'unknown') {
      costLearning.failed(machine, task);
      if (cause === 'error') machine.errors.add(chunk.job);
      const pause = failurePauses.add(chunk.job);
      log.info(
        { task: `${chunk.job}/${slot.index}`, machine: machine.name, cause, pause },
        'task failed',
      );
    }
    tasks.requeue(chunk, slot);
  }

  /** Notes that placements which the machine did not list are not on it, where that is proven. */
  private requeueMissing(machine: Machine, listed: ReadonlySet<Slot>): void {
    const { machines, tasks, wake } = this.context;
    const usable = machines.usable(machine);
    for (const [slot, chunk] of [...tasks.on(machine.name)]) {
      if (listed.has(slot)) continue;
      // Not on the machine, which is proof only where the worker has heard nobody but us, and where
      // no command sent straight to it is still on its way.
      if (!machine.ours || machine.direct?.attempts.has(slot.attempt)) continue;
      slot.startSent = false;
      if (jobSpec(this.context, chunk.job) === null || !usable || slot.halting) {
        tasks.requeue(chunk, slot);
        wake();
      }
    }
  }
}
