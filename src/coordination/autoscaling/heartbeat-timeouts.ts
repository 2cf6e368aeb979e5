/** Decides which machines are returned because their heartbeats have stopped. */

import {
  SILENT_RETURN_MAX_MACHINES,
  SILENT_RETURN_PERIOD_MS,
  SILENT_RETURN_MAX_FLEET_SHARE,
  SILENT_CONFIRM_MS,
} from '../../constants/autoscaling.js';
import type { Clock } from '../../transport/clock.js';
import type { MachineCapacity } from '../capacity/machine-capacity.js';

/**
 * Silent machines, those without heartbeats, are returned: that proves before their lease expires
 * that their tasks have ended. Only a few are returned at a time: many silent machines at once
 * indicate a network partition between them and their shard. Of those, a limited number is returned
 * once their lease has expired, since their tasks have ended by then in any case.
 */
export class HeartbeatTimeouts {
  /** When this leader first saw each machine silent that still is. */
  private readonly silentSince = new Map<string, number>();
  /** When the machines were chosen that were chosen to be returned within the last period. */
  private readonly recentReturns = new Map<string, number>();
  private readonly namesToReturn = new Set<string>();

  constructor(
    private readonly clock: Clock,
    private readonly leaseS: number,
  ) {}

  /** Whether the last update chose the machine to be returned. */
  mustReturn(name: string): boolean {
    return this.namesToReturn.has(name);
  }

  /** Chooses anew which machines are to be returned. */
  update(machines: readonly MachineCapacity[]): void {
    const now = this.clock.now();
    this.trackSilence(machines, now);
    for (const [name, chosenAt] of this.recentReturns) {
      if (now - chosenAt >= SILENT_RETURN_PERIOD_MS) this.recentReturns.delete(name);
    }
    const affected = new Set([...this.silentSince.keys(), ...this.recentReturns.keys()]);
    // Shards publish their machines' health one after the other: a partition shows only when all
    // have done so.
    const waitMs =
      affected.size <= SILENT_RETURN_MAX_MACHINES ? SILENT_CONFIRM_MS : this.leaseS * 1000;
    const shareOfFleet = Math.floor(machines.length * SILENT_RETURN_MAX_FLEET_SHARE);
    const limit = Math.max(SILENT_RETURN_MAX_MACHINES, shareOfFleet);
    this.namesToReturn.clear();
    for (const [name, since] of this.silentSince) {
      if (now - since < waitMs) continue;
      if (!this.recentReturns.has(name)) {
        if (this.recentReturns.size >= limit) continue;
        this.recentReturns.set(name, now);
      }
      this.namesToReturn.add(name);
    }
  }

  /** Notes which machines are silent, and since when. */
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
