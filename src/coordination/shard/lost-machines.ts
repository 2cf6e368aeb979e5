/** Requeues the tasks of lost machines. */
import { LOST_MACHINE_SWEEP_INTERVAL_MS } from '../../constants/shard.js';
import type { ShardContext } from './shard-context.js';

/** Looks periodically for machines that were returned to the cloud or whose lease has expired. */
export class LostMachines {
  private lastSweepAt = -Infinity;

  constructor(private readonly context: ShardContext) {}

  /**
   * Requeues the tasks of machines that were returned to the cloud or whose lease has expired, if a
   * sweep is due.
   */
  sweep(): void {
    const { clock, log, machines, tasks } = this.context;
    const now = clock.now();
    if (now - this.lastSweepAt < LOST_MACHINE_SWEEP_INTERVAL_MS) return;
    this.lastSweepAt = now;
    for (const name of [...tasks.occupiedMachines()]) {
      const isGone = machines.recordedState(name) === 'gone';
      if (!isGone && now < machines.leaseExpiresAt(name)) continue;
      const lost = [...tasks.placedOn(name)];
      log.info(
        { machine: name, taskCount: lost.length, gone: isGone },
        'machine lost, tasks requeued',
      );
      for (const [task, assignment] of lost) tasks.requeue(assignment, task);
    }
    machines.sweep();
  }
}
