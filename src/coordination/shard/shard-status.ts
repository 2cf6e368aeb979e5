/** Writes the status records from which other controllers read the health of a shard's machines. */
import { STATUS_INTERVAL_MS } from '../../constants/shard.js';
import { VALUE_FILL_FRACTION } from '../../constants/storage.js';
import type { RateLimiter } from '../../storage/rate-limiter.js';
import { STATUSES, statusKey } from '../../storage/keys.js';
import type { StatusRecord } from '../../storage/records.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Clock } from '../../transport/clock.js';
import type { Machines } from '../shard-state/machines.js';
import type { HolderRecords } from './holder-records.js';
import { StatusPagePlan, type StatusEntries, type StatusEntry } from './status-pages.js';

/** The shard, the store's limit for values, and the limiter that gives the supply of writes. */
export interface ShardStatusOptions {
  shard: string;
  valueBytes: number;
  limiter: Pick<RateLimiter, 'supply'>;
}

/** The machines, records, replica and clock that the status uses. */
export interface ShardStatusDependencies {
  readonly machines: Machines;
  readonly records: HolderRecords;
  readonly replica: StoreReplica;
  readonly clock: Clock;
}

/** Keeps a shard's status records, which are numbered pages, in line with its machines. */
export class ShardStatus {
  /** The status pages as last read from the store or written to it, by page number. */
  private readonly storedPages = new Map<number, StatusEntries>();
  private lastWriteAt = -Infinity;

  constructor(
    private readonly options: ShardStatusOptions,
    private readonly dependencies: ShardStatusDependencies,
  ) {
    this.addStoredMachines();
  }

  /**
   * Adds the machines of the stored status records, also those that have sent no heartbeat to this
   * holder. Otherwise the first status of a new holder would be empty, and the leader would treat
   * all machines of the shard as machines that failed to boot, and return them to the cloud.
   */
  private addStoredMachines(): void {
    const { machines, replica } = this.dependencies;
    const prefix = `${STATUSES}${this.options.shard}/`;
    for (const [key, stored] of replica.entriesWithPrefix<StatusRecord>(prefix)) {
      this.storedPages.set(Number(key.slice(prefix.length)), stored.value.machines);
      for (const [name, [type, zone, spot, health]] of Object.entries(stored.value.machines)) {
        const machine = machines.add(name, type, zone, spot === 1);
        machine.isLeaving = health === 'leaving';
        machine.answeredAt = -Infinity;
      }
    }
  }

  /**
   * Writes the status pages that have changed, if a write is due; stops at the first page that
   * cannot be written.
   */
  async writeIfDue(): Promise<void> {
    const { clock, records } = this.dependencies;
    const now = clock.now();
    if (now - this.lastWriteAt < STATUS_INTERVAL_MS[this.options.limiter.supply]) return;
    this.lastWriteAt = now;
    const maxBytes = Math.floor(this.options.valueBytes * VALUE_FILL_FRACTION);
    const plan = new StatusPagePlan(this.currentEntries(), this.storedPages, maxBytes);
    const pages = plan.pages.map((_, number) => plan.machinesOf(number));
    for (const number of plan.writeOrder()) {
      const machines = pages[number] ?? {};
      if (JSON.stringify(this.storedPages.get(number)) === JSON.stringify(machines)) continue;
      const key = statusKey(this.options.shard, number);
      // The page that gains a machine is written before the page that loses it, and a failed write
      // ends the loop. Otherwise the machine could be missing from all pages, and the leader would
      // treat it as one that failed to boot.
      if (records.isRejected(key)) return;
      const value: StatusRecord = { machines };
      if (!(await records.write('status', [{ key, value }]))) return;
      this.storedPages.set(number, machines);
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
