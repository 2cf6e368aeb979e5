/** Chooses the machines for a shard's share of a gang: for all of its tasks at once, or for none. */

import type { JobSpec } from '../../protocol/model.js';
import type { Assignment } from '../shard-state/assignment.js';
import type { Machine } from '../shard-state/machine.js';
import type { Candidate } from './candidates.js';
import { layOutInFreeCapacity, type GangLayout } from './gang-layout.js';
import type { GangPreemption } from './gang-preemption.js';

/** When the machines have a gang's image. */
interface ImageFetches {
  /** Whether a machine has the image soon enough for the start target of the gang's class. */
  isInTime: (machine: Machine) => boolean;
  /** Whether it has it while tasks with the image still wait for it, at the slowest. */
  isWithinGangWait: (machine: Machine) => boolean;
}

/** A shard's share of a gang and what it may use. */
export interface GangRequest {
  spec: JobSpec;
  assignment: Assignment;
  candidates: readonly Candidate[];
  /** The machine types among the candidates, the best first. */
  types: readonly string[];
  fetches: ImageFetches;
}

/** Finds a layout for a shard's share of a gang. */
export class GangPlacement {
  constructor(private readonly preemption: Pick<GangPreemption, 'layOut'>) {}

  /**
   * A machine for each waiting task, or null. A gang runs at the speed of its slowest member, so one
   * type is tried before a mixture. A machine that has the image late delays all members: preemption
   * on the others comes before that.
   */
  find(request: GangRequest): GangLayout | null {
    const { spec, candidates, types, fetches } = request;
    const inTime = candidates.filter(({ machine }) => fetches.isInTime(machine));
    const withinWait = candidates.filter(({ machine }) => fetches.isWithinGangWait(machine));
    const stages = inTime.length < withinWait.length ? [inTime, withinWait] : [withinWait];
    for (const stage of stages) {
      const layout = this.findAmong(request, stage, types);
      if (layout) return layout;
    }
    if (withinWait.length === candidates.length) return null;
    // Where a fetch may outlast the wait of those that have the image, all of them must fetch it,
    // on machines that are equally quick.
    const withoutImage = candidates.filter(({ machine }) => !machine.images.has(spec.image));
    for (const type of types) {
      const sameType = withoutImage.filter(({ machine }) => machine.type === type);
      const layout = this.findAmong(request, sameType, [type]);
      if (layout) return layout;
    }
    return null;
  }

  /** A layout on machines of one type, else on a mixture; without preemption, else with it. */
  private findAmong(
    { spec, assignment }: GangRequest,
    candidates: readonly Candidate[],
    types: readonly string[],
  ): GangLayout | null {
    const groups = types.map((type) => candidates.filter(({ machine }) => machine.type === type));
    if (types.length > 1) groups.push([...candidates]);
    for (const group of groups) {
      const layout = layOutInFreeCapacity(spec, assignment, group);
      if (layout) return layout;
    }
    for (const group of groups) {
      const layout = this.preemption.layOut(spec, assignment, group);
      if (layout) return layout;
    }
    return null;
  }
}
