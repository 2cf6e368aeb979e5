/** Checks that older versions can read the records that this version writes. */
import assert from 'node:assert/strict';
import { OLDER_VERSIONS } from './older-versions.js';
import type { SimKeyValueStore } from './key-value-store.js';

/** The changes written to the key-value store, in order. */
export type WriteLog = SimKeyValueStore['log'];

/** Fails if one of the older versions cannot read a record that was written. */
export function assertReadableByOlderVersions(log: WriteLog): void {
  for (const { key, value, removed } of log) {
    if (removed) continue;
    for (const { commit, objections } of OLDER_VERSIONS)
      assert.deepEqual(objections(key, value), [], `${key} by ${commit}: ${JSON.stringify(value)}`);
  }
}

/** An assignment that all versions can read. */
export const ASSIGNMENT = {
  ...{ ids: '0-3', done: '1', live: { '0': ['m-1', 7] } },
  ...{ team: 'red', cpus: 1, gpus: 0, memoryGb: 1, zone: 'a' },
};
