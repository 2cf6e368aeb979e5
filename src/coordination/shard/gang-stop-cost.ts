/** Judges whether a gang may be preempted, by what the stop would cost it. */
import { GANG_MAX_LOST_PROGRESS_S, GANG_STOP_PROPAGATION_MS } from '../../constants/gangs.js';
import type { JobSpec } from '../../protocol/model.js';
import type { Assignment } from '../shard-state/assignment.js';
import type { Machine } from '../shard-state/machine.js';
import { jobSpec, type ShardContext } from './shard-context.js';

/** What the judgement reads. */
type GangStopCostContext = Pick<
  ShardContext,
  'options' | 'gangs' | 'machines' | 'replica' | 'clock'
>;

/** Weighs a stop of a gang for other work. */
export class GangStopCost {
  constructor(private readonly context: GangStopCostContext) {}

  /**
   * Whether a stop of the gang for other work is worth what it costs. Its progress is saved only if
   * all of its tasks are told within `gang_peer_s`; else what it did since its last checkpoint is
   * lost, and it goes on unless that is little.
   */
  mayStop(assignment: Assignment): boolean {
    const spec = jobSpec(this.context, assignment.job);
    if (spec === null) return true;
    if (this.isReachable(assignment, spec)) return true;
    return this.progressAtRiskS(assignment, spec) <= GANG_MAX_LOST_PROGRESS_S;
  }

  /** Whether a stop reaches all tasks of the gang in time. */
  private isReachable(assignment: Assignment, spec: JobSpec): boolean {
    const { gangs, machines, options } = this.context;
    const isShared = assignment.tasks.size < spec.tasks;
    if (isShared && options.gangPeerS * 1000 < GANG_STOP_PROPAGATION_MS) return false;
    return [...gangs.machinesOf(assignment.job)].every((name) =>
      this.hearsCalls(machines.all.get(name)),
    );
  }

  /** Whether a call to the machine is likely to be carried out at once. */
  private hearsCalls(machine: Machine | undefined): boolean {
    if (!machine?.isAcknowledged || machine.directCalls) return false;
    return this.context.machines.health(machine) === 'ok';
  }

  /** Seconds that the gang ran since its last checkpoint, at the most; 0 where it never saves. */
  private progressAtRiskS(assignment: Assignment, spec: JobSpec): number {
    let since = Infinity;
    for (const task of assignment.tasks.values()) {
      since = Math.min(since, task.runningAt ?? Infinity);
    }
    if (since === Infinity) return 0;
    // Where its last attempt ended is not known here: its checkpoints may come at any moment.
    return Math.min(spec.checkpointS, (this.context.clock.now() - since) / 1000);
  }
}
