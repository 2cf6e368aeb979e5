/** The cloud of the simulated cluster: rents machines and takes them back. */
import type { CloudApi } from '../../src/protocol/cloud-api.js';
import type { ListedMachine } from '../../src/protocol/model.js';
import { OutcomeUnknownError } from '../../src/transport/errors.js';
import { TYPES } from './settings.js';
import { SimWorker } from './worker.js';
import type { SimulationHost } from './simulation-host.js';

/** Machines that are rented, and the faults that renting may have. */
export class SimCloud {
  /** Machines that the cloud still has; 0 refuses. */
  capacity = 20;
  /** The cloud takes nothing back. */
  trouble = false;
  /** The cloud tells its machine types. */
  catalog = true;
  private readonly rented = new Map<string, ListedMachine>();
  private readonly byAddress = new Map<string, string>();
  private readonly requests = new Map<string, string[]>();
  private machineCount = 0;

  constructor(private readonly world: SimulationHost) {}

  /** The cloud as a controller sees it. */
  api(): CloudApi {
    return {
      types: () =>
        this.catalog
          ? Promise.resolve(structuredClone(TYPES))
          : Promise.reject(new OutcomeUnknownError('no catalogue')),
      rent: ({ request, type, zone, spot, count }) => {
        const before = this.requests.get(request);
        if (before) return Promise.resolve({ kind: 'rented', machines: before });
        const got = Math.min(count, this.capacity);
        if (got === 0) return Promise.resolve({ kind: 'noCapacity' });
        const machines = Array.from({ length: got }, () => this.addMachine(type, zone, spot, 8000));
        this.requests.set(request, machines);
        return Promise.resolve({ kind: 'rented', machines });
      },
      returnMachines: (machines) => {
        if (this.trouble) return Promise.resolve(false);
        for (const name of machines) this.removeMachine(name);
        return Promise.resolve(true);
      },
      list: (after) =>
        Promise.resolve({
          machines: [...this.rented.values()].filter((one) => one.name > after),
          more: false,
        }),
    };
  }

  /** The name of the machine with this address. */
  machineAt(address: string): string | undefined {
    const name = this.byAddress.get(address);
    return name !== undefined && this.rented.has(name) ? name : undefined;
  }

  /** Rents a machine, whose worker is up after `bootMs`. */
  addMachine(type: string, zone: string, spot: boolean, bootMs: number): string {
    const name = `m-${String(this.machineCount++).padStart(6, '0')}`;
    this.capacity--;
    const address = this.world.addressOf(this.machineCount);
    this.byAddress.set(address, name);
    this.rented.set(name, { name, address, type, zone, spot, state: 'booting', ageS: 0 });
    this.world.clock.after(bootMs, () => {
      const entry = this.rented.get(name);
      if (!entry) return;
      entry.state = 'running';
      this.world.workers.set(name, new SimWorker(this.world, { name, address, type, zone, spot }));
    });
    return name;
  }

  /** The machine is gone at once. */
  removeMachine(name: string): void {
    if (this.rented.delete(name)) this.capacity++;
    this.world.workers.get(name)?.die();
    this.world.workers.delete(name);
  }
}
