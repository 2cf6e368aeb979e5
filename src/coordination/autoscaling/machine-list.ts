/**
 * Reads the cloud's list of machines, to adopt machines without a record and to find failed ones.
 */

import { machineKey } from '../../storage/keys.js';
import type { ListedMachine } from '../../protocol/model.js';
import type { AutoscalingContext } from './autoscaling-context.js';
import type { MachineRecords } from './machine-records.js';

/** s; minimum interval between two readings of the list, even if the list's lag is shorter. */
const MIN_LIST_INTERVAL_S = 5;

/** Reads the cloud's list of machines periodically, page by page. */
export class MachineList {
  private readingStartedAt = -Infinity;
  /** Machines read so far in the current reading; null if no reading is in progress. */
  private reading: ListedMachine[] | null = null;
  private readonly failedNames = new Set<string>();

  constructor(
    private readonly context: AutoscalingContext,
    private readonly records: MachineRecords,
  ) {}

  /** Whether the cloud listed the machine as failed and it has not been returned yet. */
  hasFailed(name: string): boolean {
    return this.failedNames.has(name);
  }

  /** Removes a machine from the failed ones; called after its return to the cloud. */
  clearFailed(name: string): void {
    this.failedNames.delete(name);
  }

  /**
   * Continues the current reading of the cloud's list, or starts one if it is due. If the request
   * budget runs out, the reading continues with the next page in the next pass.
   */
  async refresh(): Promise<void> {
    const { cloud, cloudRequests, log } = this.context;
    const listed = this.reading ?? this.startIfDue();
    if (!listed) return;
    for (;;) {
      if (!cloudRequests.trySpend()) return;
      const page = await cloud.list(listed.at(-1)?.name ?? '');
      if (!page) {
        this.reading = null;
        return;
      }
      listed.push(...page.machines);
      if (!page.more || page.machines.length === 0) break;
    }
    this.reading = null;
    const unrecorded = this.unrecordedMachines(listed);
    if (unrecorded.length > 0) {
      const names = unrecorded.map((machine) => machine.name);
      log.info({ machines: names }, 'unrecorded machines adopted');
      await this.records.recordState(unrecorded, 'rented');
    }
    this.recordFailed(listed);
    await this.records.removeExpired(new Set(listed.map((machine) => machine.name)));
  }

  /** Starts a reading and returns its empty list of machines; null if no reading is due yet. */
  private startIfDue(): ListedMachine[] | null {
    const { clock, listLagS } = this.context;
    const now = clock.now();
    if (now - this.readingStartedAt < Math.max(MIN_LIST_INTERVAL_S, listLagS) * 1000) return null;
    this.readingStartedAt = now;
    this.reading = [];
    return this.reading;
  }

  /** Machines without a record, for example after a rent request whose response was lost. */
  private unrecordedMachines(listed: readonly ListedMachine[]): ListedMachine[] {
    return listed.filter((machine) => !this.context.replica.get(machineKey(machine.name)));
  }

  /** Records the machines that the cloud lists as failed, except those already returned. */
  private recordFailed(listed: readonly ListedMachine[]): void {
    for (const { name, state } of listed) {
      const record = this.context.replica.machine(name);
      if (state === 'failed' && record && record.state !== 'gone') this.failedNames.add(name);
    }
  }
}
