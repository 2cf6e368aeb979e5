/** Scale-in: returns machines that are drained, failed or silent, or whose boot timed out. */

import { BOOT_TIMEOUT_FACTOR, BOOT_TIMEOUT_MIN_MARGIN_MS } from '../../constants/autoscaling.js';
import { MAX_MACHINES_PER_RETURN } from '../../constants/protocol.js';
import { MACHINES } from '../../storage/keys.js';
import type { MachineRecord } from '../../storage/records.js';
import type { FleetSnapshot } from '../capacity/machine-capacity.js';
import { machineTypes, type AutoscalingContext } from './autoscaling-context.js';
import { HeartbeatTimeouts } from './heartbeat-timeouts.js';
import type { MachineList } from './machine-list.js';
import type { MachineRecords } from './machine-records.js';

/** s; boot time assumed for a machine type that is not in the catalog. */
const UNKNOWN_BOOT_S = 60;

/** Name and stored record of a machine. */
interface RecordedMachine {
  readonly name: string;
  readonly record: MachineRecord;
}

/** Selects the machines to be returned, sends the requests, and stores the results. */
export class ScaleIn {
  private readonly heartbeatTimeouts: HeartbeatTimeouts;

  constructor(
    private readonly context: AutoscalingContext,
    private readonly records: MachineRecords,
    private readonly machineList: MachineList,
  ) {
    this.heartbeatTimeouts = new HeartbeatTimeouts(context.clock, context.leaseS);
  }

  /** Returns the returnable machines to the cloud, at most as many as one request may name. */
  async run(snapshot: FleetSnapshot): Promise<void> {
    const { cloud, cloudRequests, log } = this.context;
    this.heartbeatTimeouts.update(snapshot.machines);
    const returned = this.returnableMachines(snapshot).slice(0, MAX_MACHINES_PER_RETURN);
    if (returned.length === 0 || !cloudRequests.trySpend()) return;
    const names = returned.map(({ name }) => name);
    if (!(await cloud.returnMachines(names))) return;
    log.info({ machines: names }, 'machines returned to the cloud');
    await this.records.recordState(
      returned.map(({ name, record }) => ({ name, ...record })),
      'gone',
    );
    for (const name of names) this.machineList.clearFailed(name);
  }

  /** Machines that are drained, failed or silent, or whose boot timed out. */
  private returnableMachines(snapshot: FleetSnapshot): RecordedMachine[] {
    const { rejectedChangeBackoff, replica } = this.context;
    const isOccupied = this.occupancyCheck();
    const hasBootTimedOut = this.bootTimeoutCheck(snapshot);
    const returnable: RecordedMachine[] = [];
    for (const [key, stored] of replica.entriesWithPrefix<MachineRecord>(MACHINES)) {
      const name = key.slice(MACHINES.length);
      const record = stored.value;
      if (record.state === 'gone' || rejectedChangeBackoff.isPaused(name)) continue;
      // No task is placed on a machine after its `drain` record was committed, so a replica that
      // has reached the revision of this record shows all of the machine's tasks.
      const hasAllTasks = replica.revision >= stored.revision;
      const isDrained = record.state === 'drain' && hasAllTasks && !isOccupied(name);
      const mustReturn =
        isDrained ||
        hasBootTimedOut(name, record) ||
        this.machineList.hasFailed(name) ||
        this.heartbeatTimeouts.mustReturn(name);
      if (mustReturn) returnable.push({ name, record });
    }
    return returnable;
  }

  /**
   * Returns a predicate for whether a machine has tasks according to the replica. The first call of
   * the predicate reads all assignments, so passes in which no machine is drained don't read them.
   */
  private occupancyCheck(): (name: string) => boolean {
    let occupied: Set<string> | null = null;
    return (name) => {
      occupied ??= new Set(
        [...this.context.replica.assignments()].flatMap((assignment) => assignment.machines),
      );
      return occupied.has(name);
    };
  }

  /** Returns a predicate for whether a machine has been booting for too long for its type. */
  private bootTimeoutCheck(
    snapshot: FleetSnapshot,
  ): (name: string, record: MachineRecord) => boolean {
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
