/** Plans how many machines of each offer to rent, for given tasks and for the headroom. */

import { PREEMPTIBLE_CPU_FRACTION } from '../../constants/autoscaling.js';
import { MAX_MACHINES_PER_RENTAL } from '../../constants/protocol.js';
import type { JobSpec } from '../../protocol/model.js';
import { isEligible, type MachineCapacity } from '../capacity/machine-capacity.js';
import { countFittingTasks, type Resources } from '../capacity/resources.js';
import type { TaskDemand } from './capacity-demand.js';
import { cheapestOffer, isOfferEligible, offerKey, type Offer } from './offers.js';

/** A number of machines of one offer, to be rented. */
export interface Rental {
  readonly offer: Offer;
  readonly count: number;
}

/** A planned rental, and the free capacity of its machines after the tasks planned so far. */
interface PlannedRental {
  readonly offer: Offer;
  count: number;
  readonly capacities: Resources[];
}

/** Initial state and limits of a plan. */
export interface ScaleOutPlanOptions {
  readonly offers: readonly Offer[];
  /** Machines that are still booting; the plan reduces their free capacity by planned tasks. */
  readonly booting: readonly MachineCapacity[];
  /** Current number of machines. */
  readonly machineCount: number;
  readonly maxMachines: number;
}

/**
 * Takes the resources of `count` tasks from the free capacities of machines, one machine after the
 * other; returns the number of tasks that fit on none.
 */
function fillMachines(capacities: readonly Resources[], spec: JobSpec, count: number): number {
  let remainingCount = count;
  for (const capacity of capacities) {
    const placed = Math.min(remainingCount, countFittingTasks(capacity, spec));
    capacity.cpus -= placed * spec.cpus;
    capacity.gpus -= placed * spec.gpus;
    capacity.memoryGb -= placed * spec.memoryGb;
    remainingCount -= placed;
    if (remainingCount === 0) break;
  }
  return remainingCount;
}

/** A plan of rentals; demand is added to it in descending order of importance. */
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
   * Adds tasks to the plan: first on booting machines, then on the machines planned so far, then on
   * additional machines of the cheapest offers.
   */
  addTasks({ spec, count }: TaskDemand): void {
    const { booting, maxMachines, offers } = this.options;
    const eligible = booting.filter((machine) => isEligible(spec, machine));
    let remainingCount = fillMachines(eligible, spec, count);
    for (const rental of this.planned.values()) {
      if (isOfferEligible(spec, rental.offer))
        remainingCount = fillMachines(rental.capacities, spec, remainingCount);
    }
    while (remainingCount > 0 && this.machineCount < maxMachines) {
      const offer = cheapestOffer(offers, spec, remainingCount);
      if (!offer) break;
      const rental = this.rentalOf(offer);
      if (rental.count >= MAX_MACHINES_PER_RENTAL) break;
      rental.count++;
      this.machineCount++;
      const { cpus, gpus, memoryGb } = offer.type;
      const capacity = { cpus, gpus, memoryGb };
      rental.capacities.push(capacity);
      remainingCount = fillMachines([capacity], spec, remainingCount);
    }
  }

  /**
   * Adds on-demand machines to the plan if fewer than `headroomCpus` CPUs of on-demand machines are
   * free or preemptible, so that urgent work doesn't have to wait for a boot. `healthy`: the
   * healthy machines of the fleet.
   */
  addHeadroom(headroomCpus: number, healthy: readonly MachineCapacity[]): void {
    const missing = headroomCpus - this.onDemandCpus(healthy);
    if (missing <= 0) return;
    const [offer] = this.options.offers
      .filter(({ spot }) => !spot)
      .sort((a, b) => a.price / a.type.cpus - b.price / b.type.cpus);
    if (!offer) return;
    const rental = this.rentalOf(offer);
    rental.count = Math.min(
      MAX_MACHINES_PER_RENTAL,
      rental.count + Math.ceil(missing / offer.type.cpus),
    );
  }

  /**
   * CPUs of on-demand machines that are free or, in part, preemptible. Healthy, booting and planned
   * machines count.
   */
  private onDemandCpus(healthy: readonly MachineCapacity[]): number {
    let cpus = 0;
    for (const machine of [...healthy, ...this.options.booting]) {
      if (machine.spot) continue;
      // Preemptible CPUs count in part, because a preempted task loses work done.
      cpus += Math.max(0, machine.cpus) + machine.preemptibleCpus * PREEMPTIBLE_CPU_FRACTION;
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
