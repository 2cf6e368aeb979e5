/** Assignments that go to and fro between this version and the one in production. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { TaskStatus } from '../../src/protocol/model.js';
import { JOB, shardFixture, ops, type ShardFixture } from '../world/shard-fixture.js';
import { rangesAsRead } from '../world/older-checks.js';
import { writtenByProduction } from '../world/production-chunks.js';
import { OLDER } from '../world/older-versions.js';
import type { SimKeyValueStore } from '../world/key-value-store.js';
import {
  ASSIGNMENT,
  assertReadableByOlderVersions,
  type WriteLog,
} from '../world/readable-by-older-versions.js';

const ATTEMPT = 900_000_000_000_000;
const MACHINES = ['m-1', 'm-2', 'm-3', 'm-4', 'm-5'];
const LIMIT = 2048;
const ASSIGNMENTS = 'mb/live/chunk/p/';

type Stored = ReturnType<typeof writtenByProduction>;

interface Crossing {
  name: string;
  tasks: number;
  transactionOps: number;
  /** Writes a second that the key-value store takes; null: any. */
  writeRps: number | null;
  gang: boolean;
  /** Its pieces fit into one transaction before many of its tasks have ended. */
  atOnce: boolean;
}

/** Machine and attempt of each task, as all owners must have it. */
type Placements = Map<number, [machine: string, attempt: number]>;

const assignmentsOf = (state: SimKeyValueStore): [string, Stored][] =>
  [...state.entries]
    .filter(([key]) => key.startsWith(ASSIGNMENTS))
    .map(([key, { value }]) => [key, value as Stored]);

/** After each transaction each task is in one assignment, neither lost nor doubled. */
function assertWhole(log: WriteLog, before: Map<string, unknown>, tasks: number): void {
  const held = new Map(before);
  const revisions = [...new Set(log.map((one) => one.revision))];
  for (const revision of revisions) {
    for (const { key, value, removed } of log.filter((one) => one.revision === revision)) {
      if (!key.startsWith(ASSIGNMENTS)) continue;
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

/** This version as the owner of what is stored; `run` must leave every task in one assignment. */
async function ownedByThisVersion(
  { tasks, transactionOps, writeRps, gang }: Crossing,
  stored: Map<string, unknown>,
  run: (world: ShardFixture) => Promise<void>,
): Promise<Map<string, unknown>> {
  const world = await shardFixture({
    transactionOps,
    valueBytes: LIMIT,
    spec: { tasks, cpus: 0.01, memoryGb: 0.01, kind: gang ? 'gang' : 'array' },
    held: [...stored].map(([key, value]) => ({ key, value })),
  });
  if (writeRps !== null) world.state.limits = { rps: 50, writeRps };
  const from = world.state.log.length;
  await run(world);
  const log = world.state.log.slice(from);
  assertWhole(log, stored, tasks);
  assertReadableByOlderVersions(log.filter(({ key }) => key.startsWith(ASSIGNMENTS)));
  assert.deepEqual(world.state.rejectedTransactions, []);
  const all = [...world.sent.flatMap(({ commands }) => ops(commands))];
  assert.ok(!all.includes('start'), 'what runs is not started again');
  for (const [key, value] of assignmentsOf(world.state)) {
    if (!log.some((one) => one.key === key)) continue;
    const bytes = Buffer.byteLength(JSON.stringify(value));
    assert.ok(bytes <= LIMIT, `${key} takes ${bytes}`);
  }
  return new Map(assignmentsOf(world.state));
}

/** Each machine sends a heartbeat of its tasks; those in `done` are reported as done. */
function reportAll(world: ShardFixture, placements: Placements, done: ReadonlySet<number>): void {
  for (const machine of MACHINES) {
    const tasks: TaskStatus[] = [...placements]
      .filter(([, [name]]) => name === machine)
      .map(([index, [, attempt]]) => ({
        task: { job: JOB, index },
        attempt,
        state: done.has(index) ? 'exited' : 'running',
        cause: done.has(index) ? 'done' : null,
      }));
    const commands = world.heartbeat({ machine }, tasks);
    assert.ok(!ops(commands).includes('stop'), `${machine}: nothing is stopped`);
    assert.ok(!ops(commands).includes('start'), `${machine}: nothing is started`);
  }
}

const doneIn = (stored: Map<string, unknown>): number[] =>
  [...stored.values()]
    .flatMap((value) => rangesAsRead((value as Stored).done) ?? [])
    .sort((a, b) => a - b);

const upTo = (count: number): Set<number> => new Set(Array.from({ length: count }, (_, at) => at));

async function playCrossing(row: Crossing): Promise<void> {
  const { tasks, gang } = row;
  const placements: Placements = new Map();
  for (let at = 0; at < tasks; at++)
    placements.set(at, [MACHINES[at % 5] ?? '', ATTEMPT + (gang ? 0 : at)]);
  const live = Object.fromEntries(placements);
  const first = { ...ASSIGNMENT, ids: `0-${tasks - 1}`, done: '', live, later: [1] };
  const record = { ...first, cpus: 0.01, memoryGb: 0.01, ...(gang ? { attempt: ATTEMPT } : {}) };
  assert.ok(Buffer.byteLength(JSON.stringify(record)) > LIMIT);
  let stored = new Map<string, unknown>([[`${ASSIGNMENTS}${JOB}/1`, record]]);

  // This version takes it over, and takes it apart as soon as something of it changes. What ends
  // later is written in the pieces.
  stored = await ownedByThisVersion(row, stored, async (world) => {
    for (const ends of [0, 6, 9]) {
      reportAll(world, placements, upTo(ends));
      await world.reconcile(8000);
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
  stored = await ownedByThisVersion(row, stored, async (world) => {
    reportAll(world, placements, upTo(64));
    await world.reconcile(4000);
    assert.ok(assignmentsOf(world.state).length > 1);
    assert.deepEqual(doneIn(new Map(assignmentsOf(world.state))), [...upTo(64)]);
    for (const [key, value] of assignmentsOf(world.state)) {
      assert.deepEqual(value.later, [1], `${key}: what a later version added`);
      assert.equal(value.attempt, gang ? ATTEMPT : undefined, `${key}: of a gang`);
      assert.equal(value.stopping, undefined, key);
      for (const [index, one] of Object.entries(value.live))
        assert.deepEqual(one, placements.get(Number(index)), `${key}: ${index}`);
    }
    reportAll(world, placements, upTo(tasks));
    await world.reconcile(8000);
  });
  assert.deepEqual(doneIn(stored), [...upTo(tasks)]);
}

const CROSSINGS: Crossing[] = [
  {
    name: 'more pieces than changes',
    tasks: 146,
    transactionOps: 2,
    writeRps: null,
    gang: false,
    atOnce: false,
  },
  {
    name: 'four changes a transaction',
    tasks: 130,
    transactionOps: 4,
    writeRps: null,
    gang: false,
    atOnce: true,
  },
  {
    name: 'two changes and two writes a second',
    tasks: 90,
    transactionOps: 2,
    writeRps: 2,
    gang: false,
    atOnce: true,
  },
  {
    name: 'a gang in four pieces',
    tasks: 130,
    transactionOps: 4,
    writeRps: null,
    gang: true,
    atOnce: true,
  },
];

test('an assignment stored larger than the announced limits crosses versions, and no task is lost', async (t) => {
  for (const row of CROSSINGS) await t.test(row.name, () => playCrossing(row));
});
