import { readCatalog } from '../storage/catalog.js';
import { MACHINES, STATUSES } from '../storage/keys.js';
import type { MachineRecord, StatusRecord } from '../storage/records.js';
import type { StoreReplica } from '../storage/store-replica.js';
import type { Ledger } from './ledger.js';
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
    const add = (
      name: string,
      part: string,
      typeName: string,
      zone: string,
      spot: boolean,
      health: MachineCapacity['health'],
    ): void => {
      const type = types.get(typeName);
      if (!type) return;
      const placed = this.ledger.machines.get(name);
      machines.set(name, {
        name,
        part,
        type: typeName,
        zone,
        spot,
        health,
        cpus: type.cpus - (placed?.cpus ?? 0),
        gpus: type.gpus - (placed?.gpus ?? 0),
        memoryGb: type.memoryGb - (placed?.memoryGb ?? 0),
        tasks: placed?.tasks ?? 0,
        lowCpus: placed?.lowCpus ?? 0,
        lowMemoryGb: placed?.lowMemoryGb ?? 0,
        endingCpus: placed?.endingCpus ?? 0,
        endingMemoryGb: placed?.endingMemoryGb ?? 0,
      });
    };
    for (const [key, held] of this.replica.below<MachineRecord>(MACHINES)) {
      const { state, type, zone, spot } = held.value;
      if (state !== 'rented') continue;
      const name = key.slice(MACHINES.length);
      add(name, this.partOf(name, zone), type, zone, spot, 'booting');
    }
    for (const [key, held] of this.replica.below<StatusRecord>(STATUSES)) {
      const part = key.slice(STATUSES.length).split('/')[0] ?? '';
      for (const [name, [type, zone, spot, health]] of Object.entries(held.value.machines)) {
        const word = this.replica.machine(name)?.state;
        if (word === 'drain' || word === 'gone') continue;
        add(name, part, type, zone, spot === 1, health);
      }
    }
    for (const name of this.parts.keys()) if (!machines.has(name)) this.parts.delete(name);
    return machines;
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
