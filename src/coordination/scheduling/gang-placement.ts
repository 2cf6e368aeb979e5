/** Selects the machines for all tasks of a gang subset at once, or for none of them. */

import type { JobSpec } from '../../protocol/model.js';
import type { Assignment } from '../shard-state/assignment.js';
import type { Machine } from '../shard-state/machine.js';
import type { CandidateMachine } from './candidates.js';
import { layOutInFreeCapacity, type GangLayout } from './gang-layout.js';
import type { GangPreemption } from './gang-preemption.js';

/** Checks whether a machine fetches a gang's image in time. */
interface ImageFetches {
  /** Whether the fetch is short enough for the start target of the gang's class. */
  isInTime: (machine: Machine) => boolean;
  /**
   * Whether a fetch, even a slow one, ends before the gang's tasks on machines that have the image
   * stop waiting for the other tasks.
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
    // On the remaining machines a fetch may take longer than tasks that have the image wait for the
    // others. All tasks must fetch the image then, on machines of one type, which are equally fast.
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
