/**
 * Guards against tasks that run twice, are lost or start on machines where they may not. These
 * follow if commands are sent before their placements are committed, if a task that no heartbeat
 * lists is taken as ended without proof, or if an end is forgotten before it is stored.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { assignmentKey, jobKey, roleKey } from '../../src/storage/keys.js';
import type { JobRecord } from '../../src/storage/records.js';
import type { Command, JobSpec, Heartbeat } from '../../src/protocol/model.js';
import {
  JOB,
  SPEC,
  FENCING_TOKEN,
  ended,
  shardFixture,
  ops,
  heartbeatOf,
  running,
} from '../world/shard-fixture.js';

test('a start is sent only after its placement is committed', async () => {
  const world = await shardFixture();
  world.heartbeat();
  world.store.hasOutage = true;
  await world.reconcile();
  assert.deepEqual(ops(world.heartbeat()), []);
  assert.equal(world.sent.length, 0);
  world.store.endOutage();
  await world.reconcile(3000);
  assert.equal(world.stored()?.live['0']?.[0], 'm-1');
  assert.deepEqual(ops(world.heartbeat()), ['start']);
});

test('a placement made after the role was lost is neither committed nor sent', async () => {
  const world = await shardFixture();
  world.heartbeat();
  world.store.change([{ key: roleKey('part-p'), value: { owner: 'q' } }]);
  await world.reconcile(1000);
  assert.deepEqual(world.stored()?.live, {});
  assert.deepEqual(ops(world.heartbeat()), []);
  assert.equal(world.sent.length, 0);
});

test('a task missing from a heartbeat is proven to have ended only if the heartbeat shows the fencing token of this holder', async () => {
  const world = await shardFixture({ placed: true });
  await world.cancel();
  world.heartbeat({ fencingToken: 3 });
  await world.reconcile();
  assert.ok(world.stored(), 'a former holder may still start it');
  world.heartbeat();
  await world.reconcile();
  assert.equal(world.stored(), undefined);
});

test('a task missing from an older heartbeat does not count as ended', async () => {
  const world = await shardFixture({ placed: true });
  world.heartbeat({ sequence: 9 }, [running(77)]);
  await world.cancel();
  world.heartbeat({ sequence: 8 });
  await world.reconcile();
  assert.ok(world.stored());
  assert.deepEqual(ops(world.heartbeat({ sequence: 10 }, [running(77)])), ['stop']);
});

test('a task whose direct start was not answered counts as ended only after the start is fenced', async () => {
  const world = await shardFixture();
  world.heartbeat();
  await world.reconcile();
  assert.deepEqual(ops(world.sent[0]?.commands ?? []), ['start']);
  world.sent[0]?.fail();
  await world.cancel();
  world.heartbeat();
  await world.reconcile();
  assert.ok(world.stored(), 'it may still arrive at the worker');
  world.heartbeat({ fencingToken: FENCING_TOKEN + 1 });
  await world.reconcile();
  assert.equal(world.stored(), undefined);
});

test('an ended attempt is forgotten only after its end is committed', async () => {
  const world = await shardFixture({ placed: true });
  world.heartbeat({}, [running(77)]);
  world.store.hasOutage = true;
  world.heartbeat({}, [ended(77)]);
  await world.reconcile();
  assert.deepEqual(ops(world.heartbeat({}, [ended(77)])), []);
  world.store.endOutage();
  await world.reconcile(3000);
  assert.equal(world.stored()?.done, '0');
  assert.deepEqual(ops(world.heartbeat({}, [ended(77)])), ['forget']);
});

test('an ended attempt is not forgotten while a direct start of it may still arrive', async () => {
  const world = await shardFixture();
  world.heartbeat();
  await world.reconcile();
  const attempt = world.stored()?.live['0']?.[1] ?? 0;
  world.sent[0]?.fail();
  world.heartbeat({}, [ended(attempt)]);
  await world.reconcile();
  assert.equal(world.stored()?.done, '0');
  assert.deepEqual(ops(world.heartbeat({}, [ended(attempt)])), []);
  assert.deepEqual(ops(world.heartbeat({ fencingToken: FENCING_TOKEN + 1 }, [ended(attempt)])), [
    'forget',
  ]);
});

test('tasks on a machine that sends the new holder no heartbeat are requeued once former leases have expired', async () => {
  const world = await shardFixture({ placed: true });
  await world.clock.run(56_000);
  await world.reconcile();
  assert.deepEqual(world.stored()?.live, { '0': ['m-1', 77] });
  await world.clock.run(61_000);
  await world.reconcile(3000);
  assert.deepEqual(world.stored()?.live, {});
});

test('services on a little-used machine move to another machine that has free capacity and their image', async () => {
  const world = await shardFixture({ placed: true, spec: { kind: 'service' } });
  const job: JobRecord = { spec: { ...SPEC, id: 'j-000002', kind: 'service' }, at: 0 };
  const assignment = { ...world.stored(), ids: '0-2', live: { '0': ['m-2', 7], '1': ['m-2', 8] } };
  world.store.change([
    { key: jobKey('j-000002'), value: job },
    { key: assignmentKey('p', 'j-000002', 2), value: { ...assignment, ids: '0-1' } },
  ]);
  await world.clock.run(world.clock.now() + 300);
  const other = [0, 1].map((index) => ({
    task: { job: 'j-000002', index },
    attempt: 7 + index,
    state: 'running' as const,
    cause: null,
  }));
  const sendHeartbeats = (): Command[] => {
    world.heartbeat({ machine: 'm-2' }, other);
    return world.heartbeat({}, [running(77)]);
  };
  sendHeartbeats();
  await world.clock.run(world.clock.now() + 2000);
  await world.reconcile();
  assert.deepEqual(ops(sendHeartbeats()), [], 'the services have run too short to move');
  await world.clock.run(world.clock.now() + 40_000);
  sendHeartbeats();
  await world.reconcile();
  assert.deepEqual(ops(sendHeartbeats()), ['stop']);
  world.heartbeat({}, [{ ...ended(77), cause: 'stopped' }]);
  await world.reconcile();
  assert.equal(world.stored()?.live['0']?.[0], 'm-2');
});

test('tasks are placed only on machines that their job allows', async () => {
  const cases: [string, Parameters<typeof shardFixture>[0], Partial<Heartbeat>, boolean][] = [
    ['no restriction', {}, {}, true],
    ['a spot machine, which the job does not allow', {}, { spot: true }, false],
    ['a spot machine, which the job allows', { spec: { spot: true } }, { spot: true }, true],
    ['a machine outside the zone of the assignment', { zone: 'b' }, {}, false],
    ['a machine outside the zone of the job', { spec: { zone: 'b' } }, {}, false],
    ['a machine type that the job does not allow', { spec: { types: ['large'] } }, {}, false],
    ['a machine that the cloud has announced to take back', {}, { noticeS: 20 }, false],
  ];
  for (const [name, options, change, placed] of cases) {
    const world = await shardFixture(options);
    world.heartbeat(change);
    await world.reconcile();
    assert.equal(Object.keys(world.stored()?.live ?? {}).length, placed ? 1 : 0, name);
  }
});

// Guards against a fault seen on the grown deployments: the store rejected each write of an
// assignment that was placed on more machines than one transaction may guard, so none of its tasks
// ever started.
test('an assignment on more machines than one transaction can guard is written in several transactions', async () => {
  const world = await shardFixture({ ids: '0-39', spec: { tasks: 40 } });
  world.store.change([{ key: assignmentKey('p', JOB, 1), remove: true }]);
  await world.clock.run(world.clock.now() + 300);
  const record = { ids: '0-39', done: '', live: {}, team: 'red', gpus: 0, memoryGb: 1, zone: 'a' };
  world.store.change([{ key: assignmentKey('p', JOB, 1), value: { ...record, cpus: 4 } }]);
  await world.clock.run(world.clock.now() + 300);
  for (let at = 0; at < 40; at++) world.heartbeat({ machine: `m-${100 + at}` });
  await world.reconcile(3000);
  assert.equal(Object.keys(world.stored()?.live ?? {}).length, 40);
});

// Guards against a fault seen on the grown one-zone site: the first tasks of a job that had waited
// long were the newest on their machines, so urgent work repeatedly preempted them first.
test('urgent work preempts the newest non-urgent task, but not the first tasks of a job that waited long', async () => {
  for (const waited of [false, true]) {
    const world = await shardFixture({
      spec: { tasks: 4 },
      ids: '0-3',
      jobAgeMs: waited ? 200_000 : 0,
    });
    const assignment = { ids: '0', done: '', live: {}, team: 'red', cpus: 1, gpus: 0, memoryGb: 1 };
    world.heartbeat();
    await world.reconcile();
    const live = world.stored()?.live ?? {};
    const tasks = Object.entries(live).map(([index, [, attempt]]) => ({
      ...running(attempt),
      task: { job: JOB, index: Number(index) },
    }));
    assert.equal(tasks.length, 4);
    const spec: JobSpec = { ...SPEC, id: 'j-000002', kind: 'service', priority: 'high' };
    world.store.change([
      { key: jobKey('j-000002'), value: { spec, at: world.clock.wall() } },
      { key: assignmentKey('p', 'j-000002', 2), value: { ...assignment, zone: 'a' } },
    ]);
    await world.clock.run(world.clock.now() + 300);
    world.heartbeat({}, tasks);
    await world.reconcile();
    const stops = ops(world.heartbeat({}, tasks)).filter((op) => op === 'stop');
    assert.equal(stops.length, waited ? 0 : 1);
  }
});

// Guards against a fault seen on the earlier two-zone site: a start that waited until a preempted
// task had ended was sent only with the machine's next heartbeat, which delayed urgent work by half
// a second or more.
test('a start that waits for a preempted task is sent after the answer to the stop that shows its end', async () => {
  const world = await shardFixture({ spec: { tasks: 4 }, ids: '0-3' });
  world.heartbeat();
  await world.reconcile();
  const tasks = Object.entries(world.stored()?.live ?? {}).map(([index, [, attempt]]) => ({
    ...running(attempt),
    task: { job: JOB, index: Number(index) },
  }));
  const heartbeat = heartbeatOf({ sequence: 1000, tasks });
  world.sent.at(-1)?.done(heartbeat);
  const spec: JobSpec = { ...SPEC, id: 'j-000002', kind: 'service', priority: 'high' };
  const assignment = { ids: '0', done: '', live: {}, team: 'red', cpus: 1, gpus: 0, memoryGb: 1 };
  world.store.change([
    { key: jobKey('j-000002'), value: { spec, at: world.clock.wall() } },
    { key: assignmentKey('p', 'j-000002', 2), value: { ...assignment, zone: 'a' } },
  ]);
  await world.clock.run(world.clock.now() + 300);
  await world.reconcile();
  const stops = world.sent.at(-1)?.commands ?? [];
  assert.deepEqual(ops(stops), ['stop']);
  const tasksAfterStop = tasks.map((one) =>
    one.attempt === stops[0]?.attempt
      ? { ...one, state: 'exited' as const, cause: 'stopped' as const }
      : one,
  );
  world.sent.at(-1)?.done({ ...heartbeat, sequence: 1001, tasks: tasksAfterStop });
  await world.reconcile();
  assert.deepEqual(ops(world.sent.at(-1)?.commands ?? []), ['start']);
});

// Guards against tasks that start after the cancellation of their job was confirmed. This happened
// when a shard whose replica did not show the cancellation yet committed placements of the job.
test('a cancelled job is not placed even if its shard has not seen the cancellation', async () => {
  const world = await shardFixture();
  world.heartbeat();
  // The job's record is removed from the store without a change that the replica's watch returns.
  world.store.revision++;
  world.store.entries.delete(jobKey(JOB));
  await world.reconcile();
  assert.deepEqual(world.stored()?.live, {});
  assert.deepEqual(ops(world.heartbeat()), []);
  assert.equal(world.sent.length, 0);
});
