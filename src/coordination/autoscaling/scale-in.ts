/** Scale-in: returns machines to the cloud that are drained, failed, silent, or never booted. */

import { BOOT_TIMEOUT_FACTOR, BOOT_TIMEOUT_MIN_MARGIN_MS } from '../../constants/autoscaling.js';
import { RETURN_MAX } from '../../constants/protocol.js';
import { MACHINES } from '../../storage/keys.js';
import type { MachineRecord } from '../../storage/records.js';
import type { FleetSnapshot } from '../capacity/machine-capacity.js';
import { machineTypes, type AutoscalingContext } from './autoscaling-context.js';
import { HeartbeatTimeouts } from './heartbeat-timeouts.js';
import type { MachineList } from './machine-list.js';
import type { MachineRecords } from './machine-records.js';

/** s; boot time assumed for a machine whose type is not in the catalog. */
const UNKNOWN_BOOT_S = 60;

/** A machine with its stored record. */
interface RecordedMachine {
  readonly name: string;
  readonly record: MachineRecord;
}

/** Finds the machines to be returned and returns them. */
export class ScaleIn {
  private readonly heartbeatTimeouts: HeartbeatTimeouts;

  constructor(
    private readonly context: AutoscalingContext,
    private readonly records: MachineRecords,
    private readonly list: MachineList,
  ) {
    this.heartbeatTimeouts = new HeartbeatTimeouts(context.clock, context.leaseS);
  }

  /** Returns machines that may be returned, as many as one request may name. */
  async run(snapshot: FleetSnapshot): Promise<void> {
    const { cloud, cloudRequests, log } = this.context;
    this.heartbeatTimeouts.update(snapshot.machines);
    const returned = this.returnableMachines(snapshot).slice(0, RETURN_MAX);
    if (returned.length === 0 || !cloudRequests.trySpend()) return;
    const names = returned.map(({ name }) => name);
    if (!(await cloud.returnMachines(names))) return;
    log.info({ machines: names }, 'machines returned');
    await this.records.recordState(
      returned.map(({ name, record }) => ({ name, ...record })),
      'gone',
    );
    for (const name of names) this.list.forgetFailed(name);
  }

  /** Machines that may be returned now. */
  private returnableMachines(snapshot: FleetSnapshot): RecordedMachine[] {
    const { rejectedChangeBackoff, replica } = this.context;
    const isOccupied = this.occupiedMachines();
    const hasBootTimedOut = this.bootTimeouts(snapshot);
    const returnable: RecordedMachine[] = [];
    for (const [key, stored] of replica.below<MachineRecord>(MACHINES)) {
      const name = key.slice(MACHINES.length);
      const record = stored.value;
      if (record.state === 'gone' || rejectedChangeBackoff.has(name)) continue;
      // Tasks are assigned to a machine only before its drain record commits, so a replica that has
      // this record shows all of them.
      const hasAllTasks = replica.revision >= stored.revision;
      const isDrained = record.state === 'drain' && hasAllTasks && !isOccupied(name);
      const mustReturn =
        isDrained ||
        hasBootTimedOut(name, record) ||
        this.list.hasFailed(name) ||
        this.heartbeatTimeouts.mustReturn(name);
      if (mustReturn) returnable.push({ name, record });
    }
    return returnable;
  }

  /**
   * A predicate: whether a machine has tasks according to the replica. It reads all assignments, but
   * not before its first call: in most passes no machine is drained.
   */
  private occupiedMachines(): (name: string) => boolean {
    let occupied: Set<string> | null = null;
    return (name) => {
      occupied ??= new Set(
        [...this.context.replica.assignments()].flatMap((assignment) => assignment.machines),
      );
      return occupied.has(name);
    };
  }

  /** A predicate: whether a machine has been booting for much longer than its type takes. */
  private bootTimeouts(snapshot: FleetSnapshot): (name: string, record: MachineRecord) => boolean {
    const { clock, replica } = this.context;
    const wall = clock.wall();
    const types = new Map(machineTypes(replica).map((type) => [type.name, type]));
    const booting = snapshot.machines.filter((machine) => machine.health === 'booting');
    const bootingNames = new Set(booting.map((machine) => machine.name));
    return (name, record) => {
      const bootMs = (types.get(record.type)?.bootS ?? UNKNOWN_BOOT_S) * 1000;
      const limitMs = Math.max(bootMs * BOOT_TIMEOUT_FACTOR, bootMs + BOOT_TIMEOUT_MIN_MARGIN_MS);
      return bootingNames.has(name) && wall - record.at > limitMs;
    };
  }
}
