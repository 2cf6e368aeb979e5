/** Preemption for a gang: enough tasks are stopped for all of a shard's share, or none. */

import { RECLAIM_VALID_MS } from '../../constants/gangs.js';
import { rankOf, type JobSpec } from '../../protocol/model.js';
import type { Clock } from '../../transport/clock.js';
import { allocate, type Resources } from '../capacity/resources.js';
import type { Assignment } from '../shard-state/assignment.js';
import type { Candidate } from './candidates.js';
import type { GangLayout } from './gang-layout.js';
import {
  findCheapest,
  selectVictims,
  type Preemption,
  type PreemptibleMachine,
  type PreemptionOption,
  type PreemptionRights,
  type Victim,
} from './preemption.js';

/** A machine in planning: what the plan leaves free, what may still be stopped, and what will be. */
interface PlannedMachine extends PreemptibleMachine {
  stoppable: Victim[];
  victims: Victim[];
}

/** Rights of which a plan takes what it uses. */
interface GangPreemptionRights extends PreemptionRights {
  arrayCpus: Map<string, number>;
}

/** Plans layouts for which other work is stopped. */
export class GangPreemption {
  constructor(
    private readonly preemption: Pick<Preemption, 'victims'>,
    private readonly clock: Clock,
  ) {}

  /** A layout on these machines that stops as few other tasks as will do; null: there is none. */
  layOut(
    spec: JobSpec,
    assignment: Assignment,
    candidates: readonly Candidate[],
  ): GangLayout | null {
    const arrayCpus = new Map(Object.entries(this.reclaimableArrayCpus(assignment)));
    const rights: GangPreemptionRights = { rank: rankOf(spec.priority), arrayCpus };
    const machines = candidates.map((candidate) => this.plannedMachine(candidate, rights));
    const targets: Candidate[] = [];
    while (targets.length < assignment.waitingTasks.size) {
      const option = cheapestOption(machines, assignment.record, rights);
      if (!option) return null;
      applyOption(option, rights);
      allocate(option.machine.free, assignment.record);
      targets.push(option.machine.candidate);
    }
    return { targets, preemptions: machines.filter(({ victims }) => victims.length > 0) };
  }

  private plannedMachine(candidate: Candidate, rights: PreemptionRights): PlannedMachine {
    const stoppable = this.preemption.victims(candidate, rights);
    return { candidate, free: { ...candidate.free }, stoppable, victims: [] };
  }

  /**
   * CPUs of arrays of teams beyond their guarantee that a gang may stop, by team: only for a moment
   * after it was handed out.
   */
  private reclaimableArrayCpus(assignment: Assignment): Record<string, number> {
    const [first] = assignment.waitingTasks;
    const isRecent =
      first !== undefined && this.clock.now() - first.waitingSince < RECLAIM_VALID_MS;
    return isRecent ? (assignment.record.reclaim ?? {}) : {};
  }
}

/** How to fit one more task where that costs the least; null: it fits on none of the machines. */
function cheapestOption(
  machines: readonly PlannedMachine[],
  task: Resources,
  rights: PreemptionRights,
): PreemptionOption<PlannedMachine> | null {
  return findCheapest(machines, 0, (machine) => selectVictims(machine, task, rights));
}

/** Frees what the victims of an option use, and takes their arrays' CPUs off the rights. */
function applyOption(
  { machine, victims }: PreemptionOption<PlannedMachine>,
  { arrayCpus }: GangPreemptionRights,
): void {
  for (const victim of victims) {
    const { record } = victim.assignment;
    allocate(machine.free, record, -1);
    machine.victims.push(victim);
    if (victim.isOutranked) continue;
    arrayCpus.set(record.team, (arrayCpus.get(record.team) ?? 0) - record.cpus);
  }
  machine.stoppable = machine.stoppable.filter((victim) => !victims.includes(victim));
}
