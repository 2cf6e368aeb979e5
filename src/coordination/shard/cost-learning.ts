/** Reports the cost and the failures of tasks to the bandit that placed them. */
import type { Log } from '../../storage/log.js';
import { PassSteps } from '../../storage/pass-steps.js';
import type { Clock } from '../../transport/clock.js';
import type { Bandit } from '../scheduling/bandit.js';
import type { Machine } from '../shard-state/machine.js';
import type { Machines } from '../shard-state/machines.js';
import type { Resources } from '../capacity/resources.js';
import type { AssignedTask } from '../shard-state/tasks.js';

/**
 * Reports the ends of tasks to the bandit, except those of tasks that end before it is loaded. An
 * error in the bandit is logged, because the end of the task must be recorded all the same.
 */
export class CostLearning {
  /** The shard's bandit; null until it is loaded. */
  bandit: Bandit | null = null;
  private readonly steps: PassSteps;

  constructor(
    private readonly machines: Machines,
    private readonly clock: Clock,
    log: Log,
  ) {
    this.steps = new PassSteps(log, {});
  }

  /**
   * Reports the cost of a task that is done, if the bandit placed it on the machine and a heartbeat
   * showed it running.
   */
  recordSuccess(machine: Machine, { assignment, task }: AssignedTask): void {
    const { bandit } = this;
    const { banditContext, runningAt } = task;
    if (!banditContext || runningAt === null || !bandit) return;
    const runTimeS = (this.clock.now() - runningAt) / 1000;
    this.steps.run('learn from a completed task', () => {
      const cost = runTimeS * this.pricePerS(machine, assignment.record);
      bandit.recordSuccess(machine.type, banditContext, cost);
    });
  }

  /** Reports a task that failed on the machine, if the bandit placed it there. */
  recordFailure(machine: Machine, { task }: AssignedTask): void {
    const { banditContext } = task;
    if (!banditContext) return;
    this.steps.run('learn from a failed task', () =>
      this.bandit?.recordFailure(machine.type, banditContext),
    );
  }

  /**
   * The cost per second of a task on a machine; 0 if the catalog lacks the machine's type. In the
   * paper on which the bandit is based, a worker runs one task at a time. Here tasks share a
   * machine, so a task is charged a fraction of the machine's price: the largest of the fractions
   * that it takes of the machine's CPUs, GPUs and memory.
   */
  private pricePerS(machine: Machine, task: Resources): number {
    const type = this.machines.machineType(machine.type);
    if (!type) return 0;
    const fraction = Math.max(
      task.cpus / type.cpus,
      type.gpus > 0 ? task.gpus / type.gpus : 0,
      task.memoryGb / type.memoryGb,
    );
    return ((machine.spot ? type.spotPrice : type.price) * fraction) / 3600;
  }
}
