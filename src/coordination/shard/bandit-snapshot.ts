/** Stores the arms of a shard's bandit, so that the shard's next holder can continue with them. */
import { MAX_TRANSACTION_BYTES } from '../../constants/protocol.js';
import { VALUE_FILL_FRACTION } from '../../constants/storage.js';
import type { Change } from '../../protocol/key-value-store.js';
import { armKey } from '../../storage/keys.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Clock } from '../../transport/clock.js';
import { parseArmRecord, type ArmRecord } from '../scheduling/arm-records.js';
import type { Bandit } from '../scheduling/bandit.js';
import type { HolderRecords } from './holder-records.js';

/** The shard, the store's limits, and the interval of snapshots. */
export interface BanditSnapshotOptions {
  shard: string;
  transactionOps: number;
  valueBytes: number;
  /** Interval between two snapshots, in ms. */
  snapshotMs: number;
}

/** The records, replica and clock that the snapshots use. */
export interface BanditSnapshotDependencies {
  readonly records: HolderRecords;
  readonly replica: StoreReplica;
  readonly clock: Clock;
}

/** Writes the arms of a shard's bandit periodically, each in one or more records. */
export class BanditSnapshot {
  private nextAt: number;

  constructor(
    private readonly options: BanditSnapshotOptions,
    private readonly dependencies: BanditSnapshotDependencies,
  ) {
    this.nextAt = dependencies.clock.now() + options.snapshotMs;
  }

  /**
   * Writes the arms of these machine types that differ from the stored ones, if a snapshot is due;
   * none while `bandit` is null.
   */
  async writeIfDue(bandit: Bandit | null, types: readonly string[]): Promise<void> {
    const now = this.dependencies.clock.now();
    if (now < this.nextAt || !bandit) return;
    this.nextAt = now + this.options.snapshotMs;
    for (const type of types) {
      const changes = this.changesOf(bandit, type);
      for (let start = 0; start < changes.length; start += this.changesPerTransaction) {
        const batch = changes.slice(start, start + this.changesPerTransaction);
        if (!(await this.dependencies.records.write('part', batch))) break;
      }
    }
  }

  /** Maximum size of a record, in bytes. */
  private get maxBytes(): number {
    return Math.floor(this.options.valueBytes * VALUE_FILL_FRACTION);
  }

  private get changesPerTransaction(): number {
    const fitting = Math.floor(MAX_TRANSACTION_BYTES / this.maxBytes);
    return Math.max(1, Math.min(this.options.transactionOps, fitting));
  }

  /** The key of one of the records of a machine type's arm; number 0 is the main record. */
  private keyOf(type: string, number: number): string {
    return armKey(this.options.shard, number === 0 ? type : `${type}+${number}`);
  }

  /**
   * The changes that store the arm of a machine type; none if the stored arm is equal, or if the
   * store rejected one of these keys recently.
   */
  private changesOf(bandit: Bandit, type: string): Change[] {
    const { records, replica } = this.dependencies;
    const stored = parseArmRecord(replica.get(this.keyOf(type, 0))?.value);
    const storedStamp = stored.ok ? (stored.value.stamp ?? 0) : 0;
    const recordsWithStoredStamp = bandit.records(type, this.maxBytes, storedStamp);
    const isStored = (record: ArmRecord, number: number): boolean =>
      JSON.stringify(replica.get(this.keyOf(type, number))?.value) === JSON.stringify(record);
    if (recordsWithStoredStamp.length === 0 || recordsWithStoredStamp.every(isStored)) return [];
    const values = bandit.records(type, this.maxBytes, storedStamp + 1);
    const changes = values.map((value, number): Change => ({
      key: this.keyOf(type, number),
      value,
    }));
    if (changes.some(({ key }) => records.isRejected(key))) return [];
    // The main record is written last, because further records are read only if their stamp is that
    // of the main record.
    return changes.reverse();
  }
}
