import assert from 'node:assert/strict';
import { test } from 'node:test';
import { writeCatalog } from '../src/storage/catalog.js';
import { RateLimiter } from '../src/storage/rate-limiter.js';
import { StoreReplica } from '../src/storage/store-replica.js';
import type { TaskReport } from '../src/protocol/model.js';
import { SimClock } from './world/clock.js';
import { JOB, SPEC, lone, ops } from './world/lone.js';
import { OLDER, rangesAsRead, writtenByProduction } from './world/older-versions.js';
import { SimState } from './world/state.js';
import { TYPES, silent } from './world/settings.js';
import { World } from './world/world.js';

/*
 * Records that this version writes, as two older ones need them (world/older-versions.ts): 89f79d3, in
 * production and without gangs, and df7a3ba.
 */

type Records = Record<string, unknown>;
type Written = SimState['log'];

function assertTaken(log: Written): void {
  for (const { key, value, removed } of log) {
    if (removed) continue;
    for (const { commit, objections } of OLDER)
      assert.deepEqual(objections(key, value), [], `${key} by ${commit}: ${JSON.stringify(value)}`);
  }
}

/** A key without what differs from one record of its kind to the next. */
const kindOf = (key: string): string =>
  key.replace(/^(mb\/live\/(?:chunk|status|arm))\/.*?(\.\d+|\+\d+)?$/, '$1$2').replace(/\d+$/, 'N');

// --- What the older versions take --------------------------------------------------------------

const CHUNK = {
  ...{ ids: '0-3', done: '1', live: { '0': ['m-1', 7] } },
  ...{ team: 'red', cpus: 1, gpus: 0, memoryGb: 1, zone: 'a' },
};
const ROLE = { owner: 'n0', incarnation: 'n0-1', term: 1, movedAt: 0 };
const ARM = {
  ...{ classes: [], types: ['small'], b: [] },
  a: Array.from({ length: 21 + 2 }, (_, at) => [at, at, 1]),
};
const JOB_RECORD = { spec: SPEC, at: 5 };
const MACHINE = { state: 'rented', type: 'small', zone: 'a', spot: false, at: 5 };
const without = (value: object, field: string): object =>
  Object.fromEntries(Object.entries(value).filter(([name]) => name !== field));

/** A record that each version takes, and what would be wrong of it. */
const BROKEN: {
  key: string;
  good: object;
  bad: unknown[];
  badKeys?: string[];
  /** What the version before gangs passes over. */
  gangsOnly?: true;
}[] = [
  {
    key: `mb/live/job/${JOB}`,
    good: JOB_RECORD,
    bad: [
      without(JOB_RECORD, 'at'),
      ...Object.keys(SPEC).map((field) => ({ ...JOB_RECORD, spec: without(SPEC, field) })),
      { ...JOB_RECORD, spec: { ...SPEC, id: 'another' } },
      { ...JOB_RECORD, spec: { ...SPEC, priority: 'urgent' } },
      { ...JOB_RECORD, spec: { ...SPEC, cpus: '1' } },
    ],
    badKeys: [`mb/job/${JOB}`],
  },
  {
    key: `mb/final/${JOB}`,
    good: { state: 'done', tasks: 1 },
    bad: [{ state: 'over', tasks: 1 }, { state: 'done' }],
    badKeys: [`mb/final/${JOB}/1`],
  },
  {
    key: `mb/live/chunk/p/${JOB}/1`,
    good: CHUNK,
    bad: [
      ...Object.keys(CHUNK).map((field) => without(CHUNK, field)),
      { ...CHUNK, ids: [0, 1, 2, 3] },
      { ...CHUNK, ids: '0..3' },
      { ...CHUNK, ids: '0-3,2' },
      { ...CHUNK, done: '4' },
      { ...CHUNK, done: '0' },
      { ...CHUNK, live: { '4': ['m-1', 7] } },
      { ...CHUNK, live: { '0': ['m-1', 2 ** 60] } },
      { ...CHUNK, live: { '0': { machine: 'm-1', attempt: 7 } } },
    ],
    badKeys: [`mb/live/chunk/p/${JOB}/1/1`, `mb/live/chunk/p/${JOB}/1-1`],
  },
  {
    key: 'mb/live/machine/m-1',
    good: MACHINE,
    bad: [
      ...Object.keys(MACHINE).map((field) => without(MACHINE, field)),
      { ...MACHINE, state: 'closing' },
    ],
    badKeys: ['mb/live/machine/m-1/a'],
  },
  {
    key: 'mb/live/status/p/0',
    good: { machines: { 'm-1': ['small', 'a', 0, 'ok'] } },
    bad: [
      {},
      { machines: [] },
      { machines: { 'm-1': ['small', 'a', false, 'ok'] } },
      { machines: { 'm-1': ['small', 'a', 0, 'tired'] } },
    ],
    badKeys: ['mb/live/status/p/first', 'mb/live/status/p'],
  },
  {
    key: 'mb/live/role/leader',
    good: ROLE,
    bad: Object.keys(ROLE).map((field) => without(ROLE, field)),
    badKeys: ['mb/live/role/part/n0'],
  },
  {
    key: 'mb/live/node/n0',
    good: { incarnation: 'n0-1' },
    bad: [{ incarnation: 1 }],
    badKeys: ['mb/live/node/n0/1'],
  },
  {
    key: 'mb/live/arm/p/small',
    good: ARM,
    bad: [
      ...Object.keys(ARM).map((field) => without(ARM, field)),
      { ...ARM, a: ARM.a.slice(1) },
      { ...ARM, a: [...ARM.a, [23, 0, 1]] },
      { ...ARM, b: [[23, 1]] },
      { ...ARM, classes: Array.from({ length: 21 }, (_, at) => `class-${at}`) },
    ],
    badKeys: ['mb/live/arm/p/small+1', 'mb/live/arms/p/small'],
  },
  {
    key: 'mb/live/catalog',
    good: TYPES,
    bad: [[], ...Object.keys(TYPES[0] ?? {}).map((field) => [without(TYPES[0] ?? {}, field)])],
  },
];

const GANG_CHUNK = { ...CHUNK, attempt: 7, stopping: true };
const MORE = { ...{ classes: [], types: [], a: [], b: [] }, stamp: 5 };
const FURTHER = { ...MORE, moreClasses: [], moreA: [], moreB: [] };
BROKEN.push(
  {
    key: `mb/live/job/${JOB}`,
    gangsOnly: true,
    good: { ...JOB_RECORD, spec: { ...SPEC, kind: 'gang' } },
    bad: [{ ...JOB_RECORD, spec: { ...SPEC, kind: 'group' } }],
  },
  {
    key: `mb/live/chunk/p/${JOB}/1.1`,
    gangsOnly: true,
    good: GANG_CHUNK,
    bad: [
      { ...GANG_CHUNK, attempt: '7', live: {} },
      { ...GANG_CHUNK, attempt: 8 },
      { ...GANG_CHUNK, stopping: 1 },
    ],
  },
  {
    key: 'mb/live/arm/p/small',
    gangsOnly: true,
    good: { ...ARM, stamp: 5, further: 1 },
    bad: [
      { ...ARM, stamp: 5 },
      { ...ARM, further: 1 },
    ],
  },
  {
    key: 'mb/live/arm/p/small+1',
    gangsOnly: true,
    good: FURTHER,
    bad: [
      ...['stamp', 'moreClasses', 'moreA', 'moreB'].map((field) => without(FURTHER, field)),
      { ...FURTHER, types: ['small'] },
    ],
  },
  {
    key: 'mb/live/catalog/1',
    gangsOnly: true,
    good: TYPES,
    bad: [[]],
    badKeys: ['mb/live/catalog/1/1'],
  },
);

// Rows below prove nothing where this fails: their checks would take anything.
test('what older versions could not read is told apart', () => {
  for (const { commit, objections } of OLDER) {
    for (const { key, good, bad, badKeys = [], gangsOnly } of BROKEN) {
      if (gangsOnly && commit !== 'df7a3ba') continue;
      assert.deepEqual(objections(key, good), [], `${commit} ${key}`);
      for (const one of bad)
        assert.notDeepEqual(objections(key, one), [], `${commit} ${key} ${JSON.stringify(one)}`);
      for (const one of badKeys) assert.notDeepEqual(objections(one, good), [], `${commit} ${one}`);
    }
  }
});

// --- What this version writes ------------------------------------------------------------------

interface WriteRow {
  name: string;
  /** Kinds of keys that must be among what is written. */
  kinds: string[];
  /** The log of what this version wrote. */
  write: () => Promise<Written>;
}

async function cancelled(world: World, id: string): Promise<void> {
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
    name: 'nodes with ordinary jobs, gangs, cancellations, and machines that come and go',
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
      await cancelled(world, 'j-000003');
      await world.run(100);
      const values = world.state.log.map((one) => one.value as Records | undefined);
      assert.ok(values.some((value) => value?.state === 'done'));
      assert.ok(values.some((value) => value?.state === 'cancelled'));
      assert.ok(values.some((value) => typeof value?.attempt === 'number'));
      assert.ok(values.some((value) => value?.state === 'drain' || value?.state === 'gone'));
      return world.state.log;
    },
  },
  {
    name: 'a share of a gang that ends with the others',
    kinds: ['mb/live/chunk'],
    write: async () => {
      const share = { ...CHUNK, done: '', attempt: 7 };
      const world = await lone({
        spec: { kind: 'gang', tasks: 4 },
        held: [
          { key: `mb/live/chunk/p/${JOB}/1`, value: { ...share, ids: '0-1', live: {} } },
          { key: `mb/live/chunk/q/${JOB}/2`, value: { ...share, ids: '2-3', live: {} } },
        ],
      });
      const from = world.state.log.length;
      world.report();
      await world.round();
      const value = { ...share, ids: '2-3', live: {}, stopping: true };
      world.state.change([{ key: `mb/live/chunk/q/${JOB}/2`, value }]);
      await world.round();
      const written = world.state.log.slice(from);
      const own = written.filter(({ key }) => key.startsWith('mb/live/chunk/p/'));
      const values = own.map((one) => one.value as Records | undefined);
      assert.ok(values.some((one) => one?.stopping === true));
      for (const one of values) assert.ok(one === undefined || one.attempt === 7);
      return written;
    },
  },
  {
    name: 'arms that one value has no room for',
    kinds: ['mb/live/arm', 'mb/live/arm+N'],
    write: async () => {
      const overrides = {
        valueBytes: 1024,
        placement: { alpha: 2, penalty: 2, snapshotS: 5 },
      };
      const world = new World(4, [['n0', 'a']], overrides);
      world.state.valueBytes = overrides.valueBytes;
      await world.run(20);
      for (let at = 0; at < 18; at++)
        void world.submit(`j-00000${at}`, { tasks: 1 }, 'n0', { lane: `class-of-work-${at}` });
      await world.run(200);
      const arms = [...world.state.cells].filter(([key]) => key.startsWith('mb/live/arm/'));
      const main = arms.find(([key]) => key === 'mb/live/arm/n0/small')?.[1].value as Records;
      // df7a3ba asks for as many as the main record says, and takes those of its stamp.
      assert.ok(typeof main.further === 'number' && main.further > 0);
      for (let at = 1; at <= main.further; at++) {
        const more = arms.find(([key]) => key === `mb/live/arm/n0/small+${at}`)?.[1].value;
        assert.equal((more as Records).stamp, main.stamp);
      }
      assert.deepEqual(world.state.invalid, []);
      return world.state.log;
    },
  },
  {
    name: 'a status that one value has no room for',
    kinds: ['mb/live/status'],
    write: async () => {
      const machines = Object.fromEntries(
        Array.from({ length: 90 }, (_, at) => [`m-${1000 + at}`, ['small', 'a', 0, 'ok']]),
      );
      const held = [{ key: 'mb/live/status/p/0', value: { machines } }];
      const world = await lone({ valueBytes: 1024, held });
      const from = world.state.log.length;
      world.report();
      await world.round(20_000);
      // 89f79d3 counts the shards that there are, and empties those past its own: no gaps.
      const shards = [...world.state.cells.keys()]
        .filter((key) => key.startsWith('mb/live/status/p/'))
        .map((key) => Number(key.slice('mb/live/status/p/'.length)));
      assert.deepEqual(
        shards.sort((a, b) => a - b),
        shards.map((_, at) => at),
      );
      assert.ok(shards.length > 2);
      return world.state.log.slice(from);
    },
  },
  {
    name: 'a catalogue that one value has no room for',
    kinds: ['mb/live/catalog', 'mb/live/catalog/N'],
    write: async () => {
      const clock = new SimClock();
      const state = new SimState(clock);
      const replica = new StoreReplica({
        api: state.api('p'),
        limiter: new RateLimiter(clock, { rps: 100, writeRps: 100, txnOps: 8 }),
        clock,
        log: silent,
        random: () => 0.5,
      });
      void replica.follow();
      await clock.run(500);
      const types = Array.from({ length: 30 }, (_, at) => ({
        ...(TYPES[0] as (typeof TYPES)[number]),
        name: `type-${at}`,
      }));
      const changes = writeCatalog(replica, types, 1024);
      // The one that 89f79d3 reads comes last: until then it goes on with the one before.
      assert.equal(changes.at(-1)?.key, 'mb/live/catalog');
      state.change(changes);
      return state.log;
    },
  },
];

test('older versions read every record that this version writes', async (t) => {
  for (const { name, kinds, write } of WRITES) {
    await t.test(name, async () => {
      const log = await write();
      assertTaken(log);
      const written = new Set(log.filter((one) => !one.removed).map((one) => kindOf(one.key)));
      for (const kind of kinds)
        assert.ok(written.has(kind), `${kind} among ${[...written].join(' ')}`);
    });
  }
});

// --- Chunks that go to and fro ---------------------------------------------------------------

const ATTEMPT = 900_000_000_000_000;
const MACHINES = ['m-1', 'm-2', 'm-3', 'm-4', 'm-5'];
const LIMIT = 2048;
const CHUNKS = 'mb/live/chunk/p/';

type Lone = Awaited<ReturnType<typeof lone>>;
type Stored = ReturnType<typeof writtenByProduction>;

interface Crossing {
  name: string;
  tasks: number;
  txnOps: number;
  /** Writes a second that the state service takes; null: any. */
  writeRps: number | null;
  gang: boolean;
  /** Its pieces fit into one transaction before many of its tasks have ended. */
  atOnce: boolean;
}

/** Machine and attempt of each task, as all owners must have it. */
type Placements = Map<number, [machine: string, attempt: number]>;

const chunksOf = (state: SimState): [string, Stored][] =>
  [...state.cells]
    .filter(([key]) => key.startsWith(CHUNKS))
    .map(([key, { value }]) => [key, value as Stored]);

/** After each transaction each task is in one chunk, neither lost nor doubled. */
function assertWhole(log: Written, before: Map<string, unknown>, tasks: number): void {
  const held = new Map(before);
  const revisions = [...new Set(log.map((one) => one.revision))];
  for (const revision of revisions) {
    for (const { key, value, removed } of log.filter((one) => one.revision === revision)) {
      if (!key.startsWith(CHUNKS)) continue;
      if (removed) held.delete(key);
      else held.set(key, value);
    }
    const ids = [...held.values()].flatMap((value) => rangesAsRead((value as Stored).ids) ?? []);
    const all = Array.from({ length: tasks }, (_, at) => at);
    assert.deepEqual(
      ids.sort((a, b) => a - b),
      all,
      `at ${revision}`,
    );
  }
}

/** This version as the owner of what is stored; `run` must leave every task in one chunk. */
async function owned(
  { tasks, txnOps, writeRps, gang }: Crossing,
  stored: Map<string, unknown>,
  run: (world: Lone) => Promise<void>,
): Promise<Map<string, unknown>> {
  const world = await lone({
    txnOps,
    valueBytes: LIMIT,
    spec: { tasks, cpus: 0.01, memoryGb: 0.01, kind: gang ? 'gang' : 'array' },
    held: [...stored].map(([key, value]) => ({ key, value })),
  });
  if (writeRps !== null) world.state.limits = { rps: 50, writeRps };
  const from = world.state.log.length;
  await run(world);
  const log = world.state.log.slice(from);
  assertWhole(log, stored, tasks);
  assertTaken(log.filter(({ key }) => key.startsWith(CHUNKS)));
  assert.deepEqual(world.state.invalid, []);
  const all = [...world.sent.flatMap(({ commands }) => ops(commands))];
  assert.ok(!all.includes('start'), 'what runs is not started again');
  for (const [key, value] of chunksOf(world.state)) {
    if (!log.some((one) => one.key === key)) continue;
    const bytes = Buffer.byteLength(JSON.stringify(value));
    assert.ok(bytes <= LIMIT, `${key} takes ${bytes}`);
  }
  return new Map(chunksOf(world.state));
}

/** Each machine reports its tasks; of those in `done` it says that they are. */
function reportAll(world: Lone, placements: Placements, done: ReadonlySet<number>): void {
  for (const machine of MACHINES) {
    const tasks: TaskReport[] = [...placements]
      .filter(([, [name]]) => name === machine)
      .map(([index, [, attempt]]) => ({
        task: { job: JOB, index },
        attempt,
        state: done.has(index) ? 'exited' : 'running',
        cause: done.has(index) ? 'done' : null,
      }));
    const commands = world.report({ machine }, tasks);
    assert.ok(!ops(commands).includes('stop'), `${machine}: nothing is stopped`);
    assert.ok(!ops(commands).includes('start'), `${machine}: nothing is started`);
  }
}

const doneIn = (stored: Map<string, unknown>): number[] =>
  [...stored.values()]
    .flatMap((value) => rangesAsRead((value as Stored).done) ?? [])
    .sort((a, b) => a - b);

const upTo = (count: number): Set<number> => new Set(Array.from({ length: count }, (_, at) => at));

async function cross(row: Crossing): Promise<void> {
  const { tasks, gang } = row;
  const placements: Placements = new Map();
  for (let at = 0; at < tasks; at++)
    placements.set(at, [MACHINES[at % 5] ?? '', ATTEMPT + (gang ? 0 : at)]);
  const live = Object.fromEntries(placements);
  const first = { ...CHUNK, ids: `0-${tasks - 1}`, done: '', live, later: [1] };
  const record = { ...first, cpus: 0.01, memoryGb: 0.01, ...(gang ? { attempt: ATTEMPT } : {}) };
  assert.ok(Buffer.byteLength(JSON.stringify(record)) > LIMIT);
  let stored = new Map<string, unknown>([[`${CHUNKS}${JOB}/1`, record]]);

  // This version takes it over, and takes it apart as soon as something of it changes. What ends
  // later is written in the pieces.
  stored = await owned(row, stored, async (world) => {
    for (const ends of [0, 6, 9]) {
      reportAll(world, placements, upTo(ends));
      await world.round(8000);
    }
  });
  assert.ok(row.atOnce ? stored.size > 1 : stored.size === 1, `${stored.size} chunks`);
  assert.deepEqual(doneIn(stored), row.atOnce ? [...upTo(9)] : []);

  // The owner goes back to the version in production: tasks end there, and one is placed anew.
  const again = tasks - 1;
  if (!gang) placements.set(again, ['m-1', ATTEMPT + 2 * tasks]);
  const placed = gang ? {} : { [again]: placements.get(again) ?? ['', 0] };
  const done = [...upTo(60)];
  for (const [key, value] of stored) {
    const written = writtenByProduction(value, { done, placed });
    for (const { objections } of OLDER) assert.deepEqual(objections(key, written), [], key);
    stored.set(key, written);
  }

  // And to this version again, which reads what that one left, and carries it to its end.
  stored = await owned(row, stored, async (world) => {
    reportAll(world, placements, upTo(64));
    await world.round(4000);
    assert.ok(chunksOf(world.state).length > 1);
    assert.deepEqual(doneIn(new Map(chunksOf(world.state))), [...upTo(64)]);
    for (const [key, value] of chunksOf(world.state)) {
      assert.deepEqual(value.later, [1], `${key}: what a later version added`);
      assert.equal(value.attempt, gang ? ATTEMPT : undefined, `${key}: of a gang`);
      assert.equal(value.stopping, undefined, key);
      for (const [index, one] of Object.entries(value.live))
        assert.deepEqual(one, placements.get(Number(index)), `${key}: ${index}`);
    }
    reportAll(world, placements, upTo(tasks));
    await world.round(8000);
  });
  assert.deepEqual(doneIn(stored), [...upTo(tasks)]);
}

const CROSSINGS: Crossing[] = [
  {
    name: 'more pieces than changes',
    tasks: 146,
    txnOps: 2,
    writeRps: null,
    gang: false,
    atOnce: false,
  },
  {
    name: 'four changes a transaction',
    tasks: 130,
    txnOps: 4,
    writeRps: null,
    gang: false,
    atOnce: true,
  },
  {
    name: 'two changes and two writes a second',
    tasks: 90,
    txnOps: 2,
    writeRps: 2,
    gang: false,
    atOnce: true,
  },
  {
    name: 'a gang in four pieces',
    tasks: 130,
    txnOps: 4,
    writeRps: null,
    gang: true,
    atOnce: true,
  },
];

test('a chunk stored larger than the announced limits crosses versions, and no task is lost', async (t) => {
  for (const row of CROSSINGS) await t.test(row.name, () => cross(row));
});
