/**
 * Records that this version writes can be read by two older ones: 89f79d3, which is in production and
 * has no gangs, and df7a3ba. Their readers are in world/older-versions.ts.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { writeCatalog } from '../../src/storage/catalog.js';
import { SimClock } from '../world/clock.js';
import { JOB, shardFixture } from '../world/shard-fixture.js';
import { followingReplica } from '../world/replica.js';
import { SimKeyValueStore } from '../world/key-value-store.js';
import { TYPES } from '../world/settings.js';
import type { Records } from '../world/older-records.js';
import {
  ASSIGNMENT,
  assertReadableByOlderVersions,
  type WriteLog,
} from '../world/readable-by-older-versions.js';
import { World } from '../world/world.js';

/** Returns the kind of a key: the key without the parts that differ between records of one kind. */
const kindOf = (key: string): string =>
  key.replace(/^(mb\/live\/(?:chunk|status|arm))\/.*?(\.\d+|\+\d+)?$/, '$1$2').replace(/\d+$/, 'N');

/** A run of this version, and the records that it must write. */
interface WriteRow {
  name: string;
  /** Kinds of keys that must be among those written. */
  kinds: string[];
  /** Returns the log of the changes that this version wrote. */
  write: () => Promise<WriteLog>;
}

/** Repeats the cancellation of a job until its answer confirms it. */
async function cancelJob(world: World, id: string): Promise<void> {
  let stage = '';
  for (let tries = 0; stage !== 'withdrawn'; tries++) {
    assert.ok(tries < 10, `${id} is not cancelled`);
    void world.cancel(id).then(({ body }) => {
      stage = (body as { stage?: string }).stage ?? '';
    });
    await world.run(5);
  }
}

const WRITES: WriteRow[] = [
  {
    name: 'controllers with ordinary jobs, gangs, cancellations, and machines that are rented and returned',
    kinds: [
      ...['mb/live/job/j-N', 'mb/final/j-N', 'mb/live/chunk', 'mb/live/machine/m-N'],
      ...['mb/live/status', 'mb/live/role/leader', 'mb/live/node/nN', 'mb/live/arm'],
      'mb/live/catalog',
    ],
    write: async () => {
      const world = new World(4, undefined, {
        placement: { alpha: 2, penalty: 2, snapshotS: 5 },
      });
      await world.run(20);
      void world.submit('j-000001', { tasks: 6 });
      void world.submit('j-000002', { gang: true, tasks: 5, team: 'blue' });
      void world.submit('j-000003', { service: true, tasks: 1 });
      await world.run(120);
      await cancelJob(world, 'j-000003');
      await world.run(100);
      const values = world.store.log.map((one) => one.value as Records | undefined);
      assert.ok(values.some((value) => value?.state === 'done'));
      assert.ok(values.some((value) => value?.state === 'cancelled'));
      assert.ok(values.some((value) => typeof value?.attempt === 'number'));
      assert.ok(values.some((value) => value?.state === 'drain' || value?.state === 'gone'));
      return world.store.log;
    },
  },
  {
    name: 'an assignment of a gang that is stopped because another one is',
    kinds: ['mb/live/chunk'],
    write: async () => {
      const subset = { ...ASSIGNMENT, done: '', attempt: 7 };
      const world = await shardFixture({
        spec: { kind: 'gang', tasks: 4 },
        records: [
          { key: `mb/live/chunk/p/${JOB}/1`, value: { ...subset, ids: '0-1', live: {} } },
          { key: `mb/live/chunk/q/${JOB}/2`, value: { ...subset, ids: '2-3', live: {} } },
        ],
      });
      const from = world.store.log.length;
      world.heartbeat();
      await world.reconcile();
      const value = { ...subset, ids: '2-3', live: {}, stopping: true };
      world.store.change([{ key: `mb/live/chunk/q/${JOB}/2`, value }]);
      await world.reconcile();
      const written = world.store.log.slice(from);
      const own = written.filter(({ key }) => key.startsWith('mb/live/chunk/p/'));
      const values = own.map((one) => one.value as Records | undefined);
      assert.ok(values.some((one) => one?.stopping === true));
      for (const one of values) assert.ok(one === undefined || one.attempt === 7);
      return written;
    },
  },
  {
    name: 'arms too large for one value',
    kinds: ['mb/live/arm', 'mb/live/arm+N'],
    write: async () => {
      const overrides = {
        valueBytes: 1024,
        placement: { alpha: 2, penalty: 2, snapshotS: 5 },
      };
      const world = new World(4, [['n0', 'a']], overrides);
      world.store.valueBytes = overrides.valueBytes;
      await world.run(20);
      for (let at = 0; at < 18; at++)
        void world.submit(`j-00000${at}`, { tasks: 1 }, 'n0', { lane: `class-of-work-${at}` });
      await world.run(200);
      const arms = [...world.store.entries].filter(([key]) => key.startsWith('mb/live/arm/'));
      const main = arms.find(([key]) => key === 'mb/live/arm/n0/small')?.[1].value as Records;
      // df7a3ba reads as many further records as the main record states, and uses those with its stamp.
      assert.ok(typeof main.further === 'number' && main.further > 0);
      for (let at = 1; at <= main.further; at++) {
        const more = arms.find(([key]) => key === `mb/live/arm/n0/small+${at}`)?.[1].value;
        assert.equal((more as Records).stamp, main.stamp);
      }
      assert.deepEqual(world.store.rejectedTransactions, []);
      return world.store.log;
    },
  },
  {
    name: 'a machine status too large for one value',
    kinds: ['mb/live/status'],
    write: async () => {
      const machines = Object.fromEntries(
        Array.from({ length: 90 }, (_, at) => [`m-${1000 + at}`, ['small', 'a', 0, 'ok']]),
      );
      const held = [{ key: 'mb/live/status/p/0', value: { machines } }];
      const world = await shardFixture({ valueBytes: 1024, records: held });
      const from = world.store.log.length;
      world.heartbeat();
      await world.reconcile(20_000);
      // 89f79d3 counts the existing pages and empties those beyond the ones that it writes, so that
      // their numbers must have no gaps.
      const pages = [...world.store.entries.keys()]
        .filter((key) => key.startsWith('mb/live/status/p/'))
        .map((key) => Number(key.slice('mb/live/status/p/'.length)));
      assert.deepEqual(
        pages.sort((a, b) => a - b),
        pages.map((_, at) => at),
      );
      assert.ok(pages.length > 2);
      return world.store.log.slice(from);
    },
  },
  {
    name: 'a catalogue too large for one value',
    kinds: ['mb/live/catalog', 'mb/live/catalog/N'],
    write: async () => {
      const clock = new SimClock();
      const store = new SimKeyValueStore(clock);
      const { replica } = followingReplica(clock, store, 100);
      await clock.run(500);
      const types = Array.from({ length: 30 }, (_, at) => ({
        ...(TYPES[0] as (typeof TYPES)[number]),
        name: `type-${at}`,
      }));
      const changes = writeCatalog(replica, types, 1024);
      // The record that 89f79d3 reads is written last, so that 89f79d3 uses the previous catalogue
      // until then.
      assert.equal(changes.at(-1)?.key, 'mb/live/catalog');
      store.change(changes);
      return store.log;
    },
  },
];

test('older versions read every record that this version writes', async (t) => {
  for (const { name, kinds, write } of WRITES) {
    await t.test(name, async () => {
      const log = await write();
      assertReadableByOlderVersions(log);
      const written = new Set(log.filter((one) => !one.removed).map((one) => kindOf(one.key)));
      for (const kind of kinds)
        assert.ok(written.has(kind), `${kind} among ${[...written].join(' ')}`);
    });
  }
});
