/** Writes the stored records of machines, and removes old ones. */

import { RETURNED_RECORD_RETENTION_MS } from '../../constants/autoscaling.js';
import { MACHINES, machineKey } from '../../storage/keys.js';
import type { MachineRecord, MachineState } from '../../storage/records.js';
import type { Change, Guard } from '../../protocol/key-value-store.js';
import type { AutoscalingContext } from './autoscaling-context.js';

/** Name and unchanging properties of a machine, which its record holds besides the state. */
export interface MachineIdentity {
  readonly name: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** Whether the records of all given machines were written. */
export type RecordOutcome = 'written' | 'incomplete';

/** Commits changes of machine records on the condition that this controller is still the leader. */
export class MachineRecords {
  constructor(private readonly context: AutoscalingContext) {}

  /** Stores `state` for the machines, except those whose changes the store recently rejected. */
  async recordState(
    machines: readonly MachineIdentity[],
    state: MachineState,
  ): Promise<RecordOutcome> {
    const { rejectedChangeBackoff, transactionOps, writer } = this.context;
    const writable = machines.filter((machine) => !rejectedChangeBackoff.isPaused(machine.name));
    const names = writable.map((machine) => machine.name);
    let start = 0;
    while (start < writable.length) {
      const size = rejectedChangeBackoff.batchSize(names.slice(start), transactionOps);
      const group = writable.slice(start, start + size);
      start += group.length;
      const { guards, changes } = this.stateTransaction(group, state);
      const result = await writer.commit('leader', guards, changes);
      for (const { name } of group) {
        if (result.kind === 'rejected') rejectedChangeBackoff.recordRejection(name);
        else rejectedChangeBackoff.clear(name);
      }
      if (result.kind !== 'done') return 'incomplete';
    }
    return writable.length === machines.length ? 'written' : 'incomplete';
  }

  /** Guards and changes of the transaction that stores `state` for a group of machines. */
  private stateTransaction(
    group: readonly MachineIdentity[],
    state: MachineState,
  ): { guards: Guard[]; changes: Change[] } {
    const { clock, replica } = this.context;
    const guards: Guard[] = [];
    const changes: Change[] = [];
    for (const { name, type, zone, spot } of group) {
      const key = machineKey(name);
      const value: MachineRecord = { state, type, zone, spot, at: clock.wall() };
      guards.push({ key, revision: replica.revisionOf(key) });
      changes.push({ key, value });
    }
    return { guards, changes };
  }

  /**
   * Removes the records of machines that were returned at least `RETURNED_RECORD_RETENTION_MS` ago
   * and are not in the cloud's newest list, at most `transactionOps` of them. `listed`: the names
   * in that list.
   */
  async removeExpired(listed: ReadonlySet<string>): Promise<void> {
    const { clock, rejectedChangeBackoff, replica, transactionOps, writer } = this.context;
    const wall = clock.wall();
    const changes: Change[] = [];
    const guards: Guard[] = [];
    for (const [key, stored] of replica.entriesWithPrefix<MachineRecord>(MACHINES)) {
      if (stored.value.state !== 'gone' || listed.has(key.slice(MACHINES.length))) continue;
      if (wall - stored.value.at < RETURNED_RECORD_RETENTION_MS || changes.length >= transactionOps)
        continue;
      guards.push({ key, revision: stored.revision });
      changes.push({ key, remove: true });
    }
    if (changes.length === 0 || rejectedChangeBackoff.isPaused(MACHINES)) return;
    const result = await writer.commit('leader', guards, changes);
    if (result.kind === 'rejected') rejectedChangeBackoff.recordRejection(MACHINES);
    else rejectedChangeBackoff.clear(MACHINES);
  }
}
