/**
 * This version reads the records of two older ones: 89f79d3, which is in production and has no
 * gangs, and df7a3ba. The records are as the code of those versions writes them; for each kind, one
 * has a further field, as a later version may add it.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { readCatalog } from '../../src/storage/catalog.js';
import { stageOf } from '../world/jobs.js';
import { JOB, shardFixture } from '../world/shard-fixture.js';
import {
  ARM,
  ATTEMPT,
  ASSIGNMENT_1,
  KIND,
  LATER,
  SPEC,
  SUMMARY,
  TERM,
  learnedOn,
  replicaOf,
  role,
  started,
  typesNamed,
  valueOf,
  type Records,
} from '../world/older-records.js';
import { OLDER_VERSIONS } from '../world/older-versions.js';
import { rewrittenByProduction } from '../world/production-chunks.js';
import { TYPES } from '../world/settings.js';

interface ReadRow {
  name: string;
  records: Records;
  check: (records: Records) => Promise<void>;
}

const READ: ReadRow[] = [
  {
    name: 'jobs of every kind',
    records: {
      'mb/live/job/j-000001': { spec: { ...SPEC, ...LATER }, at: 5, ...LATER },
      'mb/live/job/j-000002': { spec: { ...SPEC, id: 'j-000002', kind: 'service' }, at: 6 },
      // Only df7a3ba writes this one.
      'mb/live/job/j-000003': { spec: { ...SPEC, id: 'j-000003', kind: 'gang' }, at: 7 },
    },
    check: async (records) => {
      const replica = await replicaOf(records);
      for (const [key, value] of Object.entries(records))
        assert.deepEqual(replica.job(key.slice('mb/live/job/'.length)), value);
      assert.equal([...replica.openJobs()].length, 3);
    },
  },
  {
    name: 'final states, which users can poll for ever',
    records: {
      'mb/final/j-000001': { state: 'done', tasks: 4, ...LATER },
      'mb/final/j-000002': { state: 'cancelled', tasks: 4, ...LATER },
    },
    check: async (records) => {
      const world = await started(records, [['n0', 'a']]);
      await world.run(20);
      const pending = ['j-000001', 'j-000002'].map((id) => world.poll(id));
      await world.run(5);
      const replies = await Promise.all(pending);
      assert.deepEqual(
        replies.map((reply) => stageOf(reply)),
        ['done', 'withdrawn'],
      );
    },
  },
  {
    name: 'an assignment of 89f79d3 does not belong to a gang',
    records: {
      [ASSIGNMENT_1]: {
        ids: '0-3,7',
        done: '1',
        live: { '2': ['m-1', ATTEMPT] },
        ...KIND,
        ...LATER,
      },
    },
    check: async (records) => {
      const replica = await replicaOf(records);
      assert.deepEqual(replica.assignment(ASSIGNMENT_1), {
        ...SUMMARY,
        number: 3_000_001,
        ids: [0, 1, 2, 3, 7],
        done: 1,
        machines: ['m-1'],
        placedCount: 1,
        unfinished: 4,
        waiting: 3,
        attempt: null,
        stopping: false,
      });
    },
  },
  {
    name: 'assignments of a gang keep their attempt, and whether it is being stopped',
    records: {
      [ASSIGNMENT_1]: { ids: '0', done: '', live: {}, ...KIND, attempt: ATTEMPT, ...LATER },
      [`mb/live/chunk/q/${JOB}/3000002`]: {
        ...{ ids: '1', done: '', live: { '1': ['m-1', ATTEMPT] }, ...KIND },
        ...{ attempt: ATTEMPT, stopping: true },
      },
    },
    check: async (records) => {
      // The records as they are, and as 89f79d3 writes them when it holds the shard.
      const rewritten = Object.fromEntries(
        Object.entries(records).map(([key, value]) => [key, rewrittenByProduction(value, {})]),
      );
      for (const one of [records, rewritten]) {
        const replica = await replicaOf(one);
        const subsets = replica.assignmentsOf(JOB).map(({ shard, attempt, stopping, waiting }) => {
          return { shard, attempt, stopping, waiting };
        });
        assert.deepEqual(subsets, [
          { shard: 'p', attempt: ATTEMPT, stopping: false, waiting: 1 },
          { shard: 'q', attempt: ATTEMPT, stopping: true, waiting: 0 },
        ]);
      }
    },
  },
  {
    name: 'all pieces of an assignment that was split are read',
    records: {
      [ASSIGNMENT_1]: { ids: '0-1', done: '0', live: {}, ...KIND },
      [`${ASSIGNMENT_1}.1`]: { ids: '2', done: '', live: { '2': ['m-2', ATTEMPT] }, ...KIND },
      [`${ASSIGNMENT_1}.2`]: { ids: '3', done: '', live: {}, ...KIND },
    },
    check: async (records) => {
      const replica = await replicaOf(records);
      const assignments = replica.assignmentsOf(JOB).sort((a, b) => a.number - b.number);
      assert.deepEqual(
        assignments.map(({ shard, number, ids, machines }) => ({
          shard,
          number,
          ids,
          machines,
        })),
        [
          { shard: 'p', number: 3_000_001, ids: [0, 1], machines: [] },
          { shard: 'p', number: 3_000_001.1, ids: [2], machines: ['m-2'] },
          { shard: 'p', number: 3_000_001.2, ids: [3], machines: [] },
        ],
      );
    },
  },
  {
    name: "a machine with the leader's decision, and one without a decision",
    records: {
      'mb/live/machine/m-1': {
        ...{ state: 'rented', type: 'small', zone: 'a', spot: false, at: 5 },
        ...LATER,
      },
    },
    check: async (records) => {
      const [[key = '', value] = []] = Object.entries(records);
      for (const state of ['rented', 'drain', 'gone', null]) {
        const held = state === null ? [] : [{ key, value: { ...(value as object), state } }];
        const world = await shardFixture({ records: held });
        world.heartbeat();
        await world.reconcile();
        const placed = Object.keys(world.stored()?.live ?? {}).length;
        assert.equal(placed, state === 'rented' || state === null ? 1 : 0, `${state}`);
      }
    },
  },
  {
    name: "all pages of a shard's status, with machines that leave",
    records: {
      'mb/live/status/p/0': { machines: { 'm-1': ['small', 'a', 0, 'ok'] }, ...LATER },
      'mb/live/status/p/1': {
        machines: { 'm-2': ['small', 'a', 1, 'leaving'], 'm-3': ['small', 'b', 0, 'silent'] },
      },
    },
    check: async (records) => {
      const held = Object.entries(records).map(([key, value]) => ({ key, value }));
      const world = await shardFixture({ records: held });
      const from = world.store.log.length;
      world.heartbeat({ machine: 'm-4' });
      await world.reconcile(8000);
      assert.ok(world.store.log.slice(from).some(({ key }) => key.startsWith('mb/live/status/p/')));
      const machines = Object.assign(
        {},
        ...['0', '1'].map((page) => {
          return valueOf<{ machines: object }>(world.store, `mb/live/status/p/${page}`).machines;
        }),
      ) as Record<string, unknown[]>;
      assert.deepEqual(Object.keys(machines).sort(), ['m-1', 'm-2', 'm-3', 'm-4']);
      assert.deepEqual(machines['m-2'], ['small', 'a', 1, 'leaving']);
      assert.deepEqual(machines['m-3']?.slice(0, 3), ['small', 'b', 0]);
    },
  },
  {
    name: 'roles continue from their term, and have the time of their last move',
    records: {
      'mb/live/role/leader': role('n1'),
      'mb/live/role/part-n0': role('n0', 7),
      'mb/live/node/n1': { incarnation: 'n1-later', ...LATER },
    },
    check: async (records) => {
      const world = await started(records, [
        ['n0', 'a'],
        ['n1', 'a'],
      ]);
      const from = world.clock.wall();
      await world.run(60);
      type Role = { owner: string; term: number; movedAt: number };
      const leader = valueOf<Role>(world.store, 'mb/live/role/leader');
      const shard = valueOf<Role>(world.store, 'mb/live/role/part-n0');
      assert.deepEqual([leader.owner, leader.term], ['n0', TERM + 1]);
      assert.ok(leader.movedAt >= from);
      assert.deepEqual([shard.owner, shard.term, shard.movedAt], ['n0', TERM + 1, 7]);
    },
  },
  {
    name: 'a controller that is registered keeps its roles',
    records: {
      'mb/live/role/leader': role('n1'),
      'mb/live/node/n1': { incarnation: 'n1-before', ...LATER },
    },
    check: async (records) => {
      const world = await started(records, [
        ['n0', 'a'],
        ['n1', 'a'],
      ]);
      await world.run(60);
      assert.deepEqual(valueOf(world.store, 'mb/live/role/leader'), records['mb/live/role/leader']);
      assert.equal(valueOf<{ owner: string }>(world.store, 'mb/live/role/part-n0').owner, 'n0');
    },
  },
  {
    name: 'an arm in one record, as 89f79d3 writes it',
    records: { 'mb/live/arm/n0/small': { ...ARM, ...LATER } },
    check: async (records) => {
      const { own, beside } = await learnedOn(records);
      assert.ok(own > 9, `${own}`);
      assert.equal(beside, undefined);
    },
  },
  {
    name: 'an arm in several records, as df7a3ba writes it',
    records: {
      'mb/live/arm/n0/small': { ...ARM, stamp: 5, further: 2, ...LATER },
      'mb/live/arm/n0/small+1': {
        ...{ classes: [], types: [], a: [], b: [], stamp: 5 },
        ...{ moreClasses: ['other/1/0'], moreA: [[1, 1, 3]], moreB: [] },
      },
      'mb/live/arm/n0/small+2': {
        ...{ classes: [], types: [], a: [], b: [], stamp: 5 },
        ...{ moreClasses: [], moreA: [[2, 1, 0.25]], moreB: [[1, -0.5]] },
      },
    },
    check: async (records) => {
      const { own, beside, classes } = await learnedOn(records);
      assert.ok(own > 9, `${own}`);
      assert.equal(beside, 0.25);
      assert.deepEqual(classes, ['work/1/0', 'other/1/0']);
    },
  },
  {
    name: 'the catalogue in one record, as 89f79d3 writes it',
    records: { 'mb/live/catalog': typesNamed('small', 'large') },
    check: async (records) => {
      assert.deepEqual(readCatalog(await replicaOf(records)), typesNamed('small', 'large'));
    },
  },
  {
    name: 'the catalogue in several records, as df7a3ba writes it',
    records: {
      'mb/live/catalog': typesNamed('small', 'large'),
      // While the catalogue is written, a type may be in two records; the first one counts.
      'mb/live/catalog/1': [{ ...TYPES[0], name: 'large', cpus: 999 }, ...typesNamed('huge')],
      'mb/live/catalog/2': typesNamed('vast'),
    },
    check: async (records) => {
      const types = readCatalog(await replicaOf(records));
      assert.deepEqual(types, typesNamed('small', 'large', 'huge', 'vast'));
    },
  },
];

test('records of older versions are read, also with fields that a later version adds', async (t) => {
  for (const { name, records, check } of READ) {
    await t.test(name, async () => {
      // The checks of those versions must accept the records as well, otherwise the row is wrong.
      const [production, gangs] = OLDER_VERSIONS;
      for (const [key, value] of Object.entries(records))
        assert.deepEqual(gangs?.objections(key, value), [], `${key} by ${gangs?.commit}`);
      if (name.includes('89f79d3')) {
        for (const [key, value] of Object.entries(records))
          assert.deepEqual(production?.objections(key, value), [], key);
      }
      await check(records);
    });
  }
});
