/** Decides which machines are returned because their heartbeats stopped. */

import {
  SILENT_RETURN_MAX_MACHINES,
  SILENT_RETURN_PERIOD_MS,
  SILENT_RETURN_MAX_FLEET_FRACTION,
  SILENT_CONFIRMATION_MS,
} from '../../constants/autoscaling.js';
import type { Clock } from '../../transport/clock.js';
import type { MachineCapacity } from '../capacity/machine-capacity.js';

/**
 * Selects silent machines, those whose heartbeats stopped, to be returned to the cloud. A return
 * proves that the machine's tasks have ended, so that they can restart before the machine's lease
 * expires. While at most `SILENT_RETURN_MAX_MACHINES` machines are silent or were selected within
 * the last `SILENT_RETURN_PERIOD_MS`, a machine is selected after `SILENT_CONFIRMATION_MS` of
 * silence. A greater number indicates a network partition between the machines and their shard, so
 * a machine is then selected only after a whole lease of silence, when its tasks have ended in any
 * case. In each period at most `SILENT_RETURN_MAX_MACHINES` machines are selected, or
 * `SILENT_RETURN_MAX_FLEET_FRACTION` of the fleet if that is more.
 */
export class HeartbeatTimeouts {
  /** Steady time at which this leader first found each silent machine to be silent, by name. */
  private readonly silentSince = new Map<string, number>();
  /** Steady time of each selection within the last `SILENT_RETURN_PERIOD_MS`, by machine name. */
  private readonly recentReturns = new Map<string, number>();
  private readonly namesToReturn = new Set<string>();

  constructor(
    private readonly clock: Clock,
    private readonly leaseS: number,
  ) {}

  /** Whether the last update selected the machine to be returned. */
  mustReturn(name: string): boolean {
    return this.namesToReturn.has(name);
  }

  /** Updates the selection from the health of `machines`, which are all machines of the fleet. */
  update(machines: readonly MachineCapacity[]): void {
    const now = this.clock.now();
    this.trackSilence(machines, now);
    for (const [name, selectedAt] of this.recentReturns) {
      if (now - selectedAt >= SILENT_RETURN_PERIOD_MS) this.recentReturns.delete(name);
    }
    const recentlySilent = new Set([...this.silentSince.keys(), ...this.recentReturns.keys()]);
    // Shards publish the health of their machines one after the other, so a network partition is
    // visible only after all of them have published it.
    const minSilentMs =
      recentlySilent.size <= SILENT_RETURN_MAX_MACHINES
        ? SILENT_CONFIRMATION_MS
        : this.leaseS * 1000;
    const fleetLimit = Math.floor(machines.length * SILENT_RETURN_MAX_FLEET_FRACTION);
    const limit = Math.max(SILENT_RETURN_MAX_MACHINES, fleetLimit);
    this.namesToReturn.clear();
    for (const [name, since] of this.silentSince) {
      if (now - since < minSilentMs) continue;
      if (!this.recentReturns.has(name)) {
        if (this.recentReturns.size >= limit) continue;
        this.recentReturns.set(name, now);
      }
      this.namesToReturn.add(name);
    }
  }

  /** Records which machines are silent, and since when. */
  private trackSilence(machines: readonly MachineCapacity[], now: number): void {
    const silent = machines.filter((machine) => machine.health === 'silent');
    const names = new Set(silent.map((machine) => machine.name));
    for (const name of this.silentSince.keys()) {
      if (!names.has(name)) this.silentSince.delete(name);
    }
    for (const name of names) {
      if (!this.silentSince.has(name)) this.silentSince.set(name, now);
    }
  }
}
