/** Selects the machines for all tasks of a gang subset at once, or for none of them. */

import type { JobSpec } from '../../protocol/model.js';
import type { Assignment } from '../shard-state/assignment.js';
import type { Machine } from '../shard-state/machine.js';
import type { CandidateMachine } from './candidates.js';
import { layOutInFreeCapacity, type GangLayout } from './gang-layout.js';
import type { GangPreemption } from './gang-preemption.js';

/** Checks of the time that a machine takes to fetch the image of one gang. */
interface ImageFetches {
  /**
   * Whether a machine has the gang's image, or fetches it early enough for the start target of the
   * gang's class. True if the class has no start target.
   */
  isInTime: (machine: Machine) => boolean;
  /**
   * Whether a machine's fetch of the gang's image, even a slow one, ends before the gang's tasks on
   * machines that have the image stop waiting for the other tasks. True if the machine has the
   * image.
   */
  isWithinGangWait: (machine: Machine) => boolean;
}

/** A gang subset that needs machines, and the machines that it may use. */
export interface GangRequest {
  spec: JobSpec;
  assignment: Assignment;
  candidates: readonly CandidateMachine[];
  /** Machine types of the candidates, the best first. */
  types: readonly string[];
  fetches: ImageFetches;
}

/** Finds layouts for gang subsets, with and without preemption. */
export class GangPlacement {
  constructor(private readonly preemption: Pick<GangPreemption, 'layOut'>) {}

  /**
   * Returns a machine for each waiting task; null if there is no such layout. A gang runs at the
   * speed of its slowest task, so machines of one type are tried before a mixture of types. A late
   * image fetch delays all tasks, so preemption on machines that have the image in time is tried
   * before machines that fetch it late.
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
    // On the machines that are not in `withinWait`, the image fetch may take longer than tasks on
    // machines with the image wait for the other tasks. A layout with these machines therefore uses
    // only machines without the image, all of one type, which fetch equally fast.
    const withoutImage = candidates.filter(({ machine }) => !machine.images.has(spec.image));
    for (const type of types) {
      const sameType = withoutImage.filter(({ machine }) => machine.type === type);
      const layout = this.findAmong(request, sameType, [type]);
      if (layout) return layout;
    }
    return null;
  }

  /**
   * Tries layouts without preemption, then with it; in both cases single types before a mixture.
   */
  private findAmong(
    { spec, assignment }: GangRequest,
    candidates: readonly CandidateMachine[],
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
