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

test('a start goes out only once its placement is committed', async () => {
  const world = await shardFixture();
  world.heartbeat();
  world.state.hasOutage = true;
  await world.reconcile();
  assert.deepEqual(ops(world.heartbeat()), []);
  assert.equal(world.sent.length, 0);
  world.state.endOutage();
  await world.reconcile(3000);
  assert.equal(world.stored()?.live['0']?.[0], 'm-1');
  assert.deepEqual(ops(world.heartbeat()), ['start']);
});

test('a placement made after the role was lost is never committed nor sent', async () => {
  const world = await shardFixture();
  world.heartbeat();
  world.state.change([{ key: roleKey('part-p'), value: { owner: 'q' } }]);
  await world.reconcile(1000);
  assert.deepEqual(world.stored()?.live, {});
  assert.deepEqual(ops(world.heartbeat()), []);
  assert.equal(world.sent.length, 0);
});

test('absence proves an end only to the owner whose fencing token the worker has shown', async () => {
  const world = await shardFixture({ placed: true });
  await world.cancel();
  world.heartbeat({ fencingToken: 3 });
  await world.reconcile();
  assert.ok(world.stored(), 'a former holder may still start it');
  world.heartbeat();
  await world.reconcile();
  assert.equal(world.stored(), undefined);
});

test('an older heartbeat proves nothing', async () => {
  const world = await shardFixture({ placed: true });
  world.heartbeat({ sequence: 9 }, [running(77)]);
  await world.cancel();
  world.heartbeat({ sequence: 8 });
  await world.reconcile();
  assert.ok(world.stored());
  assert.deepEqual(ops(world.heartbeat({ sequence: 10 }, [running(77)])), ['stop']);
});

test('a direct start without an answer must be fenced before its absence counts', async () => {
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
  world.state.hasOutage = true;
  world.heartbeat({}, [ended(77)]);
  await world.reconcile();
  assert.deepEqual(ops(world.heartbeat({}, [ended(77)])), []);
  world.state.endOutage();
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

test('tasks on a machine that never sent the new owner a heartbeat wait for the fencing time', async () => {
  const world = await shardFixture({ placed: true });
  await world.clock.run(56_000);
  await world.reconcile();
  assert.deepEqual(world.stored()?.live, { '0': ['m-1', 77] });
  await world.clock.run(61_000);
  await world.reconcile(3000);
  assert.deepEqual(world.stored()?.live, {});
});

test('services of a little-used machine move to another that has capacity and their image', async () => {
  const world = await shardFixture({ placed: true, spec: { kind: 'service' } });
  const job: JobRecord = { spec: { ...SPEC, id: 'j-000002', kind: 'service' }, at: 0 };
  const assignment = { ...world.stored(), ids: '0-2', live: { '0': ['m-2', 7], '1': ['m-2', 8] } };
  world.state.change([
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
  const both = (): Command[] => {
    world.heartbeat({ machine: 'm-2' }, other);
    return world.heartbeat({}, [running(77)]);
  };
  both();
  await world.clock.run(world.clock.now() + 2000);
  await world.reconcile();
  assert.deepEqual(ops(both()), [], 'too young to move');
  await world.clock.run(world.clock.now() + 40_000);
  both();
  await world.reconcile();
  assert.deepEqual(ops(both()), ['stop']);
  world.heartbeat({}, [{ ...ended(77), cause: 'stopped' }]);
  await world.reconcile();
  assert.equal(world.stored()?.live['0']?.[0], 'm-2');
});

test('tasks go only where their job allows', async () => {
  const cases: [string, Parameters<typeof shardFixture>[0], Partial<Heartbeat>, boolean][] = [
    ['anywhere', {}, {}, true],
    ['a spot machine not allowed', {}, { spot: true }, false],
    ['a spot machine allowed', { spec: { spot: true } }, { spot: true }, true],
    ['another zone than the leader settled', { zone: 'b' }, {}, false],
    ['another zone than the job allows', { spec: { zone: 'b' } }, {}, false],
    ['a type that is not allowed', { spec: { types: ['large'] } }, {}, false],
    ['a machine about to be taken', {}, { noticeS: 20 }, false],
  ];
  for (const [name, options, change, placed] of cases) {
    const world = await shardFixture(options);
    world.heartbeat(change);
    await world.reconcile();
    assert.equal(Object.keys(world.stored()?.live ?? {}).length, placed ? 1 : 0, name);
  }
});

// Seen on the grown deployments: an assignment placed on more machines than a transaction may guard was
// refused as malformed, again and again, and none of its tasks ever started.
test('an assignment on more machines than one transaction can guard is written in pieces', async () => {
  const world = await shardFixture({ ids: '0-39', spec: { tasks: 40 } });
  world.state.change([{ key: assignmentKey('p', JOB, 1), remove: true }]);
  await world.clock.run(world.clock.now() + 300);
  const record = { ids: '0-39', done: '', live: {}, team: 'red', gpus: 0, memoryGb: 1, zone: 'a' };
  world.state.change([{ key: assignmentKey('p', JOB, 1), value: { ...record, cpus: 4 } }]);
  await world.clock.run(world.clock.now() + 300);
  for (let at = 0; at < 40; at++) world.heartbeat({ machine: `m-${100 + at}` });
  await world.reconcile(3000);
  assert.equal(Object.keys(world.stored()?.live ?? {}).length, 40);
});

// Seen on the one-zone site grown: the first tasks of a job that had waited long were the newest on
// their machines, so urgent work preempted them first, again and again.
test('urgent work preempts the newest lower-priority work, but not the first tasks of a job that waited', async () => {
  for (const waited of [false, true]) {
    const world = await shardFixture({
      spec: { tasks: 4 },
      ids: '0-3',
      agedMs: waited ? 200_000 : 0,
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
    world.state.change([
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

// Seen on the earlier two-zone site: a start that waited for stopped work to leave its machine was
// sent only with the machine's next heartbeat, which cost urgent work half a second and more.
test('a start that waited for preempted work follows the answer to the stop', async () => {
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
  world.state.change([
    { key: jobKey('j-000002'), value: { spec, at: world.clock.wall() } },
    { key: assignmentKey('p', 'j-000002', 2), value: { ...assignment, zone: 'a' } },
  ]);
  await world.clock.run(world.clock.now() + 300);
  await world.reconcile();
  const stops = world.sent.at(-1)?.commands ?? [];
  assert.deepEqual(ops(stops), ['stop']);
  const left = tasks.map((one) =>
    one.attempt === stops[0]?.attempt
      ? { ...one, state: 'exited' as const, cause: 'stopped' as const }
      : one,
  );
  world.sent.at(-1)?.done({ ...heartbeat, sequence: 1001, tasks: left });
  await world.reconcile();
  assert.deepEqual(ops(world.sent.at(-1)?.commands ?? []), ['start']);
});

// A placement may be committed only while its job is there: a shard that has not heard yet of a
// cancellation started tasks after it had been confirmed.
test('a cancelled job is not placed, though its shard has not seen the cancellation', async () => {
  const world = await shardFixture();
  world.heartbeat();
  // Gone from the store, and no watch tells of it.
  world.state.revision++;
  world.state.entries.delete(jobKey(JOB));
  await world.reconcile();
  assert.deepEqual(world.stored()?.live, {});
  assert.deepEqual(ops(world.heartbeat()), []);
  assert.equal(world.sent.length, 0);
});
