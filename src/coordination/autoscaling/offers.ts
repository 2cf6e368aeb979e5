/** The cloud's offers: machine types by zone, as on-demand machines or spot instances. */

import { NO_CAPACITY_PAUSE_MS } from '../../constants/autoscaling.js';
import type { JobSpec, MachineType } from '../../protocol/model.js';
import type { Clock } from '../../transport/clock.js';
import { isEligible } from '../capacity/machine-capacity.js';
import { countFittingTasks } from '../capacity/resources.js';
import type { Member } from '../election/rendezvous-hashing.js';

/** A machine type in a zone, on demand or as spot instance, with its price per hour. */
export interface Offer {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  readonly price: number;
}

/** Identifies an offer by its machine type, its zone, and whether it is for spot instances. */
export function offerKey(offer: Offer): string {
  return `${offer.type.name}/${offer.zone}/${offer.spot}`;
}

/** Whether a job's tasks may run on machines of an offer. */
export function isOfferEligible(spec: JobSpec, { type, zone, spot }: Offer): boolean {
  return isEligible(spec, { type: type.name, zone, spot });
}

/**
 * The offer with the lowest price per task, where a machine counts for at most `count` tasks; null
 * if no offer is eligible and large enough for a task.
 */
export function cheapestOffer(
  offers: readonly Offer[],
  spec: JobSpec,
  count: number,
): Offer | null {
  let cheapest: Offer | null = null;
  let lowestPrice = Infinity;
  for (const offer of offers) {
    if (!isOfferEligible(spec, offer)) continue;
    const tasks = Math.min(count, countFittingTasks(offer.type, spec));
    if (tasks === 0) continue;
    const pricePerTask = offer.price / tasks;
    if (pricePerTask < lowestPrice) {
      cheapest = offer;
      lowestPrice = pricePerTask;
    }
  }
  return cheapest;
}

/**
 * Sorts offers by the number of machines per controller in their zones, ascending, so that the
 * first of equally cheap offers is in the zone with the least loaded controllers. Machines send
 * their heartbeats to the controllers of their zone, and the controller with the most machines is
 * the first to become overloaded.
 */
export function sortByControllerLoad(
  offers: readonly Offer[],
  machines: readonly { zone: string }[],
  members: readonly Member[],
): Offer[] {
  const countIn = (list: readonly { zone: string }[], zone: string): number =>
    list.filter((item) => item.zone === zone).length;
  const loads = new Map<string, number>();
  for (const { zone } of offers) {
    if (loads.has(zone)) continue;
    // Machines in a zone without a controller are distributed over all controllers.
    const controllers = countIn(members, zone) || members.length;
    loads.set(zone, countIn(machines, zone) / controllers);
  }
  return [...offers].sort((a, b) => (loads.get(a.zone) ?? 0) - (loads.get(b.zone) ?? 0));
}

/** The offers of the catalog, without those for which the cloud recently lacked capacity. */
export class Offers {
  private readonly pausedUntil = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly isSpotAllowed: boolean,
  ) {}

  /** Returns the offers of these types that are not paused, spot instances only if allowed. */
  available(types: readonly MachineType[]): Offer[] {
    const now = this.clock.now();
    const offers: Offer[] = [];
    for (const type of types) {
      for (const zone of type.zones) {
        offers.push({ type, zone, spot: false, price: type.price });
        if (this.isSpotAllowed) offers.push({ type, zone, spot: true, price: type.spotPrice });
      }
    }
    return offers.filter((offer) => (this.pausedUntil.get(offerKey(offer)) ?? 0) <= now);
  }

  /**
   * Excludes an offer for `NO_CAPACITY_PAUSE_MS`, after the cloud had fewer machines of it than
   * were requested.
   */
  pause(offer: Offer): void {
    this.pausedUntil.set(offerKey(offer), this.clock.now() + NO_CAPACITY_PAUSE_MS);
  }
}
