/** The periodic loops of a controller, with their intervals. */
import {
  AUTOSCALER_INTERVAL_MS,
  ELECTION_INTERVAL_MS,
  LEADER_COALESCE_MS,
  LOOP_INTERVAL_MS,
  PAUSE_PER_CPU_TIME,
  STANDBY_INTERVAL_MS,
} from '../../constants/controller.js';
import type { Log } from '../../storage/log.js';
import type { Clock } from '../../transport/clock.js';
import type { ActiveRoles } from './active-roles.js';
import { ControlLoop, type ControlLoopOptions } from './control-loop.js';

/** The periodic loops of a controller. */
export interface ControlLoops {
  readonly election: ControlLoop;
  readonly shards: ControlLoop;
  readonly leader: ControlLoop;
  readonly autoscaler: ControlLoop;
}

/** The work of the loops, and the clock and log that they use. */
interface ControlLoopsOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly activeRoles: ActiveRoles;
  readonly reconcileElection: () => Promise<void>;
  readonly reconcileShards: () => Promise<void>;
}

/** Creates the loops of a controller; none is scheduled yet. */
export function createControlLoops(options: ControlLoopsOptions): ControlLoops {
  const { activeRoles, clock, log, reconcileElection, reconcileShards } = options;
  const loop = (loopOptions: Omit<ControlLoopOptions, 'clock' | 'log'>): ControlLoop =>
    new ControlLoop({ ...loopOptions, clock, log });
  return {
    election: loop({
      name: 'election',
      reconcile: reconcileElection,
      intervalMs: () => ELECTION_INTERVAL_MS,
    }),
    shards: loop({ name: 'shards', reconcile: reconcileShards }),
    leader: loop({
      name: 'leader',
      reconcile: () => activeRoles.reconcileLeader(),
      lastCycleCpuMs: () =>
        Math.max(LEADER_COALESCE_MS / PAUSE_PER_CPU_TIME, activeRoles.leader?.lastPlanningMs ?? 0),
      intervalMs: () => (activeRoles.leader ? LOOP_INTERVAL_MS : STANDBY_INTERVAL_MS),
    }),
    autoscaler: loop({
      name: 'autoscaler',
      reconcile: () => activeRoles.reconcileAutoscaler(),
      intervalMs: () => (activeRoles.leader ? AUTOSCALER_INTERVAL_MS : STANDBY_INTERVAL_MS),
    }),
  };
}
