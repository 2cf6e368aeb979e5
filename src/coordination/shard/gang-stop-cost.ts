/** Decides whether a gang may be preempted, depending on the progress that it could lose. */
import { GANG_MAX_LOST_PROGRESS_S, GANG_STOP_PROPAGATION_MS } from '../../constants/gangs.js';
import type { JobSpec } from '../../protocol/model.js';
import type { Assignment } from '../shard-state/assignment.js';
import type { Machine } from '../shard-state/machine.js';
import { jobSpec, type ShardContext } from './shard-context.js';

/** The parts of a shard's context that the decision reads. */
type GangStopCostContext = Pick<
  ShardContext,
  'options' | 'gangSubsets' | 'machines' | 'replica' | 'clock'
>;

/** Estimates the progress that a gang loses if it is preempted. */
export class GangStopCost {
  constructor(private readonly context: GangStopCostContext) {}

  /**
   * Whether the gang may be stopped for other work. Its progress is saved only if all of its tasks
   * receive the stop within `gang_peer_s`. Otherwise the progress since its last checkpoint is
   * lost, and the gang may be stopped only if this progress is at most `GANG_MAX_LOST_PROGRESS_S`.
   * A gang whose job has ended may always be stopped.
   */
  mayStop(assignment: Assignment): boolean {
    const spec = jobSpec(this.context, assignment.job);
    if (spec === null) return true;
    if (this.canStopInTime(assignment, spec)) return true;
    return this.progressAtRiskS(assignment, spec) <= GANG_MAX_LOST_PROGRESS_S;
  }

  /** Whether a stop is likely to reach all tasks of the gang within `gang_peer_s`. */
  private canStopInTime(assignment: Assignment, spec: JobSpec): boolean {
    const { gangSubsets, machines, options } = this.context;
    const spansShards = assignment.tasks.size < spec.tasks;
    if (spansShards && options.gangPeerS * 1000 < GANG_STOP_PROPAGATION_MS) return false;
    return [...gangSubsets.machinesOf(assignment.job)].every((name) =>
      this.isLikelyReachable(machines.all.get(name)),
    );
  }

  /**
   * Whether a call to the machine is likely to be carried out at once: the machine is acknowledged,
   * its health is `ok`, and no earlier call is unconfirmed.
   */
  private isLikelyReachable(machine: Machine | undefined): boolean {
    if (!machine?.isAcknowledged || machine.unconfirmedCall) return false;
    return this.context.machines.health(machine) === 'ok';
  }

  /**
   * Upper bound of the seconds since the gang's last checkpoint; 0 if the gang never saves, or if
   * none of its tasks has been running.
   */
  private progressAtRiskS(assignment: Assignment, spec: JobSpec): number {
    let since = Infinity;
    for (const task of assignment.tasks.values()) {
      since = Math.min(since, task.runningAt ?? Infinity);
    }
    if (since === Infinity) return 0;
    // The records don't show from which progress the attempt continued, so a checkpoint may be due
    // at any moment. At most one checkpoint interval is lost.
    return Math.min(spec.checkpointS, (this.context.clock.now() - since) / 1000);
  }
}
