/** Scale-out: rents machines for work that the fleet can't finish in time, and for headroom. */

import { MAX_MACHINES_PER_RENTAL } from '../../constants/protocol.js';
import type { RentResult } from '../../protocol/cloud-api.js';
import { PassSteps } from '../../storage/pass-steps.js';
import type { FleetSnapshot } from '../capacity/machine-capacity.js';
import { missingGangCapacity } from '../capacity/gang-capacity.js';
import { demandBeyondFleet } from './capacity-demand.js';
import { machineTypes, type AutoscalingContext } from './autoscaling-context.js';
import type { MachineRecords } from './machine-records.js';
import { Offers, sortByControllerLoad } from './offers.js';
import { ScaleOutPlan, type Rental } from './scale-out-plan.js';

/** Plans the rentals of each pass, sends the requests, and records the rented machines. */
export class ScaleOut {
  private readonly offers: Offers;
  private readonly steps: PassSteps;
  /** Number of rent requests in this term; part of their identifiers. */
  private requestCount = 0;

  constructor(
    private readonly context: AutoscalingContext,
    private readonly records: MachineRecords,
  ) {
    this.steps = new PassSteps(context.log, {});
    this.offers = new Offers(context.clock, context.isSpotAllowed);
  }

  /** Rents machines for the missing capacity, as far as the request budget allows. */
  async run(snapshot: FleetSnapshot): Promise<void> {
    const { cloud, cloudRequests, term } = this.context;
    for (const rental of this.plan(snapshot)) {
      if (!cloudRequests.trySpend()) return;
      const request = `r-${term}-${++this.requestCount}`;
      const { type, zone, spot } = rental.offer;
      const count = Math.min(rental.count, MAX_MACHINES_PER_RENTAL);
      const result = await cloud.rent({ request, type: type.name, zone, spot, count });
      this.handleResult(rental, result);
      if (result.kind !== 'rented') continue;
      await this.records.recordState(
        result.machines.map((name) => ({ name, type: type.name, zone, spot })),
        'rented',
      );
    }
  }

  /**
   * Logs the result of a rent request; pauses the offer if the cloud had fewer machines than
   * requested.
   */
  private handleResult({ offer, count }: Rental, result: RentResult): void {
    const { type, zone, spot } = offer;
    const rentedCount = result.kind === 'rented' ? result.machines.length : 0;
    this.context.log.info(
      {
        type: type.name,
        zone,
        spot,
        requestedCount: count,
        rentedCount,
        result: result.kind,
      },
      'rent request completed',
    );
    if (result.kind === 'noCapacity' || (result.kind === 'rented' && rentedCount < count)) {
      this.offers.pause(offer);
    }
  }

  /**
   * Plans rentals of the cheapest offers for demand that doesn't fit on booting machines, for gangs
   * like recent ones, and for the headroom's CPUs.
   */
  private plan(snapshot: FleetSnapshot): Rental[] {
    const { clock, headroom, maxMachines, members, replica } = this.context;
    const types = machineTypes(replica);
    const booting = snapshot.machines
      .filter((machine) => machine.health === 'booting')
      .map((machine) => ({ ...machine }));
    const healthy = snapshot.machines.filter((machine) => machine.health === 'ok');
    const plan = new ScaleOutPlan({
      offers: sortByControllerLoad(this.offers.available(types), snapshot.machines, members),
      booting,
      machineCount: snapshot.machines.length,
      maxMachines,
    });
    const demand = demandBeyondFleet({ snapshot, booting, types, wallMs: clock.wall() });
    for (const tasks of demand) {
      this.steps.run(`plan machines for ${tasks.spec.id}`, () => plan.addTasks(tasks));
    }
    // Waiting tasks are planned first, so that capacity for future gangs is additional to theirs.
    const missingForGangs = missingGangCapacity(headroom.gangs(snapshot), [...healthy, ...booting]);
    for (const tasks of missingForGangs) plan.addTasks(tasks);
    plan.addHeadroom(headroom.cpus, healthy);
    return plan.rentals;
  }
}
