/** Reads the cloud's list of machines: adopts machines without a record and notes failed ones. */

import { machineKey } from '../../storage/keys.js';
import type { ListedMachine } from '../../protocol/model.js';
import type { AutoscalingContext } from './autoscaling-context.js';
import type { MachineRecords } from './machine-records.js';

/** s; minimum time between two readings of the list, however short the cloud's lag is. */
const MIN_LIST_PERIOD_S = 5;

/** The cloud's list of machines, read periodically. */
export class MachineList {
  private startedAt = -Infinity;
  /** The pages of the current reading that have arrived; null: no reading is under way. */
  private reading: ListedMachine[] | null = null;
  private readonly failedNames = new Set<string>();

  constructor(
    private readonly context: AutoscalingContext,
    private readonly records: MachineRecords,
  ) {}

  /** Whether the cloud listed the machine as failed, and it is not returned yet. */
  hasFailed(name: string): boolean {
    return this.failedNames.has(name);
  }

  /** Forgets a failed machine once it is returned. */
  forgetFailed(name: string): void {
    this.failedNames.delete(name);
  }

  /**
   * Continues the current reading, or begins one if it is due. Where the request budget allows only
   * one page in a pass, a list of several pages is read over several passes.
   */
  async refresh(): Promise<void> {
    const { cloud, cloudRequests, log } = this.context;
    const listed = this.reading ?? this.beginIfDue();
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
    const unknown = this.unknownMachines(listed);
    if (unknown.length > 0) {
      const names = unknown.map((machine) => machine.name);
      log.info({ machines: names }, 'unrecorded machines adopted');
      await this.records.recordState(unknown, 'rented');
    }
    this.noteFailed(listed);
    await this.records.removeOld(new Set(listed.map((machine) => machine.name)));
  }

  /** Begins a reading; null: none is due yet. */
  private beginIfDue(): ListedMachine[] | null {
    const { clock, listLagS } = this.context;
    const now = clock.now();
    if (now - this.startedAt < Math.max(MIN_LIST_PERIOD_S, listLagS) * 1000) return null;
    this.startedAt = now;
    this.reading = [];
    return this.reading;
  }

  /** Machines without a record, as after a rent request whose reply was lost. */
  private unknownMachines(listed: readonly ListedMachine[]): ListedMachine[] {
    return listed.filter((machine) => !this.context.replica.get(machineKey(machine.name)));
  }

  /** Notes the machines that failed and are not returned yet. */
  private noteFailed(listed: readonly ListedMachine[]): void {
    for (const { name, state } of listed) {
      const record = this.context.replica.machine(name);
      if (state === 'failed' && record && record.state !== 'gone') this.failedNames.add(name);
    }
  }
}
