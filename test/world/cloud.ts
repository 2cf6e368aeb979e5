/** The cloud of the simulated cluster: rents machines and takes them back. */
import type { CloudApi } from '../../src/protocol/cloud-api.js';
import type { ListedMachine } from '../../src/protocol/model.js';
import { OutcomeUnknownError } from '../../src/transport/errors.js';
import { TYPES } from './settings.js';
import { SimWorker } from './worker.js';
import type { SimulationHost } from './simulation-host.js';

/** Rents out machines and takes them back, with the faults that tests inject. */
export class SimCloud {
  /** Number of machines that can still be rented; with 0, a rental gets "no capacity". */
  capacity = 20;
  /** True if the cloud refuses to take machines back. */
  refusesReturns = false;
  /** True if the cloud answers requests for its machine types. */
  hasCatalog = true;
  private readonly rentedMachines = new Map<string, ListedMachine>();
  private readonly machineByAddress = new Map<string, string>();
  private readonly rentRequests = new Map<string, string[]>();
  private machineCount = 0;

  constructor(private readonly world: SimulationHost) {}

  /** Returns the cloud's interface for a controller. */
  api(): CloudApi {
    return {
      types: () =>
        this.hasCatalog
          ? Promise.resolve(structuredClone(TYPES))
          : Promise.reject(new OutcomeUnknownError('catalogue not available')),
      rent: ({ request, type, zone, spot, count }) => {
        const rentedBefore = this.rentRequests.get(request);
        if (rentedBefore) return Promise.resolve({ kind: 'rented', machines: rentedBefore });
        const rentedCount = Math.min(count, this.capacity);
        if (rentedCount === 0) return Promise.resolve({ kind: 'noCapacity' });
        const machines = Array.from({ length: rentedCount }, () =>
          this.addMachine(type, zone, spot, 8000),
        );
        this.rentRequests.set(request, machines);
        return Promise.resolve({ kind: 'rented', machines });
      },
      returnMachines: (machines) => {
        if (this.refusesReturns) return Promise.resolve(false);
        for (const name of machines) this.removeMachine(name);
        return Promise.resolve(true);
      },
      list: (after) =>
        Promise.resolve({
          machines: [...this.rentedMachines.values()].filter((one) => one.name > after),
          more: false,
        }),
    };
  }

  /** Returns the name of the rented machine with this address. */
  machineAt(address: string): string | undefined {
    const name = this.machineByAddress.get(address);
    return name !== undefined && this.rentedMachines.has(name) ? name : undefined;
  }

  /** Rents a machine whose worker starts after `bootMs`; returns the machine's name. */
  addMachine(type: string, zone: string, spot: boolean, bootMs: number): string {
    const name = `m-${String(this.machineCount++).padStart(6, '0')}`;
    this.capacity--;
    const address = this.world.addressOf(this.machineCount);
    this.machineByAddress.set(address, name);
    this.rentedMachines.set(name, { name, address, type, zone, spot, state: 'booting', ageS: 0 });
    this.world.clock.after(bootMs, () => {
      const entry = this.rentedMachines.get(name);
      if (!entry) return;
      entry.state = 'running';
      this.world.workers.set(name, new SimWorker(this.world, { name, address, type, zone, spot }));
    });
    return name;
  }

  /** Removes a machine at once and ends its worker. */
  removeMachine(name: string): void {
    if (this.rentedMachines.delete(name)) this.capacity++;
    this.world.workers.get(name)?.die();
    this.world.workers.delete(name);
  }
}
