/** Tests bandit arms, catalogs and machine statuses that are too large for one stored value. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { readCatalog, writeCatalog } from '../../src/storage/catalog.js';
import { CATALOG, statusKey } from '../../src/storage/keys.js';
import type { StatusRecord } from '../../src/storage/records.js';
import { Bandit, type ArmRecord } from '../../src/coordination/scheduling/bandit.js';
import { SimClock } from '../world/clock.js';
import { shardFixture } from '../world/shard-fixture.js';
import { followingReplica } from '../world/replica.js';
import { SMALL_VALUE_BYTES, storedBytes } from '../world/sizes.js';
import { SimKeyValueStore } from '../world/key-value-store.js';
import { TYPES } from '../world/settings.js';

// --- Bandit arms -------------------------------------------------------------------------------

const ARM_TYPES = ['dodo-small', 'dodo-large', 'dodo-huge'];

/** Returns a bandit that has learned the costs of twenty classes of work. */
function trainedBandit(): Bandit {
  const bandit = new Bandit(ARM_TYPES, 2, 2);
  for (let round = 0; round < 3; round++) {
    for (let at = 0; at < 20; at++) {
      const load = new Map(
        ARM_TYPES.map((type, nth) => [type, 1 + ((at * 7 + nth * 3 + round) % 11)]),
      );
      for (const type of ARM_TYPES) {
        const context = bandit.context(`class-of-work-${at}`, type, load);
        // Contexts with different values in each entry fill the whole matrix.
        bandit.recordSuccess(
          type,
          context.map((one, nth) => one + ((at + nth) % 5) / 7),
          0.01 * (at + 1),
        );
      }
    }
  }
  return bandit;
}

/**
 * Restores an arm's matrix from a record as the previous version does; null if it ignores the
 * record.
 */
function restoreAsPreviousVersion(types: string[], record: ArmRecord): number[][] | null {
  if (record.types.join() !== types.join()) return null;
  const size = 21 + 2 * types.length;
  const a = Array.from({ length: size }, () => new Array<number>(size).fill(0));
  for (const [row, column, value] of record.a) {
    const [upper, lower] = [a[row], a[column]];
    assert.ok(upper && lower);
    upper[column] = value;
    lower[row] = value;
  }
  for (const [row] of record.b) assert.ok(row < size);
  return a;
}

/** Returns whether a matrix is positive definite, by the Cholesky decomposition. */
function isPositiveDefinite(a: number[][]): boolean {
  const l = a.map((row) => row.map(() => 0));
  for (let i = 0; i < a.length; i++) {
    for (let j = 0; j <= i; j++) {
      let sum = a[i]?.[j] ?? 0;
      for (let k = 0; k < j; k++) sum -= (l[i]?.[k] ?? 0) * (l[j]?.[k] ?? 0);
      const row = l[i];
      if (!row || (i === j && sum <= 0)) return false;
      row[j] = i === j ? Math.sqrt(sum) : sum / (l[j]?.[j] ?? 1);
    }
  }
  return true;
}

// Guards against arms that lose what they have learned: a matrix too large for one value was
// reduced to its diagonal or discarded.
test('arms of twenty classes and three types are restored completely from values of 2 KiB', () => {
  const bandit = trainedBandit();
  const restored = new Bandit(ARM_TYPES, 2, 2);
  const lossy = new Bandit(ARM_TYPES, 2, 2);
  for (const type of ARM_TYPES) {
    const records = bandit.records(type, SMALL_VALUE_BYTES, 5);
    assert.ok(records.length > 2);
    for (const [at, record] of records.entries()) {
      assert.ok(storedBytes(record) <= SMALL_VALUE_BYTES, `${at}`);
      const matrix = restoreAsPreviousVersion(ARM_TYPES, structuredClone(record));
      assert.equal(matrix !== null, at === 0, 'the previous version reads only the main record');
      if (matrix) assert.ok(isPositiveDefinite(matrix));
    }
    const [main] = records;
    assert.ok(main);
    restored.restore(type, main, (at) => records[at]);
    // If one further record belongs to another snapshot, only the main record is restored.
    const stale = records.map((record, at) => (at === 2 ? { ...record, stamp: 4 } : record));
    lossy.restore(type, main, (at) => stale[at]);
  }
  const load = new Map(ARM_TYPES.map((type) => [type, 2]));
  let lossyError = 0;
  for (let at = 0; at < 20; at++) {
    for (const type of ARM_TYPES) {
      const context = bandit.context(`class-of-work-${at}`, type, load);
      const [expected, actual] = [bandit.score(type, context), restored.score(type, context)];
      assert.ok(
        Math.abs(expected - actual) < 0.01 * Math.abs(expected) + 1e-3,
        `${expected} ${actual}`,
      );
      lossyError += Math.abs(expected - lossy.score(type, context));
      assert.ok(Number.isFinite(lossy.score(type, context)));
    }
  }
  assert.ok(lossyError > 1);
});

// --- Catalog -----------------------------------------------------------------------------------

test('a catalog larger than a value is read completely, and records it no longer needs are removed', async () => {
  const clock = new SimClock();
  const simulatedStore = new SimKeyValueStore(clock);
  simulatedStore.valueBytes = SMALL_VALUE_BYTES;
  const { replica } = followingReplica(clock, simulatedStore, 1000);
  const [small] = TYPES;
  assert.ok(small);
  for (const count of [1, 40, 15, 1]) {
    const types: typeof TYPES = Array.from({ length: count }, (_, at) => ({
      ...small,
      name: `type-${at}`,
    }));
    await clock.run(clock.now() + 2000);
    const changes = writeCatalog(replica, types, SMALL_VALUE_BYTES);
    for (const change of changes)
      assert.ok('remove' in change || storedBytes(change.value) <= SMALL_VALUE_BYTES);
    simulatedStore.change(changes);
    await clock.run(clock.now() + 2000);
    assert.deepEqual(readCatalog(replica), types, `${count}`);
    const [first] = (replica.get<typeof TYPES>(CATALOG)?.value ?? []).map((type) => type.name);
    assert.equal(first, 'type-0', 'the previous version reads only this record');
    assert.deepEqual(writeCatalog(replica, types, SMALL_VALUE_BYTES), []);
  }
});

// --- Machine status ----------------------------------------------------------------------------

const machinesByPage = (simulatedStore: SimKeyValueStore): string[][] => {
  const pages: string[][] = [];
  for (const [key, { value }] of simulatedStore.entries) {
    if (key.startsWith('mb/live/status/p/'))
      pages.push(Object.keys((value as StatusRecord).machines));
  }
  return pages;
};

// Guards against machines that are returned while the status is split. A machine that is in no page
// of the status for a moment looks to the leader like a machine that never started.
test('a machine status larger than a value is split, and each machine is in some page after each write', async () => {
  for (const transactionOps of [2, 8]) {
    const machines: StatusRecord['machines'] = {};
    for (let at = 0; at < 80; at++) machines[`m-${100000 + at}`] = ['small', 'a', 0, 'ok'];
    const fixture = await shardFixture({
      transactionOps,
      valueBytes: SMALL_VALUE_BYTES,
      records: [{ key: statusKey('p', 0), value: { machines } }],
    });
    assert.ok(storedBytes({ machines }) > SMALL_VALUE_BYTES);
    // The machine of the fixture sends heartbeats; the others are known from the stored status
    // only.
    fixture.heartbeat();
    const from = fixture.store.log.length;
    await fixture.reconcile(8000);
    // Checked after each change, not only after each pass of the shard.
    const machinesByKey = new Map<string, string[]>([[statusKey('p', 0), Object.keys(machines)]]);
    const written = fixture.store.log
      .slice(from)
      .filter((one) => one.key.startsWith('mb/live/status/p/'));
    for (const { key, value } of written) {
      machinesByKey.set(key, Object.keys((value as StatusRecord).machines));
      const storedMachines = new Set([...machinesByKey.values()].flat());
      for (const name of Object.keys(machines))
        assert.ok(storedMachines.has(name), `${name} after ${key}`);
    }
    assert.ok(written.length >= 2 && written.length < 20, `${written.length}`);
    const pages = machinesByPage(fixture.store);
    assert.ok(pages.length >= 2);
    assert.equal(new Set(pages.flat()).size, pages.flat().length, 'each machine is in one page');
    assert.ok(new Set(pages.flat()).has('m-1'));
    for (let at = 0; at < pages.length; at++) {
      const value = fixture.store.entries.get(statusKey('p', at))?.value as StatusRecord;
      assert.deepEqual(Object.keys(value), ['machines']);
      assert.ok(storedBytes(value) <= SMALL_VALUE_BYTES);
    }
    assert.deepEqual(fixture.store.rejectedTransactions, []);
  }
});
