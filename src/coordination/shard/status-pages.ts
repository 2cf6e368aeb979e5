/** Distributes a shard's machines among its status records, each of which fits one stored value. */
import { bytesOf } from '../../storage/committer.js';
import type { MachineHealth, StatusRecord } from '../../storage/records.js';

/** The machines of a status record, by name. */
export type StatusEntries = StatusRecord['machines'];

/** A machine's type, zone, spot flag and health as they are stored. */
export type StatusEntry = StatusEntries[string];

/** One planned status record: the names of its machines, and the bytes that are free in it. */
export interface StatusPage {
  names: Set<string>;
  freeBytes: number;
  /** Machines of this page move to other pages in this plan, so none are added to it. */
  losesMachines: boolean;
}

/**
 * The longest health value. The size of each machine's entry is computed with it, so that a change
 * of health never moves a machine to another page.
 */
const LONGEST_HEALTH: MachineHealth = 'leaving';

/** Upper bound of the bytes that a machine takes in a status record, including its comma. */
function entryBytes(name: string, [type, zone, spot]: StatusEntry): number {
  return bytesOf({ [name]: [type, zone, spot, LONGEST_HEALTH] });
}

/**
 * Plans the page of each machine. A machine keeps its page as long as the page fits one stored
 * value. Pages that the previous version of this program wrote may be too large; then some of their
 * machines move to other pages. The pages are numbered without gaps, because the previous version
 * counts them to find those that it must empty.
 */
export class StatusPagePlan {
  readonly pages: StatusPage[] = [];
  private readonly pageCapacityBytes: number;
  private readonly movingMachines = new Set<string>();
  private readonly keptMachines = new Set<string>();

  /**
   * `storedPages`: the pages as they are stored; `maxBytes`: the maximum size of a page, in bytes.
   */
  constructor(
    private readonly entries: ReadonlyMap<string, StatusEntry>,
    storedPages: ReadonlyMap<number, StatusEntries>,
    maxBytes: number,
  ) {
    this.pageCapacityBytes = maxBytes - bytesOf({ machines: {} });
    this.keepStored(storedPages);
    this.emptyLastPage();
    this.addMovingMachines();
  }

  /** The numbers of the pages in the order of their writes; pages that lose machines come last. */
  writeOrder(): number[] {
    const numbers = [...this.pages.keys()];
    return [
      ...numbers.filter((number) => !this.pages[number]?.losesMachines),
      ...numbers.filter((number) => this.pages[number]?.losesMachines),
    ];
  }

  /** The machines of a page's record, sorted by name. */
  machinesOf(number: number): StatusEntries {
    const machines: StatusEntries = {};
    for (const name of [...(this.pages[number]?.names ?? [])].sort()) {
      const entry = this.entries.get(name);
      if (entry) machines[name] = entry;
    }
    return machines;
  }

  /** Keeps the machines in their pages, except those that no longer fit there, which must move. */
  private keepStored(storedPages: ReadonlyMap<number, StatusEntries>): void {
    const last = Math.max(0, ...storedPages.keys());
    for (let number = 0; number <= last; number++) {
      const page = this.addPage();
      for (const name of Object.keys(storedPages.get(number) ?? {}).sort()) {
        if (!this.entries.has(name) || this.keptMachines.has(name)) continue;
        if (this.bytesOfEntry(name) > page.freeBytes) {
          page.losesMachines = true;
          this.movingMachines.add(name);
          continue;
        }
        this.keptMachines.add(name);
        this.addToPage(page, name);
      }
    }
  }

  /**
   * Moves the machines of the last page in use to earlier pages, once the earlier pages have enough
   * free bytes for all of these machines and for a full page besides.
   */
  private emptyLastPage(): void {
    const { pageCapacityBytes, pages } = this;
    const last = pages.findLast((page) => page.names.size > 0);
    if (!last || last === pages[0] || pages.some((page) => page.losesMachines)) return;
    const others = pages.slice(0, pages.indexOf(last));
    // Pages with less than a quarter of their bytes free don't count, because a machine's entry may
    // not fit there.
    const usable = others.filter(({ freeBytes }) => freeBytes >= pageCapacityBytes / 4);
    const free = usable.reduce((sum, { freeBytes }) => sum + freeBytes, 0);
    if (free < pageCapacityBytes - last.freeBytes + pageCapacityBytes) return;
    for (const name of last.names) this.movingMachines.add(name);
    for (const name of last.names) last.freeBytes += this.bytesOfEntry(name);
    last.names.clear();
    last.losesMachines = true;
  }

  /**
   * Puts new machines, and those that must leave their page, into pages, in the order of their
   * names and preferring the last pages. The names of newer machines sort after those of older
   * ones, and the previous version of this program orders its pages by name. When a controller of
   * that version becomes the holder, it therefore moves few machines between pages, and none to a
   * later page.
   */
  private addMovingMachines(): void {
    for (const name of this.entries.keys())
      if (!this.keptMachines.has(name)) this.movingMachines.add(name);
    for (const name of [...this.movingMachines].sort()) {
      const bytes = this.bytesOfEntry(name);
      const fits = (page: StatusPage): boolean => !page.losesMachines && page.freeBytes >= bytes;
      this.addToPage(this.pages.findLast(fits) ?? this.addPage(), name);
    }
  }

  private addPage(): StatusPage {
    const page: StatusPage = {
      names: new Set(),
      freeBytes: this.pageCapacityBytes,
      losesMachines: false,
    };
    this.pages.push(page);
    return page;
  }

  private addToPage(page: StatusPage, name: string): void {
    page.names.add(name);
    page.freeBytes -= this.bytesOfEntry(name);
  }

  private bytesOfEntry(name: string): number {
    const entry = this.entries.get(name);
    return entry ? entryBytes(name, entry) : 0;
  }
}
