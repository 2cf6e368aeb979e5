/** Reads the cloud's list of machines: adopts unknown machines and notes failed ones. */
import { machineKey } from '../../storage/keys.js';
import type { ListedMachine } from '../../protocol/model.js';
import type { FleetContext } from './fleet-context.js';
import type { MachineRecords } from './machine-records.js';

/** Least seconds between two readings of the list, however short the cloud's lag is. */
const LIST_PERIOD_LEAST_S = 5;

/** The cloud's list of machines, read periodically. */
export class MachineList {
  private startedAt = -Infinity;
  /** The pages of the current reading that have arrived; null: no reading is under way. */
  private reading: ListedMachine[] | null = null;
  private readonly failedNames = new Set<string>();

  constructor(
    private readonly context: FleetContext,
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
   * Continues the current reading, or begins one if it is due. Where the cloud's limit allows only
   * one page a round, a list of several pages is read over several rounds.
   */
  async refresh(): Promise<void> {
    const { clock, listLagS } = this.context;
    if (!this.reading) {
      const now = clock.now();
      if (now - this.startedAt < Math.max(LIST_PERIOD_LEAST_S, listLagS) * 1000) return;
      this.startedAt = now;
      this.reading = [];
    }
    const listed = this.reading;
    const progress = await this.readPages(listed);
    if (progress === 'paused') return;
    this.reading = null;
    if (progress === 'failed') return;
    await this.adoptUnknown(listed);
    this.noteFailed(listed);
    await this.records.removeOld(new Set(listed.map((machine) => machine.name)));
  }

  /** Appends the pages that can be read now. `paused`: the cloud's limit allows no more for now. */
  private async readPages(listed: ListedMachine[]): Promise<'complete' | 'paused' | 'failed'> {
    const { cloud, cloudRequests } = this.context;
    for (;;) {
      if (!cloudRequests.trySpend()) return 'paused';
      const page = await cloud.list(listed.at(-1)?.name ?? '');
      if (!page) return 'failed';
      listed.push(...page.machines);
      if (!page.more || page.machines.length === 0) return 'complete';
    }
  }

  /** Writes records of machines that have none, as after a rent request without an answer. */
  private async adoptUnknown(listed: readonly ListedMachine[]): Promise<void> {
    const { log, replica } = this.context;
    const unknown = listed.filter((machine) => !replica.get(machineKey(machine.name)));
    if (unknown.length === 0) return;
    const names = unknown.map((machine) => machine.name);
    log.info({ machines: names }, 'machines adopted from the list');
    await this.records.recordState(unknown, 'rented');
  }

  private noteFailed(listed: readonly ListedMachine[]): void {
    for (const { name, state } of listed) {
      const record = this.context.replica.machine(name);
      if (state === 'failed' && record && record.state !== 'gone') this.failedNames.add(name);
    }
  }
}
