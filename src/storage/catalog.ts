/** Reads and writes the catalog of machine types, which may span several records. */

import { VALUE_FILL_FRACTION } from '../constants/storage.js';
import type { Change } from '../protocol/key-value-store.js';
import type { MachineType } from '../protocol/model.js';
import { bytesOf } from './committer.js';
import { CATALOG, CATALOG_OVERFLOW } from './keys.js';
import type { StoreReplica } from './store-replica.js';

/**
 * The last result of `readCatalog` for each replica, cached because the catalog is read for every
 * machine.
 */
const cachedCatalogs = new WeakMap<
  StoreReplica,
  { version: number; types: MachineType[] | null }
>();

/**
 * Returns all machine types, or null if the store has none yet. The first record is written after
 * the others, so a type may be in two records for a short time. Its entry in the first record is
 * valid.
 */
export function readCatalog(replica: StoreReplica): MachineType[] | null {
  const cached = cachedCatalogs.get(replica);
  if (cached?.version === replica.catalogChanges) return cached.types;
  const reading = { version: replica.catalogChanges, types: mergeRecords(replica) };
  cachedCatalogs.set(replica, reading);
  return reading.types;
}

function mergeRecords(replica: StoreReplica): MachineType[] | null {
  const first = replica.get<MachineType[]>(CATALOG);
  if (!first) return null;
  const overflow = [...replica.entriesWithPrefix<MachineType[]>(CATALOG_OVERFLOW)].sort(
    ([a], [b]) => (a < b ? -1 : 1),
  );
  const types = new Map<string, MachineType>();
  for (const list of [first.value, ...overflow.map(([, stored]) => stored.value)]) {
    for (const type of list) if (!types.has(type.name)) types.set(type.name, type);
  }
  return [...types.values()];
}

/** Returns the changes that store these types in records of at most `valueBytes` each. */
export function writeCatalog(
  replica: StoreReplica,
  types: MachineType[],
  valueBytes: number,
): Change[] {
  const records: MachineType[][] = [[]];
  let bytes = 2;
  for (const type of types) {
    const size = bytesOf(type) + 1;
    if (bytes + size > valueBytes * VALUE_FILL_FRACTION && bytes > 2) {
      records.push([]);
      bytes = 2;
    }
    records[records.length - 1]?.push(type);
    bytes += size;
  }
  const desired = new Map(
    records.map((record, page) => [page === 0 ? CATALOG : `${CATALOG_OVERFLOW}${page}`, record]),
  );
  const changes: Change[] = [];
  for (const [key, value] of [...desired].reverse()) {
    if (JSON.stringify(replica.get(key)?.value) !== JSON.stringify(value))
      changes.push({ key, value });
  }
  for (const [key] of replica.entriesWithPrefix(CATALOG_OVERFLOW)) {
    if (!desired.has(key)) changes.push({ key, remove: true });
  }
  return changes;
}
