/** The fleet as the leader counts it. */

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

/** The sums of a machine that the ledger does not list. */
const EMPTY_MACHINE_USAGE: Readonly<MachineUsage> = emptyMachineUsage();

/** The machines that the parts call good. */
export function* healthyMachines(
  replica: StoreReplica,
): Generator<{ shard: string; type: string; zone: string; spot: boolean }> {
  for (const [key, held] of replica.below<StatusRecord>(STATUSES)) {
    const shard = key.slice(STATUSES.length).split('/')[0] ?? '';
    for (const [type, zone, spot, health] of Object.values(held.value.machines)) {
      if (health === 'ok') yield { shard, type, zone, spot: spot === 1 };
    }
  }
}

/** Which machine it is, and where. */
type MachineIdentity = Readonly<
  Pick<MachineCapacity, 'name' | 'shard' | 'type' | 'zone' | 'spot' | 'health'>
>;

/** The machines as the leader counts them, with the room that is left on each. */
export class MachineInventory {
  /**
   * What records were decoded to. A change of a key replaces its entry in the replica, so that a
   * round decodes what changed and not the whole fleet.
   */
  private readonly decoded = new WeakMap<VersionedValue, readonly MachineIdentity[]>();

  constructor(
    private readonly members: readonly Member[],
    private readonly replica: StoreReplica,
    private readonly accounting: CapacityAccounting,
  ) {}

  /** The fleet now: what the leader rented, and what the parts say of it. */
  machines(): Map<string, MachineCapacity> {
    const types = new Map((readCatalog(this.replica) ?? []).map((type) => [type.name, type]));
    const machines = new Map<string, MachineCapacity>();
    const add = (identity: MachineIdentity): void => {
      const type = types.get(identity.type);
      if (type) machines.set(identity.name, this.capacityOf(identity, type));
    };
    for (const [key, held] of this.replica.below<MachineRecord>(MACHINES)) {
      if (held.value.state !== 'rented') continue;
      for (const identity of this.decode(held, () => this.rentedMachine(key, held.value)))
        add(identity);
    }
    for (const [key, held] of this.replica.below<StatusRecord>(STATUSES)) {
      for (const identity of this.decode(held, () => reportedMachines(key, held.value))) {
        const state = this.replica.machine(identity.name)?.state;
        if (state !== 'drain' && state !== 'gone') add(identity);
      }
    }
    return machines;
  }

  private decode(held: VersionedValue, read: () => MachineIdentity[]): readonly MachineIdentity[] {
    const decodedBefore = this.decoded.get(held);
    if (decodedBefore) return decodedBefore;
    const identities = read();
    this.decoded.set(held, identities);
    return identities;
  }

  /** A machine that was rented; it boots until its part says otherwise. */
  private rentedMachine(key: string, { type, zone, spot }: MachineRecord): MachineIdentity[] {
    const name = key.slice(MACHINES.length);
    const shard = shardOf(name, zone, this.members);
    return [{ name, shard, type, zone, spot, health: 'booting' }];
  }

  /** Field by field: copying the place would make objects that the engine handles slowly. */
  private capacityOf(identity: MachineIdentity, type: MachineType): MachineCapacity {
    const placed = this.accounting.machines.get(identity.name) ?? EMPTY_MACHINE_USAGE;
    return {
      name: identity.name,
      shard: identity.shard,
      type: identity.type,
      zone: identity.zone,
      spot: identity.spot,
      health: identity.health,
      cpus: type.cpus - placed.cpus,
      gpus: type.gpus - placed.gpus,
      memoryGb: type.memoryGb - placed.memoryGb,
      tasks: placed.tasks,
      preemptibleCpus: placed.preemptibleCpus,
      preemptibleMemoryGb: placed.preemptibleMemoryGb,
      arrayCpus: placed.arrayCpus,
      arrayMemoryGb: placed.arrayMemoryGb,
    };
  }
}

/** The machines that a part tells of in one of its records. */
function reportedMachines(key: string, { machines }: StatusRecord): MachineIdentity[] {
  const shard = key.slice(STATUSES.length).split('/')[0] ?? '';
  return Object.entries(machines).map(([name, [type, zone, spot, health]]) => {
    return { name, shard, type, zone, spot: spot === 1, health };
  });
}
