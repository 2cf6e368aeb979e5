/** Divides a shard's machines among its status records, each of which fits one stored value. */
import { bytesOf } from '../../storage/committer.js';
import type { MachineHealth, StatusRecord } from '../../storage/records.js';

/** The machines of a status record, by name. */
export type StatusEntries = StatusRecord['machines'];

/** A machine's type, zone, spot flag and health as they are stored. */
export type StatusEntry = StatusEntries[string];

/** One status record as it is to be: its machines, and the bytes that are left in it. */
export interface StatusPage {
  names: Set<string>;
  freeBytes: number;
  /** It loses machines to other pages this time, and takes none. */
  isLosing: boolean;
}

/** The longest health of all: a change of health must not make a machine change its page. */
const LONGEST_HEALTH: MachineHealth = 'leaving';

/** Bytes that a machine takes in a status record at the most, with its comma. */
function entryBytes(name: string, [type, zone, spot]: StatusEntry): number {
  return bytesOf({ [name]: [type, zone, spot, LONGEST_HEALTH] });
}

/**
 * Plans in which page each machine is to be. It stays where it is while that record fits its value;
 * what the version before wrote larger is divided here. The pages are numbered without gaps, since
 * that version counts them to find those that it must empty.
 */
export class StatusPagePlan {
  readonly pages: StatusPage[] = [];
  private readonly capacity: number;
  private readonly movers = new Set<string>();
  private readonly staying = new Set<string>();

  /** `written`: the pages as they are stored; `maxBytes`: bytes that a page may have. */
  constructor(
    private readonly entries: ReadonlyMap<string, StatusEntry>,
    written: ReadonlyMap<number, StatusEntries>,
    maxBytes: number,
  ) {
    this.capacity = maxBytes - bytesOf({ machines: {} });
    this.keepWritten(written);
    this.emptyLastPage();
    this.addMovers();
  }

  /** The numbers of the pages in the order of their writes: those that lose machines last. */
  writeOrder(): number[] {
    const numbers = [...this.pages.keys()];
    return [
      ...numbers.filter((number) => !this.pages[number]?.isLosing),
      ...numbers.filter((number) => this.pages[number]?.isLosing),
    ];
  }

  /** The record of a page. */
  machinesOf(number: number): StatusEntries {
    const machines: StatusEntries = {};
    for (const name of [...(this.pages[number]?.names ?? [])].sort()) {
      const entry = this.entries.get(name);
      if (entry) machines[name] = entry;
    }
    return machines;
  }

  /** Leaves the machines in their pages; those that don't fit there any more are to move. */
  private keepWritten(written: ReadonlyMap<number, StatusEntries>): void {
    const last = Math.max(0, ...written.keys());
    for (let number = 0; number <= last; number++) {
      const page = this.addPage();
      for (const name of Object.keys(written.get(number) ?? {}).sort()) {
        if (!this.entries.has(name) || this.staying.has(name)) continue;
        if (this.bytesOfEntry(name) > page.freeBytes) {
          page.isLosing = true;
          this.movers.add(name);
          continue;
        }
        this.staying.add(name);
        this.put(page, name);
      }
    }
  }

  /** The machines of the last page in use move to the others once these have plenty of room. */
  private emptyLastPage(): void {
    const { capacity, pages } = this;
    const last = pages.findLast((page) => page.names.size > 0);
    if (!last || last === pages[0] || pages.some((page) => page.isLosing)) return;
    const others = pages.slice(0, pages.indexOf(last));
    // Pages that are nearly full don't count: what is left of them may fit no machine.
    const usable = others.filter(({ freeBytes }) => freeBytes >= capacity / 4);
    const free = usable.reduce((sum, { freeBytes }) => sum + freeBytes, 0);
    if (free < capacity - last.freeBytes + capacity) return;
    for (const name of last.names) this.movers.add(name);
    for (const name of last.names) last.freeBytes += this.bytesOfEntry(name);
    last.names.clear();
    last.isLosing = true;
  }

  /**
   * Gives new machines and those that move a page, by name and the last pages first: names grow with
   * time, and the version before orders its pages by name. So little moves when it takes the shard
   * over, and nothing to a later page.
   */
  private addMovers(): void {
    for (const name of this.entries.keys()) if (!this.staying.has(name)) this.movers.add(name);
    for (const name of [...this.movers].sort()) {
      const bytes = this.bytesOfEntry(name);
      const fits = (page: StatusPage): boolean => !page.isLosing && page.freeBytes >= bytes;
      this.put(this.pages.findLast(fits) ?? this.addPage(), name);
    }
  }

  private addPage(): StatusPage {
    const page: StatusPage = { names: new Set(), freeBytes: this.capacity, isLosing: false };
    this.pages.push(page);
    return page;
  }

  private put(page: StatusPage, name: string): void {
    page.names.add(name);
    page.freeBytes -= this.bytesOfEntry(name);
  }

  private bytesOfEntry(name: string): number {
    const entry = this.entries.get(name);
    return entry ? entryBytes(name, entry) : 0;
  }
}
