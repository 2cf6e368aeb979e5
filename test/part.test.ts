import assert from 'node:assert/strict';
import { test } from 'node:test';
import { chunkKey, jobKey, roleKey } from '../src/storage/keys.js';
import type { JobRecord } from '../src/storage/records.js';
import type { Command, JobSpec, WorkerReport } from '../src/protocol/model.js';
import { JOB, SPEC, TOKEN, ended, lonePart, ops, reportOf, running } from './world/lone.js';

test('a start goes out only once its placement is committed', async () => {
  const world = await lonePart();
  world.report();
  world.state.outage = true;
  await world.round();
  assert.deepEqual(ops(world.report()), []);
  assert.equal(world.sent.length, 0);
  world.state.endOutage();
  await world.round(3000);
  assert.equal(world.stored()?.live['0']?.[0], 'm-1');
  assert.deepEqual(ops(world.report()), ['start']);
});

test('a placement made after the role was lost is never committed nor sent', async () => {
  const world = await lonePart();
  world.report();
  world.state.change([{ key: roleKey('part-p'), value: { owner: 'q' } }]);
  await world.round(1000);
  assert.deepEqual(world.stored()?.live, {});
  assert.deepEqual(ops(world.report()), []);
  assert.equal(world.sent.length, 0);
});

test('absence proves an end only to the owner whose token the worker has shown', async () => {
  const world = await lonePart({ placed: true });
  await world.cancel();
  world.report({ token: 3 });
  await world.round();
  assert.ok(world.stored(), 'a former owner may still start it');
  world.report();
  await world.round();
  assert.equal(world.stored(), undefined);
});

test('an older report proves nothing', async () => {
  const world = await lonePart({ placed: true });
  world.report({ seq: 9 }, [running(77)]);
  await world.cancel();
  world.report({ seq: 8 });
  await world.round();
  assert.ok(world.stored());
  assert.deepEqual(ops(world.report({ seq: 10 }, [running(77)])), ['stop']);
});

test('a direct start without an answer must be fenced before its absence counts', async () => {
  const world = await lonePart();
  world.report();
  await world.round();
  assert.deepEqual(ops(world.sent[0]?.commands ?? []), ['start']);
  world.sent[0]?.fail();
  await world.cancel();
  world.report();
  await world.round();
  assert.ok(world.stored(), 'it may still arrive at the worker');
  world.report({ token: TOKEN + 1 });
  await world.round();
  assert.equal(world.stored(), undefined);
});

test('an ended attempt is forgotten only after its end is committed', async () => {
  const world = await lonePart({ placed: true });
  world.report({}, [running(77)]);
  world.state.outage = true;
  world.report({}, [ended(77)]);
  await world.round();
  assert.deepEqual(ops(world.report({}, [ended(77)])), []);
  world.state.endOutage();
  await world.round(3000);
  assert.equal(world.stored()?.done, '0');
  assert.deepEqual(ops(world.report({}, [ended(77)])), ['forget']);
});

test('an ended attempt is not forgotten while a direct start of it may still arrive', async () => {
  const world = await lonePart();
  world.report();
  await world.round();
  const attempt = world.stored()?.live['0']?.[1] ?? 0;
  world.sent[0]?.fail();
  world.report({}, [ended(attempt)]);
  await world.round();
  assert.equal(world.stored()?.done, '0');
  assert.deepEqual(ops(world.report({}, [ended(attempt)])), []);
  assert.deepEqual(ops(world.report({ token: TOKEN + 1 }, [ended(attempt)])), ['forget']);
});

test('tasks on a machine that never spoke to the new owner wait for the fence', async () => {
  const world = await lonePart({ placed: true });
  await world.clock.run(56_000);
  await world.round();
  assert.deepEqual(world.stored()?.live, { '0': ['m-1', 77] });
  await world.clock.run(61_000);
  await world.round(3000);
  assert.deepEqual(world.stored()?.live, {});
});

test('services of a little-used machine move to another that has room and their image', async () => {
  const world = await lonePart({ placed: true, spec: { kind: 'service' } });
  const job: JobRecord = { spec: { ...SPEC, id: 'j-000002', kind: 'service' }, at: 0 };
  const chunk = { ...world.stored(), ids: '0-2', live: { '0': ['m-2', 7], '1': ['m-2', 8] } };
  world.state.change([
    { key: jobKey('j-000002'), value: job },
    { key: chunkKey('p', 'j-000002', 2), value: { ...chunk, ids: '0-1' } },
  ]);
  await world.clock.run(world.clock.now() + 300);
  const other = [0, 1].map((index) => ({
    task: { job: 'j-000002', index },
    attempt: 7 + index,
    state: 'running' as const,
    cause: null,
  }));
  const both = (): Command[] => {
    world.report({ machine: 'm-2' }, other);
    return world.report({}, [running(77)]);
  };
  both();
  await world.clock.run(world.clock.now() + 2000);
  await world.round();
  assert.deepEqual(ops(both()), [], 'too young to move');
  await world.clock.run(world.clock.now() + 40_000);
  both();
  await world.round();
  assert.deepEqual(ops(both()), ['stop']);
  world.report({}, [{ ...ended(77), cause: 'stopped' }]);
  await world.round();
  assert.equal(world.stored()?.live['0']?.[0], 'm-2');
});

test('tasks go only where their job allows', async () => {
  const cases: [string, Parameters<typeof lonePart>[0], Partial<WorkerReport>, boolean][] = [
    ['anywhere', {}, {}, true],
    ['a spot machine not allowed', {}, { spot: true }, false],
    ['a spot machine allowed', { spec: { spot: true } }, { spot: true }, true],
    ['another zone than the leader settled', { zone: 'b' }, {}, false],
    ['another zone than the job allows', { spec: { zone: 'b' } }, {}, false],
    ['a type that is not allowed', { spec: { types: ['large'] } }, {}, false],
    ['a machine about to be taken', {}, { noticeS: 20 }, false],
  ];
  for (const [name, options, change, placed] of cases) {
    const world = await lonePart(options);
    world.report(change);
    await world.round();
    assert.equal(Object.keys(world.stored()?.live ?? {}).length, placed ? 1 : 0, name);
  }
});

// Seen on the grown deployments: a chunk placed on more machines than a transaction may guard was
// refused as malformed, again and again, and none of its tasks ever started.
test('a chunk on more machines than one transaction can guard is written in pieces', async () => {
  const world = await lonePart({ ids: '0-39', spec: { tasks: 40 } });
  world.state.change([{ key: chunkKey('p', JOB, 1), remove: true }]);
  await world.clock.run(world.clock.now() + 300);
  const record = { ids: '0-39', done: '', live: {}, team: 'red', gpus: 0, memoryGb: 1, zone: 'a' };
  world.state.change([{ key: chunkKey('p', JOB, 1), value: { ...record, cpus: 4 } }]);
  await world.clock.run(world.clock.now() + 300);
  for (let at = 0; at < 40; at++) world.report({ machine: `m-${100 + at}` });
  await world.round(3000);
  assert.equal(Object.keys(world.stored()?.live ?? {}).length, 40);
});

// Seen on the one-zone site grown: the first tasks of a job that had waited long were the newest on
// their machines, so urgent work stopped them first, again and again.
test('urgent work stops the newest lower work, but not the first tasks of a job that waited', async () => {
  for (const waited of [false, true]) {
    const world = await lonePart({ spec: { tasks: 4 }, ids: '0-3', agedMs: waited ? 200_000 : 0 });
    const chunk = { ids: '0', done: '', live: {}, team: 'red', cpus: 1, gpus: 0, memoryGb: 1 };
    world.report();
    await world.round();
    const live = world.stored()?.live ?? {};
    const tasks = Object.entries(live).map(([index, [, attempt]]) => ({
      ...running(attempt),
      task: { job: JOB, index: Number(index) },
    }));
    assert.equal(tasks.length, 4);
    const spec: JobSpec = { ...SPEC, id: 'j-000002', kind: 'service', priority: 'high' };
    world.state.change([
      { key: jobKey('j-000002'), value: { spec, at: world.clock.wall() } },
      { key: chunkKey('p', 'j-000002', 2), value: { ...chunk, zone: 'a' } },
    ]);
    await world.clock.run(world.clock.now() + 300);
    world.report({}, tasks);
    await world.round();
    const stops = ops(world.report({}, tasks)).filter((op) => op === 'stop');
    assert.equal(stops.length, waited ? 0 : 1);
  }
});

// Seen on the earlier two-zone site: a start that waited for stopped work to leave its machine was
// sent only with the machine's next report, which cost urgent work half a second and more.
test('a start that waited for stopped work follows the answer to the stop', async () => {
  const world = await lonePart({ spec: { tasks: 4 }, ids: '0-3' });
  world.report();
  await world.round();
  const tasks = Object.entries(world.stored()?.live ?? {}).map(([index, [, attempt]]) => ({
    ...running(attempt),
    task: { job: JOB, index: Number(index) },
  }));
  const report = reportOf({ seq: 1000, tasks });
  world.sent.at(-1)?.done(report);
  const spec: JobSpec = { ...SPEC, id: 'j-000002', kind: 'service', priority: 'high' };
  const chunk = { ids: '0', done: '', live: {}, team: 'red', cpus: 1, gpus: 0, memoryGb: 1 };
  world.state.change([
    { key: jobKey('j-000002'), value: { spec, at: world.clock.wall() } },
    { key: chunkKey('p', 'j-000002', 2), value: { ...chunk, zone: 'a' } },
  ]);
  await world.clock.run(world.clock.now() + 300);
  await world.round();
  const stops = world.sent.at(-1)?.commands ?? [];
  assert.deepEqual(ops(stops), ['stop']);
  const left = tasks.map((one) =>
    one.attempt === stops[0]?.attempt
      ? { ...one, state: 'exited' as const, cause: 'stopped' as const }
      : one,
  );
  world.sent.at(-1)?.done({ ...report, seq: 1001, tasks: left });
  await world.round();
  assert.deepEqual(ops(world.sent.at(-1)?.commands ?? []), ['start']);
});

// A placement may be committed only while its job is there: a part that has not heard yet of a
// cancellation started tasks after it had been confirmed.
test('a job that was called off is not placed, though its part has not heard of it', async () => {
  const world = await lonePart();
  world.report();
  // Gone from the store, and no watch tells of it.
  world.state.revision++;
  world.state.cells.delete(jobKey(JOB));
  await world.round();
  assert.deepEqual(world.stored()?.live, {});
  assert.deepEqual(ops(world.report()), []);
  assert.equal(world.sent.length, 0);
});
