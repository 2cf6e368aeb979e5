/** An upgrade: this version continues from the old one's records, and the old one can read its records. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  CATALOG,
  FINALS,
  LIVE,
  armKey,
  assignmentKey,
  finalKey,
  jobKey,
  machineKey,
  nodeKey,
  roleKey,
  statusKey,
} from '../../src/storage/keys.js';
import type { AssignmentRecord, StatusRecord } from '../../src/storage/records.js';
import type { Settings } from '../../src/protocol/settings.js';
import { SPEC } from '../world/shard-fixture.js';
import type { SimJob } from '../world/jobs.js';
import { TYPES } from '../world/settings.js';
import { World } from '../world/world.js';

/** Returns whether a record has all fields, each of the given type. */
const hasFields = (value: unknown, names: Record<string, string>): boolean =>
  Object.entries(names).every(([name, type]) => {
    const one = (value as Record<string, unknown>)[name];
    return type === 'list' ? Array.isArray(one) : typeof one === type;
  });

const RANGES = /^$|^\d+(-\d+)?(,\d+(-\d+)?)*$/;
const countIds = (ranges: string): number =>
  ranges === ''
    ? 0
    : ranges
        .split(',')
        .map((range) => range.split('-').map(Number))
        .reduce((sum, [from = 0, to = from]) => sum + to - from + 1, 0);

/** Rows of an arm's matrix: 20 classes, one for all others, and for each machine type its load and itself. */
const ARM_SIZE = 21 + 2 * TYPES.length;

/**
 * Conditions on the records of each kind, taken from the code of the version before this one. It
 * validates nothing: without a field that it uses, its sums would be wrong, or it would throw an
 * exception in the middle of a pass.
 */
const OLD_CONDITIONS: Record<string, (name: string[], value: never) => boolean> = {
  job: ([id], value: { spec: object }) =>
    hasFields(value, { spec: 'object', at: 'number' }) &&
    Object.keys(SPEC).every((field) => field in value.spec) &&
    (value.spec as { id: string }).id === id,
  chunk: (name, value: AssignmentRecord) =>
    name.length === 3 &&
    Number.isFinite(Number(name[2])) &&
    hasFields(value, {
      ids: 'string',
      done: 'string',
      live: 'object',
      team: 'string',
      zone: 'string',
    }) &&
    hasFields(value, { cpus: 'number', gpus: 'number', memoryGb: 'number' }) &&
    RANGES.test(value.ids) &&
    RANGES.test(value.done) &&
    Object.values(value.live).every(
      ([machine, attempt]) => typeof machine === 'string' && Number.isSafeInteger(attempt),
    ) &&
    countIds(value.done) + Object.keys(value.live).length <= countIds(value.ids),
  machine: (_, value: object) =>
    hasFields(value, {
      state: 'string',
      type: 'string',
      zone: 'string',
      spot: 'boolean',
      at: 'number',
    }),
  status: (name, value: StatusRecord) =>
    name.length === 2 &&
    Number.isInteger(Number(name[1])) &&
    Object.values(value.machines).every(
      ([type, zone, spot, health]) =>
        typeof type === 'string' &&
        typeof zone === 'string' &&
        (spot === 0 || spot === 1) &&
        ['ok', 'leaving', 'silent', 'faulty'].includes(health),
    ),
  // The old version restores the arm of the type that ends the key, and ignores records of other types.
  arm: ([, type], value: { types: string[]; a: [number, number, number][] }) =>
    hasFields(value, { classes: 'list', types: 'list', a: 'list', b: 'list' }) &&
    (value.types.length === 0 ||
      (TYPES.some((one) => one.name === type) &&
        // The old version inverts A at once, which throws if the diagonal is not complete.
        value.a.filter(([row, column, one]) => row === column && one > 0).length === ARM_SIZE)),
  role: (_, value: object) =>
    hasFields(value, { owner: 'string', incarnation: 'string', term: 'number', movedAt: 'number' }),
  node: (_, value: object) => hasFields(value, { incarnation: 'string' }),
  catalog: (name, value: object[]) =>
    // The old version reads the first record only.
    name.length > 0 ||
    value.every((type) => Object.keys(TYPES[0] ?? {}).every((one) => one in type)),
};

function isReadableByOld(key: string, value: unknown): boolean {
  if (key.startsWith(FINALS)) return hasFields(value, { state: 'string', tasks: 'number' });
  const [kind = '', ...name] = key.slice(LIVE.length).split('/');
  return OLD_CONDITIONS[kind]?.(name, value as never) ?? false;
}

const MACHINES = 80;

const TERM = 3;

/** Returns a world with the records that the old version leaves, and with workers that run their tasks. */
async function worldOfOldVersion(tasks: number, overrides: Partial<Settings>): Promise<World> {
  const world = new World(4, [['n0', 'a']], {
    ...overrides,
    fleet: { idleS: 1e6, headroomCpus: 0, spot: true, maxMachines: 200 },
  });
  world.kill('n0');
  world.capacity = 200;
  const names = Array.from({ length: MACHINES }, () => world.addMachine('small', 'a', false, 0));
  const wall = world.clock.wall();
  const job: SimJob = {
    team: 'red',
    cpus: 0.1,
    tasks,
    runS: 3600,
    service: false,
    spot: false,
    zone: null,
    oneZone: false,
    spread: false,
    cancelledAt: null,
    urgent: false,
    deadlineS: null,
    broken: false,
    gpus: 0,
    gang: false,
    checkpointS: 0,
    saveS: 0,
    types: null,
  };
  world.jobs.set('j-000001', job);
  world.jobs.set('j-000002', { ...job, tasks: 10, runS: 8 });
  const spec = { ...SPEC, cpus: 0.1, memoryGb: 0.1, estimateS: 600 };
  const kind = { team: 'red', cpus: 0.1, gpus: 0, memoryGb: 0.1, zone: 'a' };
  const attempt = (at: number): number => (TERM * 64 + 1) * 2 ** 20 + at;
  const live: AssignmentRecord['live'] = {};
  for (let at = 0; at < tasks; at++) live[String(at)] = [names[at % MACHINES] ?? '', attempt(at)];
  const [last = ''] = names.slice(-1);
  const role = { owner: 'n0', incarnation: 'n0-before', term: TERM, movedAt: 0 };
  world.store.change([
    { key: roleKey('leader'), value: role },
    { key: roleKey('part-n0'), value: role },
    { key: nodeKey('n0'), value: { incarnation: 'n0-before' } },
    { key: CATALOG, value: TYPES },
    { key: jobKey('j-000001'), value: { spec: { ...spec, id: 'j-000001', tasks }, at: wall } },
    { key: jobKey('j-000002'), value: { spec: { ...spec, id: 'j-000002', tasks: 10 }, at: wall } },
    {
      key: assignmentKey('n0', 'j-000001', 3_000_001),
      value: { ids: `0-${tasks - 1}`, done: '', live, ...kind },
    },
    {
      key: assignmentKey('n0', 'j-000002', 3_000_002),
      value: { ids: '0-9', done: '0-4', live: { '5': [last, attempt(tasks)] }, ...kind },
    },
    ...names.map((name) => ({
      key: machineKey(name),
      value: { state: 'rented', type: 'small', zone: 'a', spot: false, at: wall },
    })),
    {
      key: statusKey('n0', 0),
      value: { machines: Object.fromEntries(names.map((name) => [name, ['small', 'a', 0, 'ok']])) },
    },
    {
      key: armKey('n0', 'small'),
      value: {
        classes: ['work'],
        types: ['small'],
        // A starts as the identity matrix, so that its diagonal is complete.
        a: Array.from({ length: ARM_SIZE }, (_, at) => [at, at, at === 0 ? 9 : 1]),
        b: [[0, -0.1]],
      },
    },
  ]);
  for (const [key, { value }] of world.store.entries) assert.ok(isReadableByOld(key, value), key);
  await world.clock.run(2);
  const runTask = (task: string, machine: string, number: number): void => {
    world.workers.get(machine)?.tasks.set(task, { attempt: number, state: 'running', cpus: 0.1 });
  };
  for (const [index, [machine, number]] of Object.entries(live))
    runTask(`j-000001/${index}`, machine, number);
  runTask('j-000002/5', last, attempt(tasks));
  return world;
}

const LOWERED_LIMITS = { valueBytes: 2048, transactionOps: 4 };

test('this version continues from the records of the old one, and writes records that the old one can read', async () => {
  // Live tasks in one assignment, the limits in the settings, and s until the store enforces them.
  const cases: [string, number, Pick<Settings, 'valueBytes' | 'transactionOps'>, number][] = [
    ['limits enforced from the start', 130, LOWERED_LIMITS, 0],
    ['limits enforced after 31 s', 130, LOWERED_LIMITS, 31],
    ['two changes a transaction', 90, { valueBytes: 2048, transactionOps: 2 }, 0],
    ['no lower limits', 130, { valueBytes: 8192, transactionOps: 8 }, Infinity],
  ];
  for (const [name, tasks, limits, enforcedAtS] of cases) {
    const world = await worldOfOldVersion(tasks, limits);
    const from = world.store.log.length;
    const enforceLimits = (): void => {
      world.store.valueBytes = limits.valueBytes;
      world.store.transactionOps = limits.transactionOps;
    };
    if (enforcedAtS === 0) enforceLimits();
    else if (enforcedAtS < Infinity) world.clock.after(enforcedAtS * 1000, enforceLimits);
    world.boot('n0');
    const assertNothingLost = (): void => {
      const assignmentKeys = new Map<string, string>();
      const listedMachines = new Set<string>();
      for (const [key, { value }] of world.store.entries) {
        const [kind, , job] = key.slice(LIVE.length).split('/');
        if (kind === 'status') {
          for (const one of Object.keys((value as StatusRecord).machines)) listedMachines.add(one);
        }
        if (kind !== 'chunk') continue;
        for (const range of (value as AssignmentRecord).ids.split(',')) {
          const [first = 0, end = first] = range.split('-').map(Number);
          for (let id = first; id <= end; id++) {
            assert.equal(
              assignmentKeys.get(`${job}/${id}`),
              undefined,
              `${name}: ${job}/${id} in two assignments`,
            );
            assignmentKeys.set(`${job}/${id}`, key);
          }
        }
      }
      for (let id = 0; id < tasks; id++)
        assert.ok(assignmentKeys.has(`j-000001/${id}`), `${name}: lost ${id}`);
      assert.equal(listedMachines.size, MACHINES, `${name}: machines in the status`);
    };
    const run = async (seconds: number): Promise<void> => {
      for (let at = 0; at < seconds * 4; at++) {
        await world.run(0.25);
        assertNothingLost();
      }
    };
    await run(20);
    void world.submit('j-000003', { team: 'blue', spot: false });
    // One task fails, so that the assignment must be written again; another is done.
    const endTask = (task: string, cause: string): void => {
      for (const worker of world.workers.values()) {
        const one = worker.tasks.get(task);
        if (one) Object.assign(one, { state: 'exited', cause });
      }
    };
    endTask('j-000001/7', 'error');
    endTask('j-000002/5', 'done');
    await run(20);
    endTask('j-000001/40', 'error');
    await run(60);
    assert.deepEqual(world.violations, [], name);
    assert.deepEqual(world.store.rejectedTransactions, [], name);
    assert.equal(world.workers.size, MACHINES, `${name}: no machine is returned`);
    const restarted = world.starts
      .map((one) => one.task)
      .filter((task) => task.startsWith('j-000001/'));
    assert.deepEqual(
      restarted,
      ['j-000001/7', 'j-000001/40'],
      `${name}: only failed tasks start again`,
    );
    const otherStarts = world.starts.filter((one) => !one.task.startsWith('j-000001/'));
    assert.equal(otherStarts.length, 4 + 4, `${name}: waiting and new tasks start once each`);
    for (const id of ['j-000002', 'j-000003']) {
      const final = world.store.entries.get(finalKey(id))?.value as { state?: string } | undefined;
      assert.equal(final?.state, 'done', `${name}: ${id}`);
    }
    for (const role of ['leader', 'part-n0']) {
      const held = world.store.entries.get(roleKey(role))?.value as { term: number };
      assert.equal(held.term, TERM + 1, `${name}: ${role}`);
    }
    const wasSplit = world.store.log.some(({ key }) => /chunk\/.*\.\d+$/.test(key));
    assert.equal(wasSplit, limits.valueBytes < 4096, `${name}: the assignment was split`);
    let armWrites = 0;
    for (const { key, value, removed } of world.store.log.slice(from)) {
      if (removed) continue;
      if (key.startsWith(armKey('n0', ''))) armWrites++;
      assert.ok(isReadableByOld(key, value), `${name}: ${key} ${JSON.stringify(value)}`);
      const bytes = Buffer.byteLength(JSON.stringify(value));
      assert.ok(bytes <= limits.valueBytes, `${name}: ${key} takes ${bytes}`);
    }
    assert.ok(armWrites > 0, `${name}: arms were written`);
    const pages = [...world.store.entries.keys()].filter((key) =>
      key.startsWith(statusKey('n0', 0).slice(0, -1)),
    );
    assert.equal(pages.length, limits.valueBytes > 4096 ? 1 : 2, name);
  }
});
