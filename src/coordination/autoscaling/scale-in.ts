/** Returns machines to the cloud: drained, stuck in booting, failed and silent ones. */
import { BOOT_TIMEOUT_FACTOR, BOOT_TIMEOUT_MIN_MARGIN_MS } from '../../constants/autoscaling.js';
import { RETURN_MAX } from '../../constants/protocol.js';
import { MACHINES } from '../../storage/keys.js';
import type { MachineRecord } from '../../storage/records.js';
import type { FleetSnapshot } from '../capacity/machine-capacity.js';
import { machineTypes, type AutoscalingContext } from './autoscaling-context.js';
import type { MachineList } from './machine-list.js';
import type { MachineRecords } from './machine-records.js';
import { HeartbeatTimeouts } from './heartbeat-timeouts.js';

/** Boot time assumed for a machine whose type is not in the catalog. */
const UNKNOWN_BOOT_S = 60;

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

  /** Returns the machines that are due, as many as one request may name. */
  async run(snapshot: FleetSnapshot): Promise<void> {
    const { cloud, cloudRequests, log } = this.context;
    this.heartbeatTimeouts.update(snapshot.machines);
    const due = this.dueMachines(snapshot).slice(0, RETURN_MAX);
    if (due.length === 0 || !cloudRequests.trySpend()) return;
    const names = due.map(({ name }) => name);
    if (!(await cloud.returnMachines(names))) return;
    log.info({ machines: names }, 'machines returned');
    await this.records.recordState(
      due.map(({ name, record }) => ({ name, ...record })),
      'gone',
    );
    for (const name of names) this.list.forgetFailed(name);
  }

  /** Machines that may be returned now. */
  private dueMachines(snapshot: FleetSnapshot): RecordedMachine[] {
    const { rejectedChangeBackoff, replica } = this.context;
    const isOccupied = this.occupiedMachines();
    const stuck = this.stuckMachines(snapshot);
    const due: RecordedMachine[] = [];
    for (const [key, held] of replica.below<MachineRecord>(MACHINES)) {
      const name = key.slice(MACHINES.length);
      const record = held.value;
      if (record.state === 'gone' || rejectedChangeBackoff.has(name)) continue;
      // Placements commit only before the drain record, so a replica that holds it shows them all.
      const settled = replica.revision >= held.revision;
      const drained = record.state === 'drain' && settled && !isOccupied(name);
      const failed = this.list.hasFailed(name);
      if (drained || stuck(name, record) || failed || this.heartbeatTimeouts.isDue(name)) {
        due.push({ name, record });
      }
    }
    return due;
  }

  /**
   * Returns a predicate: whether a machine has tasks by the replica. All chunks are looked through
   * only when it is asked: in most rounds no machine is drained.
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

  /** Returns a predicate: whether a machine has been booting for much longer than its type takes. */
  private stuckMachines(snapshot: FleetSnapshot): (name: string, record: MachineRecord) => boolean {
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
