/** Lists the machines of the fleet with their free capacity, for the leader. */

import { readCatalog } from '../../storage/catalog.js';
import { MACHINES, STATUSES } from '../../storage/keys.js';
import type { MachineType } from '../../protocol/model.js';
import type { VersionedValue } from '../../storage/record-index.js';
import type { MachineRecord, StatusRecord } from '../../storage/records.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import {
  emptyMachineUsage,
  type CapacityAccounting,
  type MachineUsage,
} from './capacity-accounting.js';
import { shardOf, type Member } from '../election/rendezvous-hashing.js';
import type { MachineCapacity } from './machine-capacity.js';

/** Usage of machines without placed tasks. */
const EMPTY_MACHINE_USAGE: Readonly<MachineUsage> = emptyMachineUsage();

/** Yields the machines that their shards report as healthy. */
export function* healthyMachines(
  replica: StoreReplica,
): Generator<{ shard: string; type: string; zone: string; spot: boolean }> {
  for (const [key, versioned] of replica.entriesWithPrefix<StatusRecord>(STATUSES)) {
    const shard = key.slice(STATUSES.length).split('/')[0] ?? '';
    for (const [type, zone, spot, health] of Object.values(versioned.value.machines)) {
      if (health === 'ok') yield { shard, type, zone, spot: spot === 1 };
    }
  }
}

/**
 * Fields of a machine that are read from its records, unlike its free and reclaimable resources.
 */
type MachineIdentity = Readonly<
  Pick<MachineCapacity, 'name' | 'shard' | 'type' | 'zone' | 'spot' | 'health'>
>;

/** The machines of the fleet, computed from the replica's records and the leader's accounting. */
export class MachineInventory {
  /**
   * Decoded machines by the versioned record that lists them. The replica holds a changed record as
   * a new object, so a scheduling cycle decodes only records that changed since the last one.
   */
  private readonly identitiesByRecord = new WeakMap<VersionedValue, readonly MachineIdentity[]>();

  constructor(
    private readonly members: readonly Member[],
    private readonly replica: StoreReplica,
    private readonly accounting: CapacityAccounting,
  ) {}

  /**
   * Returns the current machines by name: those that the leader rented and those that shards
   * report, without machines that are being drained or are gone.
   */
  machines(): Map<string, MachineCapacity> {
    const types = new Map((readCatalog(this.replica) ?? []).map((type) => [type.name, type]));
    const machines = new Map<string, MachineCapacity>();
    const add = (identity: MachineIdentity): void => {
      const type = types.get(identity.type);
      if (type) machines.set(identity.name, this.capacityOf(identity, type));
    };
    for (const [key, versioned] of this.replica.entriesWithPrefix<MachineRecord>(MACHINES)) {
      if (versioned.value.state !== 'rented') continue;
      for (const identity of this.decode(versioned, () => this.rentedMachine(key, versioned.value)))
        add(identity);
    }
    for (const [key, versioned] of this.replica.entriesWithPrefix<StatusRecord>(STATUSES)) {
      for (const identity of this.decode(versioned, () => reportedMachines(key, versioned.value))) {
        const state = this.replica.machine(identity.name)?.state;
        if (state !== 'drain' && state !== 'gone') add(identity);
      }
    }
    return machines;
  }

  private decode(
    versioned: VersionedValue,
    read: () => MachineIdentity[],
  ): readonly MachineIdentity[] {
    const cached = this.identitiesByRecord.get(versioned);
    if (cached) return cached;
    const identities = read();
    this.identitiesByRecord.set(versioned, identities);
    return identities;
  }

  /** Returns a rented machine. It counts as booting until its shard reports it. */
  private rentedMachine(key: string, { type, zone, spot }: MachineRecord): MachineIdentity[] {
    const name = key.slice(MACHINES.length);
    const shard = shardOf(name, zone, this.members);
    return [{ name, shard, type, zone, spot, health: 'booting' }];
  }

  /**
   * Returns the capacity of a machine. The fields are copied one by one, because objects created by
   * a spread are slow in the JavaScript engine.
   */
  private capacityOf(identity: MachineIdentity, type: MachineType): MachineCapacity {
    const usage = this.accounting.machines.get(identity.name) ?? EMPTY_MACHINE_USAGE;
    return {
      name: identity.name,
      shard: identity.shard,
      type: identity.type,
      zone: identity.zone,
      spot: identity.spot,
      health: identity.health,
      cpus: type.cpus - usage.cpus,
      gpus: type.gpus - usage.gpus,
      memoryGb: type.memoryGb - usage.memoryGb,
      tasks: usage.tasks,
      preemptibleCpus: usage.preemptibleCpus,
      preemptibleMemoryGb: usage.preemptibleMemoryGb,
      arrayCpus: usage.arrayCpus,
      arrayMemoryGb: usage.arrayMemoryGb,
    };
  }
}

/** Returns the machines that a shard lists in one of its status records. */
function reportedMachines(key: string, { machines }: StatusRecord): MachineIdentity[] {
  const shard = key.slice(STATUSES.length).split('/')[0] ?? '';
  return Object.entries(machines).map(([name, [type, zone, spot, health]]) => {
    return { name, shard, type, zone, spot: spot === 1, health };
  });
}
