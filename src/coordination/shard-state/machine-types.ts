/** The machine types of the stored catalog, by name. */
import type { MachineType } from '../../protocol/model.js';
import { readCatalog } from '../../storage/catalog.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { Resources } from '../capacity/resources.js';

const NO_TYPES: MachineType[] = [];

/** Looks up machine types by name; the index is rebuilt after each change of the catalog. */
export class MachineTypes {
  private catalog: MachineType[] | null = null;
  private byName = new Map<string, MachineType>();

  constructor(private readonly replica: StoreReplica) {}

  /** The machine type with this name; undefined: the catalog has none. */
  get(name: string): MachineType | undefined {
    const catalog = readCatalog(this.replica) ?? NO_TYPES;
    if (this.catalog !== catalog) {
      this.catalog = catalog;
      this.byName = new Map(catalog.map((type) => [type.name, type]));
    }
    return this.byName.get(name);
  }

  /** The resources of an empty machine of a type; all 0 if the catalog has no such type. */
  capacity(name: string): Resources {
    const type = this.get(name);
    return { cpus: type?.cpus ?? 0, gpus: type?.gpus ?? 0, memoryGb: type?.memoryGb ?? 0 };
  }
}
