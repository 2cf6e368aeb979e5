/** The fleet as the leader counts it. */

import { readCatalog } from '../storage/catalog.js';
import { MACHINES, STATUSES } from '../storage/keys.js';
import type { MachineType } from '../protocol/model.js';
import type { MachineRecord, StatusRecord } from '../storage/records.js';
import type { StoreReplica } from '../storage/store-replica.js';
import { nothingPlaced, type Ledger } from './ledger.js';
import { partOf, type Member } from './rendezvous.js';
import type { MachineCapacity } from './capacity.js';

/** The machines that the parts call good. */
export function* machinesOf(
  replica: StoreReplica,
): Generator<{ part: string; type: string; zone: string; spot: boolean }> {
  for (const [key, held] of replica.below<StatusRecord>(STATUSES)) {
    const part = key.slice(STATUSES.length).split('/')[0] ?? '';
    for (const [type, zone, spot, health] of Object.values(held.value.machines)) {
      if (health === 'ok') yield { part, type, zone, spot: spot === 1 };
    }
  }
}

/** Which machine it is, and where. */
type MachinePlace = Pick<MachineCapacity, 'name' | 'part' | 'type' | 'zone' | 'spot' | 'health'>;

/** The machines as the leader counts them, with the room that is left on each. */
export class Inventory {
  /** The part of each machine: hashing it anew for the whole fleet each round costs too much. */
  private readonly parts = new Map<string, string>();

  constructor(
    private readonly members: readonly Member[],
    private readonly replica: StoreReplica,
    private readonly ledger: Ledger,
  ) {}

  /** The fleet now: what the leader rented, and what the parts say of it. */
  machines(): Map<string, MachineCapacity> {
    const types = new Map((readCatalog(this.replica) ?? []).map((type) => [type.name, type]));
    const machines = new Map<string, MachineCapacity>();
    const add = (place: MachinePlace): void => {
      const type = types.get(place.type);
      if (type) machines.set(place.name, this.capacityOf(place, type));
    };
    for (const [key, held] of this.replica.below<MachineRecord>(MACHINES)) {
      const { state, type, zone, spot } = held.value;
      if (state !== 'rented') continue;
      const name = key.slice(MACHINES.length);
      const part = this.partOf(name, zone);
      add({ name, part, type, zone, spot, health: 'booting' });
    }
    for (const [key, held] of this.replica.below<StatusRecord>(STATUSES)) {
      const part = key.slice(STATUSES.length).split('/')[0] ?? '';
      for (const [name, [type, zone, spot, health]] of Object.entries(held.value.machines)) {
        const state = this.replica.machine(name)?.state;
        if (state === 'drain' || state === 'gone') continue;
        add({ name, part, type, zone, spot: spot === 1, health });
      }
    }
    for (const name of this.parts.keys()) if (!machines.has(name)) this.parts.delete(name);
    return machines;
  }

  private capacityOf(place: MachinePlace, type: MachineType): MachineCapacity {
    const placed = this.ledger.machines.get(place.name) ?? nothingPlaced();
    return {
      ...place,
      cpus: type.cpus - placed.cpus,
      gpus: type.gpus - placed.gpus,
      memoryGb: type.memoryGb - placed.memoryGb,
      tasks: placed.tasks,
      lowCpus: placed.lowCpus,
      lowMemoryGb: placed.lowMemoryGb,
      endingCpus: placed.endingCpus,
      endingMemoryGb: placed.endingMemoryGb,
    };
  }

  private partOf(name: string, zone: string): string {
    let part = this.parts.get(name);
    if (part === undefined) {
      part = partOf(name, zone, this.members);
      this.parts.set(name, part);
    }
    return part;
  }
}
