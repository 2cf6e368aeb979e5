/** Faults and restarts that several test scripts share. */
import type { SimWorker } from './worker.js';
import type { WorkerFaults } from './worker-faults.js';
import type { World } from './world.js';

/** Sets faults on all workers that are up. Values of zero, false, null or an empty list end them. */
export function setOnAllWorkers(
  cluster: { workers: ReadonlyMap<string, SimWorker> },
  faults: Partial<WorkerFaults>,
): void {
  for (const worker of cluster.workers.values()) Object.assign(worker, faults);
}

/** Kills a controller and starts it again after `downS` seconds. */
export async function restartController(world: World, name: string, downS: number): Promise<void> {
  world.kill(name);
  await world.run(downS);
  world.boot(name);
}

/** Cuts a machine off from all controllers. */
export function cutOffMachine(world: World, machine: string): void {
  for (const [name] of world.members) world.cutLinks.add(`${name}>${machine}`);
}
