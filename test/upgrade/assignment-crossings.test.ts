/**
 * Assignments whose shard moves between this version and the one in production, and back: no task
 * may be lost, held twice or started again.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { TaskStatus } from '../../src/protocol/model.js';
import { JOB, shardFixture, ops, type ShardFixture } from '../world/shard-fixture.js';
import { rangesAsRead } from '../world/older-checks.js';
import { rewrittenByProduction } from '../world/production-chunks.js';
import { OLDER_VERSIONS } from '../world/older-versions.js';
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

type Stored = ReturnType<typeof rewrittenByProduction>;

/** An assignment that moves between the versions, and the limits of the key-value store. */
interface Crossing {
  name: string;
  tasks: number;
  transactionOps: number;
  /** Writes a second that the key-value store accepts; null: without limit. */
  writeRps: number | null;
  gang: boolean;
  /** The pieces of the assignment fit into one transaction before many of its tasks have ended. */
  isSplitAtOnce: boolean;
}

/** Machine and attempt of each task, which every holder of the shard must keep. */
type Placements = Map<number, [machine: string, attempt: number]>;

const assignmentsOf = (state: SimKeyValueStore): [string, Stored][] =>
  [...state.entries]
    .filter(([key]) => key.startsWith(ASSIGNMENTS))
    .map(([key, { value }]) => [key, value as Stored]);

/** Asserts that after each transaction each task is in exactly one assignment. */
function assertEachTaskOnce(log: WriteLog, before: Map<string, unknown>, tasks: number): void {
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

/**
 * Runs this version as the holder of the stored assignments, and returns the assignments that it leaves.
 * Each of its transactions must leave every task in exactly one assignment.
 */
async function heldByThisVersion(
  { tasks, transactionOps, writeRps, gang }: Crossing,
  stored: Map<string, unknown>,
  run: (world: ShardFixture) => Promise<void>,
): Promise<Map<string, unknown>> {
  const world = await shardFixture({
    transactionOps,
    valueBytes: LIMIT,
    spec: { tasks, cpus: 0.01, memoryGb: 0.01, kind: gang ? 'gang' : 'array' },
    records: [...stored].map(([key, value]) => ({ key, value })),
  });
  if (writeRps !== null) world.store.limits = { rps: 50, writeRps };
  const from = world.store.log.length;
  await run(world);
  const log = world.store.log.slice(from);
  assertEachTaskOnce(log, stored, tasks);
  assertReadableByOlderVersions(log.filter(({ key }) => key.startsWith(ASSIGNMENTS)));
  assert.deepEqual(world.store.rejectedTransactions, []);
  const sentOps = [...world.sent.flatMap(({ commands }) => ops(commands))];
  assert.ok(!sentOps.includes('start'), 'no running task is started again');
  for (const [key, value] of assignmentsOf(world.store)) {
    if (!log.some((one) => one.key === key)) continue;
    const bytes = Buffer.byteLength(JSON.stringify(value));
    assert.ok(bytes <= LIMIT, `${key} takes ${bytes}`);
  }
  return new Map(assignmentsOf(world.store));
}

/** Sends a heartbeat of each machine with its tasks; those in `done` are reported as done. */
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
    assert.ok(!ops(commands).includes('stop'), `${machine}: no task is stopped`);
    assert.ok(!ops(commands).includes('start'), `${machine}: no task is started`);
  }
}

const doneIn = (stored: Map<string, unknown>): number[] =>
  [...stored.values()]
    .flatMap((value) => rangesAsRead((value as Stored).done) ?? [])
    .sort((a, b) => a - b);

const indexesBelow = (count: number): Set<number> =>
  new Set(Array.from({ length: count }, (_, at) => at));

/** Moves an assignment to this version, to the one in production, and back to this one. */
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

  // This version holds the assignment first. It splits the assignment as soon as one of its tasks
  // ends, and writes the tasks that end later to the pieces.
  stored = await heldByThisVersion(row, stored, async (world) => {
    for (const doneCount of [0, 6, 9]) {
      reportAll(world, placements, indexesBelow(doneCount));
      await world.reconcile(8000);
    }
  });
  assert.ok(row.isSplitAtOnce ? stored.size > 1 : stored.size === 1, `${stored.size} chunks`);
  assert.deepEqual(doneIn(stored), row.isSplitAtOnce ? [...indexesBelow(9)] : []);

  // The shard moves back to the version in production: tasks end there, and one is placed again.
  const movedTask = tasks - 1;
  if (!gang) placements.set(movedTask, ['m-1', ATTEMPT + 2 * tasks]);
  const placed = gang ? {} : { [movedTask]: placements.get(movedTask) ?? ['', 0] };
  const done = [...indexesBelow(60)];
  for (const [key, value] of stored) {
    const written = rewrittenByProduction(value, { done, placed });
    for (const { objections } of OLDER_VERSIONS)
      assert.deepEqual(objections(key, written), [], key);
    stored.set(key, written);
  }

  // The shard moves to this version again, which reads those records and runs the job to its end.
  stored = await heldByThisVersion(row, stored, async (world) => {
    reportAll(world, placements, indexesBelow(64));
    await world.reconcile(4000);
    assert.ok(assignmentsOf(world.store).length > 1);
    assert.deepEqual(doneIn(new Map(assignmentsOf(world.store))), [...indexesBelow(64)]);
    for (const [key, value] of assignmentsOf(world.store)) {
      assert.deepEqual(value.later, [1], `${key}: field of a later version`);
      assert.equal(value.attempt, gang ? ATTEMPT : undefined, `${key}: attempt of a gang`);
      assert.equal(value.stopping, undefined, key);
      for (const [index, one] of Object.entries(value.live))
        assert.deepEqual(one, placements.get(Number(index)), `${key}: ${index}`);
    }
    reportAll(world, placements, indexesBelow(tasks));
    await world.reconcile(8000);
  });
  assert.deepEqual(doneIn(stored), [...indexesBelow(tasks)]);
}

const CROSSINGS: Crossing[] = [
  {
    name: 'more pieces than changes in a transaction',
    tasks: 146,
    transactionOps: 2,
    writeRps: null,
    gang: false,
    isSplitAtOnce: false,
  },
  {
    name: 'four changes a transaction',
    tasks: 130,
    transactionOps: 4,
    writeRps: null,
    gang: false,
    isSplitAtOnce: true,
  },
  {
    name: 'two changes and two writes a second',
    tasks: 90,
    transactionOps: 2,
    writeRps: 2,
    gang: false,
    isSplitAtOnce: true,
  },
  {
    name: 'a gang in four pieces',
    tasks: 130,
    transactionOps: 4,
    writeRps: null,
    gang: true,
    isSplitAtOnce: true,
  },
];

test('an assignment above the limits moves between versions without losing a task', async (t) => {
  for (const row of CROSSINGS) await t.test(row.name, () => playCrossing(row));
});
