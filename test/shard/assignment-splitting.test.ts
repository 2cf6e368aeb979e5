/**
 * Guards against tasks that are lost, listed twice or restarted when an assignment is split into
 * several records. A split is necessary when the previous version has stored a record that is
 * larger than the values that the key-value store accepts now.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { TaskStatus } from '../../src/protocol/model.js';
import { ASSIGNMENTS, jobKey } from '../../src/storage/keys.js';
import { readRanges, writeRanges } from '../../src/storage/ranges.js';
import type { AssignmentRecord } from '../../src/storage/records.js';
import { JOB, shardFixture, ops } from '../world/shard-fixture.js';
import { SMALL_VALUE_BYTES, storedBytes } from '../world/sizes.js';
import type { SimKeyValueStore } from '../world/key-value-store.js';

const assignmentsOf = (state: SimKeyValueStore): [string, AssignmentRecord][] =>
  [...state.entries]
    .filter(([key]) => key.startsWith(ASSIGNMENTS))
    .map(([key, cell]) => [key, cell.value as AssignmentRecord]);

/**
 * Checks that each task is in exactly one assignment, and that each assignment's `done` and `live`
 * list only tasks of that assignment, none of them in both.
 */
function checkAssignments(state: SimKeyValueStore, tasks: number): void {
  const ids: number[] = [];
  for (const [key, record] of assignmentsOf(state)) {
    const own = readRanges(record.ids);
    ids.push(...own);
    const done = readRanges(record.done);
    for (const id of [...done, ...Object.keys(record.live).map(Number)])
      assert.ok(own.includes(id));
    for (const id of done) assert.ok(!(String(id) in record.live));
    assert.ok(
      Number.isFinite(Number(key.split('/').at(-1))),
      'the previous version reads a number at the end of the key',
    );
  }
  assert.deepEqual(
    ids.sort((a, b) => a - b),
    Array.from({ length: tasks }, (_, at) => at),
  );
}

/** The task statuses in a machine's heartbeat when the first `done` of all tasks are done. */
const heartbeatsOf = (tasks: number, done: number): TaskStatus[] =>
  Array.from({ length: tasks }, (_, at) => ({
    task: { job: JOB, index: at },
    attempt: 900_000_000_000_000 + at,
    state: at < done ? 'exited' : 'running',
    cause: at < done ? 'done' : null,
  }));

test('an assignment larger than a stored value may be is split, and its tasks continue without a restart', async () => {
  // Operations per transaction, number of tasks, and whether all pieces fit into one transaction
  // once the first task has ended. Otherwise the assignment cannot be written until more tasks have
  // ended.
  for (const [transactionOps, tasks, fitsAtOnce] of [
    [4, 130, true],
    [8, 130, true],
    [2, 100, true],
    [2, 146, false],
  ] as const) {
    const live: AssignmentRecord['live'] = {};
    const heartbeat = (done: number): TaskStatus[] => heartbeatsOf(tasks, done);
    for (let at = 0; at < tasks; at++) live[String(at)] = ['m-1', 900_000_000_000_000 + at];
    const world = await shardFixture({
      transactionOps,
      valueBytes: SMALL_VALUE_BYTES,
      spec: { tasks, cpus: 0.01, memoryGb: 0.01 },
      ids: writeRanges(Object.keys(live).map(Number)),
      live,
    });
    const name = `${transactionOps} ${tasks}`;
    assert.ok(storedBytes(world.stored()) > SMALL_VALUE_BYTES, name);
    assert.deepEqual(ops(world.heartbeat({}, heartbeat(0))), [], name);
    world.heartbeat({}, heartbeat(1));
    await world.reconcile(5000);
    checkAssignments(world.store, tasks);
    assert.equal(assignmentsOf(world.store).length > 1, fitsAtOnce, name);
    for (const [, record] of assignmentsOf(world.store)) {
      if (fitsAtOnce) assert.ok(storedBytes(record) <= SMALL_VALUE_BYTES, name);
    }
    // A task that has ended is forgotten once its end is stored; the machine gets no other command.
    const remainingStatuses = heartbeat(1).slice(fitsAtOnce ? 1 : 0);
    const commandsAfterEnd = ops(world.heartbeat({}, heartbeat(1)));
    assert.deepEqual(commandsAfterEnd, fitsAtOnce ? ['forget'] : [], name);
    world.heartbeat({}, remainingStatuses);
    // The other tasks end, so that ends are written to all pieces.
    for (let end = 10; end < tasks + 10; end += 10) {
      const done = Math.min(end, tasks);
      const commands = world.heartbeat({}, heartbeat(done));
      assert.ok(!ops(commands).some((op) => op !== 'forget'), name);
      await world.reconcile(5000);
      checkAssignments(world.store, tasks);
    }
    const done = assignmentsOf(world.store).flatMap(([, record]) => readRanges(record.done));
    assert.equal(done.length, tasks, name);
    assert.deepEqual(world.store.rejectedTransactions, [], name);
    assert.equal(
      world.sent.flatMap((one) => ops(one.commands)).filter((op) => op === 'start').length,
      0,
    );
  }
});

test('after a split whose outcome was unknown, the shard continues from the stored records', async () => {
  const live: AssignmentRecord['live'] = {};
  for (let at = 0; at < 90; at++) live[String(at)] = ['m-1', 900_000_000_000_000 + at];
  const world = await shardFixture({
    valueBytes: SMALL_VALUE_BYTES,
    spec: { tasks: 90, cpus: 0.01, memoryGb: 0.01 },
    ids: '0-89',
    live,
  });
  const heartbeat = (done: number): TaskStatus[] => heartbeatsOf(90, done);
  world.heartbeat({}, heartbeat(1));
  world.store.delayNextTransactionMs.set('p', 3000);
  await world.reconcile(12_000);
  checkAssignments(world.store, 90);
  assert.ok(assignmentsOf(world.store).length > 1);
  assert.deepEqual(ops(world.heartbeat({}, heartbeat(1))), ['forget']);
  world.heartbeat({}, heartbeat(90).slice(1));
  await world.reconcile(8000);
  checkAssignments(world.store, 90);
  const done = assignmentsOf(world.store).flatMap(([, record]) => readRanges(record.done));
  assert.equal(done.length, 90);
  // The job is cancelled, so that all pieces are removed.
  world.store.change([{ key: jobKey(JOB), remove: true }]);
  await world.clock.run(world.clock.now() + 300);
  world.heartbeat();
  await world.reconcile(3000);
  assert.deepEqual(assignmentsOf(world.store), []);
});
