/** The machine types in the state service: read from and written to as many records as they take. */

import { VALUE_SHARE } from '../constants/storage.js';
import type { Change } from '../protocol/key-value-store.js';
import type { MachineType } from '../protocol/model.js';
import { bytesOf } from './committer.js';
import { CATALOG, CATALOG_MORE } from './keys.js';
import type { StoreReplica } from './store-replica.js';

/** The last reading of each replica, so that what asks for each machine costs no new list. */
const cachedCatalogs = new WeakMap<StoreReplica, { at: number; types: MachineType[] | null }>();

/**
 * All machine types, or null while they are not known. They are written first-record-last and may
 * stand in two records for a moment: the first record's word counts.
 */
export function readCatalog(replica: StoreReplica): MachineType[] | null {
  const cached = cachedCatalogs.get(replica);
  if (cached?.at === replica.catalogChanges) return cached.types;
  const reading = { at: replica.catalogChanges, types: mergeRecords(replica) };
  cachedCatalogs.set(replica, reading);
  return reading.types;
}

function mergeRecords(replica: StoreReplica): MachineType[] | null {
  const first = replica.get<MachineType[]>(CATALOG);
  if (!first) return null;
  const overflow = [...replica.below<MachineType[]>(CATALOG_MORE)].sort(([a], [b]) =>
    a < b ? -1 : 1,
  );
  const types = new Map<string, MachineType>();
  for (const list of [first.value, ...overflow.map(([, held]) => held.value)]) {
    for (const type of list) if (!types.has(type.name)) types.set(type.name, type);
  }
  return [...types.values()];
}

/** What is to be changed so that these types are held, in records of so many bytes. */
export function writeCatalog(
  replica: StoreReplica,
  types: MachineType[],
  valueBytes: number,
): Change[] {
  const records: MachineType[][] = [[]];
  let bytes = 2;
  for (const type of types) {
    const size = bytesOf(type) + 1;
    if (bytes + size > valueBytes * VALUE_SHARE && bytes > 2) {
      records.push([]);
      bytes = 2;
    }
    records[records.length - 1]?.push(type);
    bytes += size;
  }
  const desired = new Map(
    records.map((record, at) => [at === 0 ? CATALOG : `${CATALOG_MORE}${at}`, record]),
  );
  const changes: Change[] = [];
  for (const [key, value] of [...desired].reverse()) {
    if (JSON.stringify(replica.get(key)?.value) !== JSON.stringify(value))
      changes.push({ key, value });
  }
  for (const [key] of replica.below(CATALOG_MORE)) {
    if (!desired.has(key)) changes.push({ key, remove: true });
  }
  return changes;
}
