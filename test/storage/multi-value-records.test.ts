/** Bandit arms, catalogues and machine status too large for one value. */
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

// --- Arms --------------------------------------------------------------------------------------

const ARM_TYPES = ['dodo-small', 'dodo-large', 'dodo-huge'];

function learned(): Bandit {
  const bandit = new Bandit(ARM_TYPES, 2, 2);
  for (let round = 0; round < 3; round++) {
    for (let at = 0; at < 20; at++) {
      const load = new Map(
        ARM_TYPES.map((type, nth) => [type, 1 + ((at * 7 + nth * 3 + round) % 11)]),
      );
      for (const type of ARM_TYPES) {
        const context = bandit.context(`class-of-work-${at}`, type, load);
        // Mixed contexts fill the whole matrix.
        bandit.finished(
          type,
          context.map((one, nth) => one + ((at + nth) % 5) / 7),
          0.01 * (at + 1),
        );
      }
    }
  }
  return bandit;
}

/** What the version before does with each key below a shard's arms. */
function restoreOld(types: string[], record: ArmRecord): number[][] | null {
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

/** Cholesky's way to tell whether a matrix is positive definite. */
function isPositive(a: number[][]): boolean {
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

// A matrix that one value could not hold was cut to its diagonal, or thrown away.
test('arms of twenty classes and three types are restored completely from values of 2 KiB', () => {
  const bandit = learned();
  const other = new Bandit(ARM_TYPES, 2, 2);
  const lossy = new Bandit(ARM_TYPES, 2, 2);
  for (const type of ARM_TYPES) {
    const records = bandit.records(type, SMALL_VALUE_BYTES, 5);
    assert.ok(records.length > 2);
    for (const [at, record] of records.entries()) {
      assert.ok(storedBytes(record) <= SMALL_VALUE_BYTES, `${at}`);
      const old = restoreOld(ARM_TYPES, structuredClone(record));
      assert.equal(old !== null, at === 0, 'the version before takes the main record only');
      if (old) assert.ok(isPositive(old));
    }
    const [main] = records;
    assert.ok(main);
    other.restore(type, main, (at) => records[at]);
    // One piece of another snapshot: none of the pieces count.
    const stale = records.map((record, at) => (at === 2 ? { ...record, stamp: 4 } : record));
    lossy.restore(type, main, (at) => stale[at]);
  }
  const load = new Map(ARM_TYPES.map((type) => [type, 2]));
  let lost = 0;
  for (let at = 0; at < 20; at++) {
    for (const type of ARM_TYPES) {
      const x = bandit.context(`class-of-work-${at}`, type, load);
      const [real, back] = [bandit.score(type, x), other.score(type, x)];
      assert.ok(Math.abs(real - back) < 0.01 * Math.abs(real) + 1e-3, `${real} ${back}`);
      lost += Math.abs(real - lossy.score(type, x));
      assert.ok(Number.isFinite(lossy.score(type, x)));
    }
  }
  assert.ok(lost > 1);
});

// --- Catalogue ---------------------------------------------------------------------------------

test('a catalogue larger than a value is read completely, and records it no longer needs are removed', async () => {
  const clock = new SimClock();
  const state = new SimKeyValueStore(clock);
  state.valueBytes = SMALL_VALUE_BYTES;
  const { replica } = followingReplica(clock, state, 1000);
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
    state.change(changes);
    await clock.run(clock.now() + 2000);
    assert.deepEqual(readCatalog(replica), types, `${count}`);
    const [first] = (replica.get<typeof TYPES>(CATALOG)?.value ?? []).map((type) => type.name);
    assert.equal(first, 'type-0', 'the version before reads this record only');
    assert.deepEqual(writeCatalog(replica, types, SMALL_VALUE_BYTES), []);
  }
});

// --- Status ------------------------------------------------------------------------------------

const machinesOf = (state: SimKeyValueStore): string[][] => {
  const pages: string[][] = [];
  for (const [key, { value }] of state.entries) {
    if (key.startsWith('mb/live/status/p/'))
      pages.push(Object.keys((value as StatusRecord).machines));
  }
  return pages;
};

// A machine missing from all pieces for a moment appears to the leader like one that never came up.
test('a machine status stored larger is split, and no machine is missing in between', async () => {
  for (const transactionOps of [2, 8]) {
    const machines: StatusRecord['machines'] = {};
    for (let at = 0; at < 80; at++) machines[`m-${100000 + at}`] = ['small', 'a', 0, 'ok'];
    const world = await shardFixture({
      transactionOps,
      valueBytes: SMALL_VALUE_BYTES,
      held: [{ key: statusKey('p', 0), value: { machines } }],
    });
    assert.ok(storedBytes({ machines }) > SMALL_VALUE_BYTES);
    // The last of them go on with heartbeats, the first stay where they were.
    world.heartbeat();
    const from = world.state.log.length;
    await world.reconcile(8000);
    // After each single change, not only after each pass.
    const held = new Map<string, string[]>([[statusKey('p', 0), Object.keys(machines)]]);
    const written = world.state.log
      .slice(from)
      .filter((one) => one.key.startsWith('mb/live/status/p/'));
    for (const { key, value } of written) {
      held.set(key, Object.keys((value as StatusRecord).machines));
      const there = new Set([...held.values()].flat());
      for (const name of Object.keys(machines)) assert.ok(there.has(name), `${name} after ${key}`);
    }
    assert.ok(written.length >= 2 && written.length < 20, `${written.length}`);
    const pages = machinesOf(world.state);
    assert.ok(pages.length >= 2);
    assert.equal(new Set(pages.flat()).size, pages.flat().length, 'each in one only');
    assert.ok(new Set(pages.flat()).has('m-1'));
    for (let at = 0; at < pages.length; at++) {
      const value = world.state.entries.get(statusKey('p', at))?.value as StatusRecord;
      assert.deepEqual(Object.keys(value), ['machines']);
      assert.ok(storedBytes(value) <= SMALL_VALUE_BYTES);
    }
    assert.deepEqual(world.state.rejectedTransactions, []);
  }
});
