/** Writes the health of a shard's machines for the other controllers. */
import { STATUS_INTERVAL_MS } from '../../constants/shard.js';
import { VALUE_SHARE } from '../../constants/storage.js';
import type { RateLimiter } from '../../storage/rate-limiter.js';
import { STATUSES, statusKey } from '../../storage/keys.js';
import type { StatusRecord } from '../../storage/records.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Clock } from '../../transport/clock.js';
import type { Machines } from '../shard-state/machines.js';
import type { HolderRecords } from './holder-records.js';
import { StatusPagePlan, type StatusEntries, type StatusEntry } from './status-pages.js';

/** What the status needs to know of its shard. */
export interface ShardStatusOptions {
  shard: string;
  valueBytes: number;
  limiter: Pick<RateLimiter, 'supply'>;
}

/** What the status reads and writes. */
export interface ShardStatusDependencies {
  readonly machines: Machines;
  readonly records: HolderRecords;
  readonly replica: StoreReplica;
  readonly clock: Clock;
}

/** Keeps a shard's status records, in numbered pages, in line with its machines. */
export class ShardStatus {
  /** The pages as the key-value store holds them, as far as is known, by number. */
  private readonly written = new Map<number, StatusEntries>();
  private writtenAt = -Infinity;

  constructor(
    private readonly options: ShardStatusOptions,
    private readonly dependencies: ShardStatusDependencies,
  ) {
    this.adoptFormerMachines();
  }

  /**
   * The machines that the former holder knew are ours from the start, heard of or not. Without this
   * the first status of a new holder is empty, and the leader takes a shard's whole fleet for
   * machines that never came up, and returns it.
   */
  private adoptFormerMachines(): void {
    const { machines, replica } = this.dependencies;
    const prefix = `${STATUSES}${this.options.shard}/`;
    for (const [key, stored] of replica.below<StatusRecord>(prefix)) {
      this.written.set(Number(key.slice(prefix.length)), stored.value.machines);
      for (const [name, [type, zone, spot, health]] of Object.entries(stored.value.machines)) {
        const machine = machines.add(name, type, zone, spot === 1);
        machine.isLeaving = health === 'leaving';
        machine.answeredAt = -Infinity;
      }
    }
  }

  /** Writes the pages that changed, if a write is due. */
  async writeIfDue(): Promise<void> {
    const { clock, records } = this.dependencies;
    const now = clock.now();
    if (now - this.writtenAt < STATUS_INTERVAL_MS[this.options.limiter.supply]) return;
    this.writtenAt = now;
    const maxBytes = Math.floor(this.options.valueBytes * VALUE_SHARE);
    const plan = new StatusPagePlan(this.currentEntries(), this.written, maxBytes);
    const pages = plan.pages.map((_, number) => plan.machinesOf(number));
    for (const number of plan.writeOrder()) {
      const machines = pages[number] ?? {};
      if (JSON.stringify(this.written.get(number)) === JSON.stringify(machines)) continue;
      const key = statusKey(this.options.shard, number);
      // The page that gains a machine is written before the one that loses it, and if it can't be,
      // neither is: missing from all, a machine would be taken for one that never came up.
      if (records.isRejected(key)) return;
      const value: StatusRecord = { machines };
      if (!(await records.write('status', [{ key, value }]))) return;
      this.written.set(number, machines);
    }
  }

  private currentEntries(): Map<string, StatusEntry> {
    const { machines } = this.dependencies;
    const entries = new Map<string, StatusEntry>();
    for (const machine of machines.all.values()) {
      const health = machines.health(machine);
      entries.set(machine.name, [machine.type, machine.zone, machine.spot ? 1 : 0, health]);
    }
    return entries;
  }
}
