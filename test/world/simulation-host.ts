/** The environment that the simulated parts need: simulated too, or real processes on loopback. */
import type { Settings } from '../../src/protocol/settings.js';
import type { Clock } from '../../src/transport/clock.js';
import type { SimGangs } from './gang.js';
import type { SimJob } from './jobs.js';
import type { SimWorker } from './worker.js';
import type { Answer } from './worker-wire.js';

/** A controller, as workers reach it. */
export interface HeartbeatTarget {
  readonly node: { handleHeartbeat(body: string): Promise<Answer> };
}

/** The environment of the simulated workers, cloud and invariant checker. */
export interface SimulationHost {
  readonly clock: Clock;
  readonly members: readonly (readonly [string, string])[];
  readonly nodes: ReadonlyMap<string, HeartbeatTarget>;
  readonly workers: Map<string, SimWorker>;
  readonly jobs: Map<string, SimJob>;
  readonly completed: Set<string>;
  readonly gangs: SimGangs;
  readonly overrides: Partial<Settings>;
  /** ms that messages between controllers and workers take each way. */
  readonly linkDelayMs: number;
  /** ms after its last answered heartbeat at which a worker ends its tasks. */
  readonly workerLeaseMs: number;
  /** A whole number below `most`. */
  randomBelow(most: number): number;
  /** Runs what comes for a controller, when it can. */
  deliver(node: string, run: () => void): void;
  /** Whether a controller and a machine can't reach each other. */
  isCut(node: string, machine: string): boolean;
  /** The address of the machine of this number. */
  addressOf(machine: number): string;
  /** A task got on its machine. */
  taskStarted(worker: SimWorker, task: string): void;
  /** All tasks of a gang run. */
  gangStarted(job: string, attempt: number): void;
}
