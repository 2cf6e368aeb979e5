/** The machines of a shard: their entries, their order, and whether they may take tasks. */
import type { MachineType } from '../../protocol/model.js';
import type { MachineHealth, MachineRecord } from '../../storage/records.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Clock } from '../../transport/clock.js';
import type { Resources } from '../capacity/resources.js';
import { FencingTokens } from './fencing-tokens.js';
import { leaseExpiry, machineHealth, type LeaseTimes } from './machine-health.js';
import { MachineHeartbeats } from './machine-heartbeats.js';
import { MachineTypes } from './machine-types.js';
import { createMachine, type Machine } from './machine.js';

/** The lease times of the workers, and the term in which the shard is held. */
export interface MachinesOptions extends LeaseTimes {
  term: number;
}

/** The machines of one shard, by name, with their types, leases and fencing tokens. */
export class Machines {
  readonly all = new Map<string, Machine>();
  readonly fencingTokens: FencingTokens;
  readonly heartbeats: MachineHeartbeats;
  private readonly types: MachineTypes;
  private sorted: Machine[] | null = null;

  constructor(
    private readonly options: MachinesOptions,
    private readonly replica: StoreReplica,
    private readonly clock: Clock,
  ) {
    this.fencingTokens = new FencingTokens(options.term);
    this.heartbeats = new MachineHeartbeats(options, this.fencingTokens, clock);
    this.types = new MachineTypes(replica);
  }

  /** Adds a machine; its lease is counted from now. */
  add(name: string, type: string, zone: string, spot: boolean): Machine {
    const { initialOffset } = this.fencingTokens;
    const machine = createMachine({ name, type, zone, spot }, initialOffset, this.clock.now());
    this.all.set(name, machine);
    this.sorted = null;
    return machine;
  }

  private remove(machine: Machine): void {
    this.all.delete(machine.name);
    this.sorted = null;
    this.fencingTokens.retire(machine);
  }

  /**
   * Removes machines that were returned to the cloud, or whose lease expired more than `leaseS`
   * ago.
   */
  sweep(): void {
    const now = this.clock.now();
    for (const machine of this.all.values()) {
      const keptUntil = this.leaseExpiresAt(machine.name) + this.options.leaseS * 1000;
      if (this.recordedState(machine.name) === 'gone' || now > keptUntil) this.remove(machine);
    }
  }

  /** The machines in a fixed order: on-demand machines before spot instances, each by name. */
  inOrder(): readonly Machine[] {
    this.sorted ??= [...this.all.values()].sort(
      (a, b) => Number(a.spot) - Number(b.spot) || (a.name < b.name ? -1 : 1),
    );
    return this.sorted;
  }

  /** The state that the leader recorded for a machine; `rented` if there is no record. */
  recordedState(name: string): MachineRecord['state'] {
    return this.replica.machine(name)?.state ?? 'rented';
  }

  /**
   * Whether tasks may be started on the machine: it is acknowledged and not leaving, and the
   * leader's record does not say that it is drained or returned.
   */
  isSchedulable(machine: Machine): boolean {
    return (
      machine.isAcknowledged && !machine.isLeaving && this.recordedState(machine.name) === 'rented'
    );
  }

  /** A machine's health as it is stored for the other controllers. */
  health(machine: Machine): MachineHealth {
    return machineHealth(machine, this.options, this.clock.now());
  }

  /** The steady time from which no task of the shard can be left on the machine. */
  leaseExpiresAt(name: string): number {
    return leaseExpiry(this.all.get(name), this.options);
  }

  /** The machine type with this name; undefined: the catalog has none. */
  machineType(name: string): MachineType | undefined {
    return this.types.get(name);
  }

  /** The resources of an empty machine of a type; all 0 if the catalog has no such type. */
  capacity(typeName: string): Resources {
    return this.types.capacity(typeName);
  }
}
