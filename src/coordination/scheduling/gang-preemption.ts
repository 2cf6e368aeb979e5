/** Preemption for gangs: frees capacity for all tasks of a gang subset, or preempts nothing. */

import { RECLAIM_VALID_MS } from '../../constants/gangs.js';
import { rankOf, type JobSpec } from '../../protocol/model.js';
import type { Clock } from '../../transport/clock.js';
import { allocate, type Resources } from '../capacity/resources.js';
import type { Assignment } from '../shard-state/assignment.js';
import type { CandidateMachine } from './candidates.js';
import type { GangLayout } from './gang-layout.js';
import {
  findCheapest,
  selectVictims,
  type Preemption,
  type PreemptibleMachine,
  type PreemptionOption,
  type PreemptionRights,
  type PreemptionCandidate,
} from './preemption.js';

/** A machine during planning: its free capacity, remaining preemption candidates and victims. */
interface PlannedMachine extends PreemptibleMachine {
  preemptionCandidates: PreemptionCandidate[];
  victims: PreemptionCandidate[];
}

/** Preemption rights that decrease with each array task that the plan preempts. */
interface GangPreemptionRights extends PreemptionRights {
  arrayCpus: Map<string, number>;
}

/** Plans gang layouts that preempt other tasks. */
export class GangPreemption {
  constructor(
    private readonly preemption: Pick<Preemption, 'preemptionCandidates'>,
    private readonly clock: Clock,
  ) {}

  /**
   * Returns a layout for the waiting tasks of a gang subset. Selects machines task by task, each at
   * the lowest preemption cost; null if not all tasks fit.
   */
  layOut(
    spec: JobSpec,
    assignment: Assignment,
    candidates: readonly CandidateMachine[],
  ): GangLayout | null {
    const arrayCpus = new Map(Object.entries(this.reclaimableArrayCpus(assignment)));
    const rights: GangPreemptionRights = { rank: rankOf(spec.priority), arrayCpus };
    const machines = candidates.map((candidate) => this.createPlannedMachine(candidate, rights));
    const targets: CandidateMachine[] = [];
    while (targets.length < assignment.waitingTasks.size) {
      const option = cheapestOption(machines, assignment.record, rights);
      if (!option) return null;
      applyOption(option, rights);
      allocate(option.machine.free, assignment.record);
      targets.push(option.machine.candidate);
    }
    return { targets, preemptions: machines.filter(({ victims }) => victims.length > 0) };
  }

  private createPlannedMachine(
    candidate: CandidateMachine,
    rights: PreemptionRights,
  ): PlannedMachine {
    const preemptionCandidates = this.preemption.preemptionCandidates(candidate, rights);
    return { candidate, free: { ...candidate.free }, preemptionCandidates, victims: [] };
  }

  /**
   * Returns the CPUs of arrays that a gang may preempt, by team, for teams above their fair shares.
   * Empty once `RECLAIM_VALID_MS` have passed since the gang was assigned to the shard.
   */
  private reclaimableArrayCpus(assignment: Assignment): Record<string, number> {
    const [first] = assignment.waitingTasks;
    const isRecent =
      first !== undefined && this.clock.now() - first.waitingSince < RECLAIM_VALID_MS;
    return isRecent ? (assignment.record.reclaim ?? {}) : {};
  }
}

/**
 * The way to place one more task whose victims have the lowest sum of costs; null if the task fits
 * on none of the machines.
 */
function cheapestOption(
  machines: readonly PlannedMachine[],
  task: Resources,
  rights: PreemptionRights,
): PreemptionOption<PlannedMachine> | null {
  return findCheapest(machines, 0, (machine) => selectVictims(machine, task, rights));
}

/**
 * Adds an option's victims to the plan. Victims that do not rank lower than the gang are tasks of
 * arrays; their CPUs are subtracted from those that the gang may preempt of their team's arrays.
 */
function applyOption(
  { machine, victims }: PreemptionOption<PlannedMachine>,
  { arrayCpus }: GangPreemptionRights,
): void {
  for (const victim of victims) {
    const { record } = victim.assignment;
    allocate(machine.free, record, -1);
    machine.victims.push(victim);
    if (victim.hasLowerRank) continue;
    arrayCpus.set(record.team, (arrayCpus.get(record.team) ?? 0) - record.cpus);
  }
  machine.preemptionCandidates = machine.preemptionCandidates.filter(
    (preemptionCandidate) => !victims.includes(preemptionCandidate),
  );
}
