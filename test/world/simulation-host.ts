/** The interface of a cluster with simulated workers; its controllers may be real processes. */
import type { Settings } from '../../src/protocol/settings.js';
import type { Clock } from '../../src/transport/clock.js';
import type { SimGangs } from './gang.js';
import type { SimJob } from './jobs.js';
import type { SimWorker } from './worker.js';
import type { Answer } from './worker-wire.js';

/** A controller that accepts heartbeats. */
export interface HeartbeatTarget {
  readonly node: { handleHeartbeat(body: string): Promise<Answer> };
}

/** The cluster in which the simulated workers, cloud and invariant checker run. */
export interface SimulationHost {
  readonly clock: Clock;
  readonly members: readonly (readonly [string, string])[];
  readonly nodes: ReadonlyMap<string, HeartbeatTarget>;
  readonly workers: Map<string, SimWorker>;
  readonly jobs: Map<string, SimJob>;
  readonly completedTasks: Set<string>;
  readonly gangs: SimGangs;
  readonly overrides: Partial<Settings>;
  /** Delay in ms of a message between a controller and a worker, in each direction. */
  readonly linkDelayMs: number;
  /** Lease of a worker in ms, from the sending of its last answered heartbeat; then its tasks end. */
  readonly workerLeaseMs: number;
  /** Returns a random integer from 0 to `most` - 1. */
  randomBelow(most: number): number;
  /** Runs an event of a controller, at once or when the controller's pause ends. */
  deliver(node: string, run: () => void): void;
  /** True if a controller and a machine cannot reach each other. */
  isCut(node: string, machine: string): boolean;
  /** Returns the address of the machine with this number. */
  addressOf(machine: number): string;
  /** Records that a task has its image and occupies its machine. */
  recordTaskStart(worker: SimWorker, task: string): void;
  /** Records that all tasks of a gang run. */
  recordGangStart(job: string, attempt: number): void;
}
