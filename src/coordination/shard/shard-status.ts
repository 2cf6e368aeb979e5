/** A part's reports to the other nodes: the health of its machines, and what it has learned. */

import { TRANSACTION_BYTES } from '../../constants/protocol.js';
import { STATUS_INTERVAL_MS } from '../../constants/shard.js';
import { VALUE_SHARE } from '../../constants/storage.js';
import { bytesOf, type Committer } from '../../storage/committer.js';
import type { RateLimiter } from '../../storage/rate-limiter.js';
import { STATUSES, armKey, statusKey } from '../../storage/keys.js';
import { RejectedChangeBackoff } from '../../storage/rejected-change-backoff.js';
import type { MachineHealth, StatusRecord } from '../../storage/records.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Change, Guard } from '../../protocol/key-value-store.js';
import type { Clock } from '../../transport/clock.js';
import type { ArmRecord, Bandit } from '../scheduling/bandit.js';
import type { Machines } from '../shard-state/machines.js';

/** What a status needs to know of its part. */
export interface ShardStatusOptions {
  shard: string;
  roleKey: string;
  roleRevision: number;
  transactionOps: number;
  valueBytes: number;
  snapshotMs: number;
  isHolder: () => boolean;
  limiter: Pick<RateLimiter, 'supply'>;
}

/** The services that a status uses. */
export interface ShardStatusServices {
  readonly replica: StoreReplica;
  readonly committer: Committer;
  readonly clock: Clock;
}

type Entry = StatusRecord['machines'][string];

/** The longest health of all: a change of health must not make a machine change its shard. */
const LONGEST_HEALTH: MachineHealth = 'leaving';

/** Bytes that a machine takes in a status record at the most, with its comma. */
function sizeOf(name: string, [type, zone, spot]: Entry): number {
  return bytesOf({ [name]: [type, zone, spot, LONGEST_HEALTH] });
}

/** One status record as it is to be: its machines, and the room that is left in it. */
interface StatusPage {
  names: Set<string>;
  left: number;
  /** It lost machines to others in this round, and takes none. */
  losing: boolean;
}

/** What a part tells others beside its tasks: its machines' health, and what it has learned. */
export class ShardStatus {
  /** The records as the state service holds them, as far as is known, by shard. */
  private readonly sent = new Map<number, StatusRecord['machines']>();
  private statusAt = -Infinity;
  private snapshotAt: number;
  private readonly rejectedChangeBackoff: RejectedChangeBackoff;

  constructor(
    private readonly options: ShardStatusOptions,
    private readonly services: ShardStatusServices,
    private readonly machines: Machines,
  ) {
    const { clock } = services;
    this.rejectedChangeBackoff = new RejectedChangeBackoff(clock);
    this.snapshotAt = clock.now() + options.snapshotMs;
    this.inherit();
  }

  /**
   * The machines that the owner before us knew are ours from the start, heard of or not. Without
   * this the first status of a new owner is empty, and the leader takes a part's whole fleet for
   * machines that never came up, and returns it.
   */
  private inherit(): void {
    const prefix = `${STATUSES}${this.options.shard}/`;
    for (const [key, held] of this.services.replica.below<StatusRecord>(prefix)) {
      this.sent.set(Number(key.slice(prefix.length)), held.value.machines);
      for (const [name, [type, zone, spot, health]] of Object.entries(held.value.machines)) {
        const machine = this.machines.add(name, type, zone, spot === 1);
        machine.isLeaving = health === 'leaving';
        machine.answeredAt = -Infinity;
      }
    }
  }

  /** Writes what changed and is due. */
  async reconcile(bandit: Bandit | null, types: readonly string[]): Promise<void> {
    await this.writeStatus();
    await this.snapshot(bandit, types);
  }

  // --- Machines ------------------------------------------------------------------------------

  /**
   * Which shard each machine is to be in. It stays where it is while that record fits its value;
   * what the version before wrote larger is taken apart here. The shards are numbered without gaps,
   * since that version counts them to find those that it must empty.
   */
  private plan(entries: ReadonlyMap<string, Entry>): StatusPage[] {
    const capacity = Math.floor(this.options.valueBytes * VALUE_SHARE) - bytesOf({ machines: {} });
    const pages: StatusPage[] = [];
    const open = (): StatusPage => {
      const page: StatusPage = { names: new Set(), left: capacity, losing: false };
      pages.push(page);
      return page;
    };
    const size = (name: string): number => {
      const entry = entries.get(name);
      return entry ? sizeOf(name, entry) : 0;
    };
    const put = (page: StatusPage, name: string): void => {
      page.names.add(name);
      page.left -= size(name);
    };
    const movers = new Set<string>();
    const placed = new Set<string>();
    const last = Math.max(0, ...this.sent.keys());
    for (let at = 0; at <= last; at++) {
      const page = open();
      for (const name of Object.keys(this.sent.get(at) ?? {}).sort()) {
        if (!entries.has(name) || placed.has(name)) continue;
        if (size(name) > page.left) {
          page.losing = true;
          movers.add(name);
          continue;
        }
        placed.add(name);
        put(page, name);
      }
    }
    this.emptyLast(pages, capacity, movers, size);
    for (const name of entries.keys()) if (!placed.has(name)) movers.add(name);
    // By name and to the last shards first: names grow with time, and the version before orders
    // its shards by name. So little moves when it takes the part, and nothing to a later shard.
    for (const name of [...movers].sort()) {
      const fits = (page: StatusPage): boolean => !page.losing && page.left >= size(name);
      put(pages.findLast(fits) ?? open(), name);
    }
    return pages;
  }

  /** The last shard in use goes into the others once they have plenty of room for it. */
  private emptyLast(
    pages: StatusPage[],
    capacity: number,
    movers: Set<string>,
    size: (name: string) => number,
  ): void {
    const last = pages.findLast((page) => page.names.size > 0);
    if (!last || last === pages[0] || pages.some((page) => page.losing)) return;
    const others = pages.slice(0, pages.indexOf(last));
    // Shards that are nearly full don't count: their rests may fit no machine.
    const free = others.reduce((sum, { left }) => sum + (left < capacity / 4 ? 0 : left), 0);
    if (free < capacity - last.left + capacity) return;
    for (const name of last.names) movers.add(name);
    for (const name of last.names) last.left += size(name);
    last.names.clear();
    last.losing = true;
  }

  private async writeStatus(): Promise<void> {
    const now = this.services.clock.now();
    if (now - this.statusAt < STATUS_INTERVAL_MS[this.options.limiter.supply]) return;
    this.statusAt = now;
    const entries = new Map<string, Entry>();
    for (const machine of this.machines.all.values()) {
      const health = this.machines.health(machine);
      entries.set(machine.name, [machine.type, machine.zone, machine.spot ? 1 : 0, health]);
    }
    const pages = this.plan(entries);
    const records = pages.map((page): StatusRecord['machines'] => {
      const machines: StatusRecord['machines'] = {};
      for (const name of [...page.names].sort()) {
        const entry = entries.get(name);
        if (entry) machines[name] = entry;
      }
      return machines;
    });
    const order = [...pages.keys()].filter((at) => !pages[at]?.losing);
    order.push(...[...pages.keys()].filter((at) => pages[at]?.losing));
    for (const at of order) {
      const machines = records[at] ?? {};
      const key = statusKey(this.options.shard, at);
      if (JSON.stringify(this.sent.get(at)) === JSON.stringify(machines)) continue;
      // The shard that gains a machine is written before the one that loses it, and if it can't be,
      // neither is: missing from all, a machine would be taken for one that never came up.
      if (this.rejectedChangeBackoff.has(key)) return;
      const value: StatusRecord = { machines };
      if (!(await this.write('status', [{ key, value }]))) return;
      this.sent.set(at, machines);
    }
  }

  /** False: not written; what the state service calls invalid is left alone for a while. */
  private async write(purpose: 'status' | 'part', changes: Change[]): Promise<boolean> {
    const guards: Guard[] = [{ key: this.options.roleKey, revision: this.options.roleRevision }];
    for (const { key } of changes)
      guards.push({ key, revision: this.services.replica.revisionOf(key) });
    const { isHolder: alive } = this.options;
    const result = await this.services.committer.commit(purpose, guards, changes, alive);
    for (const { key } of changes) {
      if (result.kind === 'invalid') this.rejectedChangeBackoff.add(key);
      else this.rejectedChangeBackoff.clear(key);
    }
    return result.kind === 'done';
  }

  // --- What was learned ----------------------------------------------------------------------

  private async snapshot(bandit: Bandit | null, types: readonly string[]): Promise<void> {
    const now = this.services.clock.now();
    if (now < this.snapshotAt || !bandit) return;
    this.snapshotAt = now + this.options.snapshotMs;
    const most = Math.floor(this.options.valueBytes * VALUE_SHARE);
    for (const type of types) {
      const keyOf = (at: number): string =>
        armKey(this.options.shard, at === 0 ? type : `${type}+${at}`);
      const held = this.services.replica.get<ArmRecord>(keyOf(0))?.value;
      const same = bandit.records(type, most, held?.stamp ?? 0);
      const isHeld = (record: ArmRecord, at: number): boolean =>
        JSON.stringify(this.services.replica.get(keyOf(at))?.value) === JSON.stringify(record);
      if (same.length === 0 || same.every(isHeld)) continue;
      const records = bandit.records(type, most, (held?.stamp ?? 0) + 1);
      if (records.some((_, at) => this.rejectedChangeBackoff.has(keyOf(at)))) continue;
      // The main record last: the others count only with it.
      const changes = records.map((value, at): Change => ({ key: keyOf(at), value })).reverse();
      const changesPerTransaction = Math.max(
        1,
        Math.min(this.options.transactionOps, Math.floor(TRANSACTION_BYTES / most)),
      );
      for (let at = 0; at < changes.length; at += changesPerTransaction) {
        if (!(await this.write('part', changes.slice(at, at + changesPerTransaction)))) break;
      }
    }
  }
}
