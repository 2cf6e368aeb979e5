/**
 * Guards against a task that runs on two machines: its start was in an answer to a heartbeat that was
 * still on its way, the machine answered a direct call without listing the task, and the shard took
 * that for proof that the task was not there and placed it elsewhere.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Heartbeat } from '../../src/protocol/model.js';
import { assignmentKey, jobKey, machineKey } from '../../src/storage/keys.js';
import type { AssignmentRecord, MachineRecord } from '../../src/storage/records.js';
import {
  FENCING_TOKEN,
  GANG_ATTEMPT,
  heartbeatOf,
  JOB,
  ops,
  PLAIN_ASSIGNMENT,
  running,
  shardFixture,
  SPEC,
  type ShardFixture,
} from '../world/shard-fixture.js';

/** A job with a task on machine m-1; its cancellation causes a direct call to the machine. */
const OTHER_JOB = 'j-000002';
const OTHER_ATTEMPT = 78;
const otherTask = { ...running(OTHER_ATTEMPT), task: { job: OTHER_JOB, index: 0 } };
/** The token that m-1 shows after a direct call to it has failed. */
const RAISED_TOKEN = FENCING_TOKEN + 1;

const otherRecords = [
  { key: jobKey(OTHER_JOB), value: { spec: { ...SPEC, id: OTHER_JOB }, at: 0 } },
  {
    key: assignmentKey('p', OTHER_JOB, 2),
    value: { ...PLAIN_ASSIGNMENT, ids: '0', live: { '0': ['m-1', OTHER_ATTEMPT] } },
  },
];

const storedOf = (world: ShardFixture): AssignmentRecord | undefined => world.stored();
const placed = (world: ShardFixture): string | undefined => storedOf(world)?.live['0']?.[0];
const attemptOf = (world: ShardFixture): number => storedOf(world)?.live['0']?.[1] ?? 0;

/** A heartbeat of m-1 in answer to a direct call. */
const directAnswer = (change: Partial<Heartbeat> = {}): Heartbeat =>
  heartbeatOf({ sequence: 50, fencingToken: RAISED_TOKEN, ...change });

/**
 * Returns a shard that has sent the start of JOB in an answer to a heartbeat of m-1 and then a direct
 * call with the stop of OTHER_JOB, which m-1 has not answered yet. m-2 is idle.
 */
async function withStartInAnswer(gang = false): Promise<ShardFixture> {
  const gangRecord = { ...PLAIN_ASSIGNMENT, ids: '0', attempt: GANG_ATTEMPT };
  const records = gang
    ? [...otherRecords, { key: assignmentKey('p', JOB, 1), value: gangRecord }]
    : otherRecords;
  const world = await shardFixture({ records, spec: gang ? { kind: 'gang' } : {} });
  world.heartbeat({}, [otherTask]);
  await world.reconcile();
  assert.equal(placed(world), 'm-1');
  // The start is sent directly first. Once the machine shows the raised token, it is sent again.
  world.sent[0]?.fail();
  await world.reconcile();
  world.heartbeat({}, [otherTask]);
  const commands = world.heartbeat({ fencingToken: RAISED_TOKEN }, [otherTask]);
  assert.deepEqual(ops(commands), ['start']);
  world.heartbeat({ machine: 'm-2' });
  world.store.change([{ key: jobKey(OTHER_JOB), remove: true }]);
  await world.clock.run(world.clock.now() + 300);
  await world.reconcile();
  assert.deepEqual(ops(world.sent[1]?.commands ?? []), ['stop']);
  return world;
}

/** Reasons for which a task that is missing on its machine is not started there again. */
const REASONS: {
  name: string;
  gang?: boolean;
  /** Changes of m-1's heartbeats. */
  change?: Partial<Heartbeat>;
  /** The task is placed under another attempt afterwards, not withdrawn. */
  moves: boolean;
  begin?: (world: ShardFixture) => Promise<void> | void;
}[] = [
  { name: 'the cloud takes the machine back', change: { noticeS: 25 }, moves: true },
  {
    name: 'the machine is drained',
    moves: true,
    begin: (world) => setState(world, 'drain'),
  },
  { name: 'its job is cancelled', moves: false, begin: (world) => world.cancel() },
  {
    name: 'its gang failed',
    gang: true,
    change: { noticeS: 25 },
    moves: false,
  },
  {
    name: 'it is preempted',
    moves: true,
    begin: async (world) => {
      const id = 'j-000003';
      const spec = { ...SPEC, id, priority: 'high' as const, cpus: 3, memoryGb: 3 };
      const record = { ...PLAIN_ASSIGNMENT, ids: '0-1', cpus: 3, memoryGb: 3 };
      world.store.change([
        { key: jobKey(id), value: { spec, at: world.clock.wall() } },
        { key: assignmentKey('p', id, 3), value: record },
      ]);
      await world.reconcile();
    },
  },
];

async function setState(world: ShardFixture, state: MachineRecord['state']): Promise<void> {
  const value: MachineRecord = { state, type: 'small', zone: 'a', spot: false, at: 0 };
  world.store.change([{ key: machineKey('m-1'), value }]);
  await world.clock.run(world.clock.now() + 300);
}

for (const { name, gang, change, moves, begin } of REASONS) {
  test(`a task whose start may still arrive stays on its machine if ${name}`, async () => {
    const world = await withStartInAnswer(gang);
    const attempt = attemptOf(world);
    await begin?.(world);
    world.sent[1]?.done(directAnswer(change));
    await world.reconcile(8000);
    assert.equal(attemptOf(world), attempt, 'the answer with the start may still arrive');
    // The worker sends its next heartbeat only after it has received the answer or given it up.
    world.heartbeat({ machine: 'm-2' });
    world.heartbeat({ ...change, sequence: 60, fencingToken: RAISED_TOKEN });
    await world.reconcile(8000);
    assert.notEqual(attemptOf(world), attempt);
    assert.equal(attemptOf(world) > 0, moves);
  });

  test(`a task that did start is stopped before it is placed elsewhere if ${name}`, async () => {
    const world = await withStartInAnswer(gang);
    const attempt = attemptOf(world);
    await begin?.(world);
    world.sent[1]?.done(directAnswer(change));
    await world.reconcile();
    const heartbeat = { ...change, sequence: 60, fencingToken: RAISED_TOKEN };
    world.heartbeat(heartbeat, [running(attempt)]);
    await world.reconcile(8000);
    assert.equal(attemptOf(world), attempt);
  });
}

/** Heartbeats in answer to a direct call after which the worker drops the answer with the start. */
const DROPPED: [name: string, change: Partial<Heartbeat>][] = [
  ['a later worker epoch', { workerEpoch: 2, sequence: 1 }],
  ['a higher fencing token', { fencingToken: RAISED_TOKEN + 1 }],
];

for (const [name, change] of DROPPED) {
  test(`${name} in a direct answer proves that the start does not arrive any more`, async () => {
    const world = await withStartInAnswer();
    world.sent[1]?.done(directAnswer({ noticeS: 25, ...change }));
    world.heartbeat({ machine: 'm-2' });
    await world.reconcile(8000);
    assert.equal(placed(world), 'm-2');
  });
}

test('a duplicate of an older heartbeat does not prove that a start does not arrive any more', async () => {
  const world = await withStartInAnswer();
  world.sent[1]?.done(directAnswer({ noticeS: 25 }));
  await world.reconcile(500);
  world.heartbeat({ sequence: 1, noticeS: 25, fencingToken: RAISED_TOKEN });
  world.heartbeat({ machine: 'm-2' });
  await world.reconcile(8000);
  assert.equal(placed(world), 'm-1');
});

test('a start that was lost with an answer is sent again in the next one', async () => {
  const world = await withStartInAnswer();
  world.sent[1]?.done(directAnswer());
  await world.reconcile();
  assert.equal(world.sent.length, 2, 'no direct call repeats it while it may arrive');
  const commands = world.heartbeat({ sequence: 60, fencingToken: RAISED_TOKEN });
  assert.deepEqual(ops(commands), ['start']);
});
