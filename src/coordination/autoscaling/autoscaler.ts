/** The leader's periodic management of rented machines. */
import { CLOUD_BACKOFF_FIRST_MS, CLOUD_BACKOFF_LAST_MS } from '../../constants.js';
import { CATALOG } from '../../storage/keys.js';
import { InvalidChangeBackoff } from '../../storage/rejected-change-backoff.js';
import { Backoff } from '../../transport/backoff.js';
import type { FleetSnapshot } from '../capacity/machine-capacity.js';
import { CatalogRefresh } from './catalog-refresh.js';
import { CloudRequestBudget, type FleetContext, type FleetOptions } from './autoscaling-context.js';
import { Headroom } from './headroom.js';
import { IdleMachines } from './idle-machines.js';
import { MachineList } from './machine-list.js';
import { MachineRecords } from './machine-records.js';
import { MachineReturns } from './scale-in.js';
import { Renting } from './scale-out.js';

export type { FleetOptions } from './autoscaling-context.js';

/** Rents, drains and returns machines in rounds; pauses while the cloud does not answer. */
export class Fleet {
  private readonly context: FleetContext;
  private readonly backoff: Backoff;
  private readonly catalogRefresh: CatalogRefresh;
  private readonly machineList: MachineList;
  private readonly idleMachines: IdleMachines;
  private readonly machineReturns: MachineReturns;
  private readonly renting: Renting;
  private pausedUntil = -Infinity;
  private busy = false;

  constructor(options: FleetOptions) {
    const { clock, cloudRps, headroomCpus, random, replica } = options;
    this.backoff = new Backoff(CLOUD_BACKOFF_FIRST_MS, CLOUD_BACKOFF_LAST_MS, random);
    this.context = {
      ...options,
      cloudRequests: new CloudRequestBudget(clock, cloudRps),
      invalidBackoff: new InvalidChangeBackoff(clock),
      headroom: new Headroom(headroomCpus, replica, clock),
    };
    const records = new MachineRecords(this.context);
    this.catalogRefresh = new CatalogRefresh(this.context);
    this.machineList = new MachineList(this.context, records);
    this.idleMachines = new IdleMachines(this.context, records);
    this.machineReturns = new MachineReturns(this.context, records, this.machineList);
    this.renting = new Renting(this.context, records);
  }

  /** One round over the machines; does nothing while another round runs or the cloud is paused. */
  async round(snapshot: FleetSnapshot): Promise<void> {
    const { clock, headroom, invalidBackoff, log, replica } = this.context;
    if (this.busy || clock.now() < this.pausedUntil) return;
    this.busy = true;
    invalidBackoff.sweep();
    headroom.update();
    try {
      await this.catalogRefresh.run();
      if (!replica.get(CATALOG)) return;
      await this.idleMachines.drain(snapshot);
      await this.machineReturns.run(snapshot);
      await this.renting.run(snapshot);
      await this.machineList.refresh();
      this.backoff.reset();
    } catch (error) {
      this.pausedUntil = clock.now() + this.backoff.next();
      log.info({ error: String(error) }, 'cloud did not answer');
    } finally {
      this.busy = false;
    }
  }
}
