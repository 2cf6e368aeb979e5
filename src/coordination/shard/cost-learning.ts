/** Tells the bandit what tasks cost that it placed. */
import type { Clock } from '../../transport/clock.js';
import type { Bandit } from '../scheduling/bandit.js';
import type { Machine } from '../shard-state/machine.js';
import type { Machines } from '../shard-state/machines.js';
import type { Resources } from '../capacity/resources.js';
import type { AssignedTask } from '../shard-state/tasks.js';

/** Passes the ends of tasks on to the bandit, once it is loaded. */
export class CostLearning {
  /** Null until it is loaded. */
  bandit: Bandit | null = null;

  constructor(
    private readonly machines: Machines,
    private readonly clock: Clock,
  ) {}

  /** A task ended well on the machine. */
  recordSuccess(machine: Machine, { assignment, task }: AssignedTask): void {
    if (!task.banditContext || task.runningAt === null || !this.bandit) return;
    const ranS = (this.clock.now() - task.runningAt) / 1000;
    this.bandit.finished(
      machine.type,
      task.banditContext,
      ranS * this.pricePerS(machine, assignment.record),
    );
  }

  /** A task failed on the machine. */
  recordFailure(machine: Machine, { task }: AssignedTask): void {
    if (task.banditContext) this.bandit?.failed(machine.type, task.banditContext);
  }

  /**
   * What a task costs per second on a machine. The paper's workers run one task at a time; here tasks
   * share a machine, so a task pays for the share that it keeps others from.
   */
  private pricePerS(machine: Machine, task: Resources): number {
    const type = this.machines.machineType(machine.type);
    if (!type) return 0;
    const share = Math.max(
      task.cpus / type.cpus,
      type.gpus > 0 ? task.gpus / type.gpus : 0,
      task.memoryGb / type.memoryGb,
    );
    return ((machine.spot ? type.spotPrice : type.price) * share) / 3600;
  }
}
