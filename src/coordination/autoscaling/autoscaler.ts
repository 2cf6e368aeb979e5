/** The autoscaler: the leader's control loop that rents and returns machines. */

import { CLOUD_BACKOFF_MIN_MS, CLOUD_BACKOFF_MAX_MS } from '../../constants/autoscaling.js';
import { CATALOG } from '../../storage/keys.js';
import { RejectedChangeBackoff } from '../../storage/rejected-change-backoff.js';
import { Backoff } from '../../transport/backoff.js';
import { SingleFlight } from '../../transport/concurrency.js';
import type { FleetSnapshot } from '../capacity/machine-capacity.js';
import { CatalogRefresh } from './catalog-refresh.js';
import {
  CloudRequestBudget,
  type AutoscalingContext,
  type AutoscalerOptions,
} from './autoscaling-context.js';
import { Headroom } from './headroom.js';
import { IdleMachines } from './idle-machines.js';
import { MachineList } from './machine-list.js';
import { MachineRecords } from './machine-records.js';
import { ScaleIn } from './scale-in.js';
import { ScaleOut } from './scale-out.js';

/** Drains, returns and rents machines in passes; a failed pass is followed by a pause. */
export class Autoscaler {
  private readonly context: AutoscalingContext;
  private readonly backoff: Backoff;
  private readonly catalogRefresh: CatalogRefresh;
  private readonly machineList: MachineList;
  private readonly idleMachines: IdleMachines;
  private readonly scaleIn: ScaleIn;
  private readonly scaleOut: ScaleOut;
  private pausedUntil = -Infinity;
  private readonly singleFlight = new SingleFlight();

  constructor(options: AutoscalerOptions) {
    const { clock, cloudRps, headroomCpus, random, replica } = options;
    this.backoff = new Backoff(CLOUD_BACKOFF_MIN_MS, CLOUD_BACKOFF_MAX_MS, random);
    this.context = {
      ...options,
      cloudRequests: new CloudRequestBudget(clock, cloudRps),
      rejectedChangeBackoff: new RejectedChangeBackoff(clock),
      headroom: new Headroom(headroomCpus, replica, clock),
    };
    const records = new MachineRecords(this.context);
    this.catalogRefresh = new CatalogRefresh(this.context);
    this.machineList = new MachineList(this.context, records);
    this.idleMachines = new IdleMachines(this.context, records);
    this.scaleIn = new ScaleIn(this.context, records, this.machineList);
    this.scaleOut = new ScaleOut(this.context, records);
  }

  /** Runs one pass over the fleet; skipped while another pass runs or during a pause. */
  async reconcile(snapshot: FleetSnapshot): Promise<void> {
    if (this.context.clock.now() < this.pausedUntil) return;
    await this.singleFlight.run(() => this.runPass(snapshot));
  }

  private async runPass(snapshot: FleetSnapshot): Promise<void> {
    const { clock, headroom, rejectedChangeBackoff, log, replica } = this.context;
    rejectedChangeBackoff.removeExpired();
    headroom.update();
    try {
      await this.catalogRefresh.run();
      if (!replica.get(CATALOG)) return;
      await this.idleMachines.drain(snapshot);
      await this.scaleIn.run(snapshot);
      await this.scaleOut.run(snapshot);
      await this.machineList.refresh();
      this.backoff.reset();
    } catch (error) {
      const pauseMs = this.backoff.nextPauseMs();
      this.pausedUntil = clock.now() + pauseMs;
      log.info({ error: String(error), pauseMs }, 'autoscaler pass failed');
    }
  }
}
