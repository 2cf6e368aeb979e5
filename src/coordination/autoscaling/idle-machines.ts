/** Drains faulty machines, and idle machines that are not needed. */

import { IDLE_TIME_MAX_FACTOR } from '../../constants/autoscaling.js';
import type { MachineType } from '../../protocol/model.js';
import type { FleetSnapshot, MachineCapacity } from '../capacity/machine-capacity.js';
import { neededCpus } from './capacity-demand.js';
import { machineTypes, type AutoscalingContext } from './autoscaling-context.js';
import type { MachineRecords } from './machine-records.js';

/** Lower bound of a price per CPU, so that a type without a price causes no division by 0. */
const MIN_CPU_PRICE = 1e-9;

/** Tracks how long machines have been idle; drains faulty machines and unneeded idle ones. */
export class IdleMachines {
  private readonly idleSince = new Map<string, number>();

  constructor(
    private readonly context: AutoscalingContext,
    private readonly records: MachineRecords,
  ) {}

  /** Stores the state `drain` for faulty machines and for idle machines that are not needed. */
  async drain(snapshot: FleetSnapshot): Promise<void> {
    const { rejectedChangeBackoff, log } = this.context;
    const faulty = snapshot.machines.filter((machine) => machine.health === 'faulty');
    const unneeded = this.unneededMachines(snapshot);
    const machinesToDrain = [...faulty, ...unneeded].filter(
      (machine) => !rejectedChangeBackoff.isPaused(machine.name),
    );
    if (machinesToDrain.length === 0) return;
    if ((await this.records.recordState(machinesToDrain, 'drain')) === 'written') {
      log.info(
        { machines: machinesToDrain.map((machine) => machine.name) },
        'machines marked for draining',
      );
    }
  }

  /**
   * Machines that have been idle for at least `idleMs`, cheap ones up to `IDLE_TIME_MAX_FACTOR`
   * times as long, and without which the fleet still has the free CPUs of the headroom and the CPUs
   * that preemptible work needs. The highest price per CPU comes first.
   */
  private unneededMachines(snapshot: FleetSnapshot): MachineCapacity[] {
    const { clock, idleMs, replica } = this.context;
    const now = clock.now();
    const types = machineTypes(replica);
    const highestPrice = snapshot.machines.reduce(
      (highest, machine) => Math.max(highest, cpuPrice(machine, types)),
      0,
    );
    const requiredCpus = this.requiredFreeCpus(snapshot);
    let freeCpus = freeOnDemandCpus(snapshot);
    let spareCpus = this.spareCpus(snapshot, types);
    const unneeded: MachineCapacity[] = [];
    for (const machine of this.listIdle(snapshot, types)) {
      const since = this.idleSince.get(machine.name) ?? now;
      this.idleSince.set(machine.name, since);
      // Cheap machines are kept longer, because machines rented later in their place may cost more.
      const priceRatio = highestPrice / Math.max(MIN_CPU_PRICE, cpuPrice(machine, types));
      const idleLimitMs = idleMs * Math.min(IDLE_TIME_MAX_FACTOR, priceRatio);
      if (now - since < idleLimitMs) continue;
      const lostFreeCpus = machine.spot ? 0 : Math.max(0, machine.cpus);
      if (freeCpus - lostFreeCpus < requiredCpus && lostFreeCpus > 0) continue;
      if (spareCpus < machine.cpus) continue;
      spareCpus -= machine.cpus;
      freeCpus -= lostFreeCpus;
      unneeded.push(machine);
    }
    return unneeded;
  }

  /**
   * Returns the idle machines, which are healthy and have no tasks, highest price per CPU first.
   * Stops tracking all others.
   */
  private listIdle(snapshot: FleetSnapshot, types: readonly MachineType[]): MachineCapacity[] {
    const present = new Set(snapshot.machines.map((machine) => machine.name));
    for (const name of this.idleSince.keys()) {
      if (!present.has(name)) this.idleSince.delete(name);
    }
    const idle: MachineCapacity[] = [];
    for (const machine of snapshot.machines) {
      if (machine.health === 'ok' && machine.tasks === 0) idle.push(machine);
      else this.idleSince.delete(machine.name);
    }
    return idle.sort((a, b) => cpuPrice(b, types) - cpuPrice(a, types));
  }

  /** Free CPUs of on-demand machines to be kept for urgent work or for gangs like recent ones. */
  private requiredFreeCpus(snapshot: FleetSnapshot): number {
    const { headroom } = this.context;
    const gangs = headroom.gangs(snapshot);
    const gangCpus = gangs.reduce((sum, gang) => sum + gang.tasks * gang.cpus, 0);
    return Math.max(headroom.cpus, gangCpus);
  }

  /**
   * CPUs of healthy machines, free or used by preemptible work, that exceed the CPUs that preemptible
   * work needs; negative: there are too few.
   */
  private spareCpus(snapshot: FleetSnapshot, types: readonly MachineType[]): number {
    let spareCpus = -neededCpus(snapshot, types);
    for (const machine of snapshot.machines) {
      if (machine.health === 'ok') spareCpus += Math.max(0, machine.cpus) + machine.preemptibleCpus;
    }
    return spareCpus;
  }
}

/** Free CPUs of healthy on-demand machines. */
function freeOnDemandCpus(snapshot: FleetSnapshot): number {
  let cpus = 0;
  for (const machine of snapshot.machines) {
    if (machine.health === 'ok' && !machine.spot) cpus += Math.max(0, machine.cpus);
  }
  return cpus;
}

/** Price of a machine per CPU and hour; 0 if its type is not in the catalog. */
function cpuPrice(machine: MachineCapacity, types: readonly MachineType[]): number {
  const type = types.find(({ name }) => name === machine.type);
  if (!type) return 0;
  return (machine.spot ? type.spotPrice : type.price) / type.cpus;
}
