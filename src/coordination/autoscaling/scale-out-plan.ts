/** Plans how many machines of which offers to rent for given tasks and for the headroom. */

import { PREEMPTIBLE_CPU_SHARE } from '../../constants/autoscaling.js';
import { RENT_MAX } from '../../constants/protocol.js';
import type { JobSpec } from '../../protocol/model.js';
import { isEligible, type MachineCapacity } from '../capacity/machine-capacity.js';
import { countFittingTasks, type Resources } from '../capacity/resources.js';
import type { TaskDemand } from './capacity-demand.js';
import { cheapestOffer, isOfferEligible, offerKey, type Offer } from './offers.js';

/** Machines of one offer to be rented. */
export interface Rental {
  readonly offer: Offer;
  readonly count: number;
}

/** A rental in planning, and what the tasks planned so far leave free on its machines. */
interface PlannedRental {
  readonly offer: Offer;
  count: number;
  readonly capacities: Resources[];
}

/** What a plan begins with. */
export interface ScaleOutPlanOptions {
  readonly offers: readonly Offer[];
  /** Machines that are not up yet; the plan takes its tasks' resources from them. */
  readonly booting: readonly MachineCapacity[];
  /** Number of machines that there are already. */
  readonly machineCount: number;
  readonly maxMachines: number;
}

/** Takes the tasks' resources from the machines; returns how many tasks don't fit. */
function fillMachines(capacities: readonly Resources[], spec: JobSpec, count: number): number {
  let left = count;
  for (const capacity of capacities) {
    const placed = Math.min(left, countFittingTasks(capacity, spec));
    capacity.cpus -= placed * spec.cpus;
    capacity.gpus -= placed * spec.gpus;
    capacity.memoryGb -= placed * spec.memoryGb;
    left -= placed;
    if (left === 0) break;
  }
  return left;
}

/** A plan to which demand is added, in the order in which it is to be served. */
export class ScaleOutPlan {
  private readonly planned = new Map<string, PlannedRental>();
  private machineCount: number;

  constructor(private readonly options: ScaleOutPlanOptions) {
    this.machineCount = options.machineCount;
  }

  /** The planned rentals, in the order in which their offers were first chosen. */
  get rentals(): Rental[] {
    return [...this.planned.values()].map(({ offer, count }) => ({ offer, count }));
  }

  /**
   * Plans for tasks: they go to booting machines first, then to machines planned so far, and for
   * the rest machines of the cheapest offer are added.
   */
  addTasks({ spec, count }: TaskDemand): void {
    const { booting, maxMachines, offers } = this.options;
    const eligible = booting.filter((machine) => isEligible(spec, machine));
    let left = fillMachines(eligible, spec, count);
    for (const rental of this.planned.values()) {
      if (isOfferEligible(spec, rental.offer)) left = fillMachines(rental.capacities, spec, left);
    }
    while (left > 0 && this.machineCount < maxMachines) {
      const offer = cheapestOffer(offers, spec, left);
      if (!offer) break;
      const rental = this.rentalOf(offer);
      if (rental.count >= RENT_MAX) break;
      rental.count++;
      this.machineCount++;
      const { cpus, gpus, memoryGb } = offer.type;
      const capacity = { cpus, gpus, memoryGb };
      rental.capacities.push(capacity);
      left = fillMachines([capacity], spec, left);
    }
  }

  /**
   * Plans for free CPUs on ordinary machines, so that urgent work need not wait for a boot.
   * `healthy`: the machines that are up and healthy.
   */
  addHeadroom(headroomCpus: number, healthy: readonly MachineCapacity[]): void {
    const missing = headroomCpus - this.ordinaryCpus(healthy);
    if (missing <= 0) return;
    const [offer] = this.options.offers
      .filter(({ spot }) => !spot)
      .sort((a, b) => a.price / a.type.cpus - b.price / b.type.cpus);
    if (!offer) return;
    const rental = this.rentalOf(offer);
    rental.count = Math.min(RENT_MAX, rental.count + Math.ceil(missing / offer.type.cpus));
  }

  /** CPUs of ordinary machines that are free or can be preempted, planned machines included. */
  private ordinaryCpus(healthy: readonly MachineCapacity[]): number {
    let cpus = 0;
    for (const machine of [...healthy, ...this.options.booting]) {
      if (machine.spot) continue;
      // CPUs that urgent work may preempt count in part, since preemption loses work done.
      cpus += Math.max(0, machine.cpus) + machine.preemptibleCpus * PREEMPTIBLE_CPU_SHARE;
    }
    for (const { offer, capacities } of this.planned.values()) {
      if (offer.spot) continue;
      for (const capacity of capacities) cpus += Math.max(0, capacity.cpus);
    }
    return cpus;
  }

  private rentalOf(offer: Offer): PlannedRental {
    const key = offerKey(offer);
    const rental = this.planned.get(key) ?? { offer, count: 0, capacities: [] };
    this.planned.set(key, rental);
    return rental;
  }
}
