/** Replies to requests that users send by mistake, repeatedly, or before they can be served. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { stageOf } from '../world/jobs.js';
import { controllerNames, submit } from '../world/overlapping-faults.js';
import { awaitReply } from '../world/await-reply.js';
import { World } from '../world/world.js';

/** The fields of a submission that may not be missing or null. */
const FIELDS = [
  'ref', 'lane', 'crew', 'shape', 'rank', 'larvae', 'cores', 'gpus', 'memGb', 'cocoon', 'imageGb',
  'samePlace', 'apart', 'windfall', 'guessS', 'moltS', 'spinS',
]; // prettier-ignore
/** Submissions with a mistake in one field or none, and the status that each must get. */
const MISTAKEN: { name: string; raw: Record<string, unknown>; status: number }[] = [
  ...FIELDS.map((field) => ({ name: `no ${field}`, raw: { [field]: undefined }, status: 400 })),
  ...FIELDS.map((field) => ({ name: `${field} null`, raw: { [field]: null }, status: 400 })),
  ...['breeds', 'grove', 'duskS'].map((field) => ({
    name: `no ${field}`,
    raw: { [field]: undefined },
    status: 201,
  })),
  { name: 'unknown team', raw: { crew: 'nobody' }, status: 422 },
  { name: 'unknown type', raw: { breeds: ['g99'] }, status: 422 },
  { name: 'no type allowed', raw: { breeds: [] }, status: 422 },
  { name: 'a task larger than any machine', raw: { cores: 5 }, status: 422 },
  { name: 'more memory than any machine', raw: { memGb: 17 }, status: 422 },
  { name: 'a GPU that no team has', raw: { gpus: 1 }, status: 422 },
  { name: 'a zone without machines', raw: { grove: 'z' }, status: 422 },
  { name: 'a service beyond the limit', raw: { shape: 'standing', larvae: 17 }, status: 422 },
  { name: 'tasks as text', raw: { larvae: '4' }, status: 400 },
  { name: 'no tasks', raw: { larvae: 0 }, status: 400 },
  { name: 'half a task', raw: { larvae: 1.5 }, status: 400 },
  { name: 'too many tasks', raw: { larvae: 100_001 }, status: 400 },
  { name: 'CPUs as text', raw: { cores: 'x' }, status: 400 },
  { name: 'no CPU', raw: { cores: 0 }, status: 400 },
  { name: 'negative memory', raw: { memGb: -1 }, status: 400 },
  { name: 'unknown rank', raw: { rank: 'soon' }, status: 400 },
  { name: 'unknown shape', raw: { shape: 'gang' }, status: 400 },
  { name: 'a flag as text', raw: { samePlace: 'yes' }, status: 400 },
  { name: 'types as text', raw: { breeds: 'small' }, status: 400 },
  { name: 'a number as zone', raw: { grove: 7 }, status: 400 },
  { name: 'an id of another form', raw: { ref: 'x-1' }, status: 400 },
  { name: 'a deadline as text', raw: { duskS: 'noon' }, status: 400 },
];

test('mistaken requests: when many are sent at once, each gets the right status', async () => {
  const world = new World(1);
  for (const zone of ['a', 'b']) world.addMachine('small', zone, false, 500);
  await world.run(7);
  const replies = MISTAKEN.map(({ raw }, index) =>
    world.submit(`j-1000${index + 10}`, { tasks: 1 }, `n${index % 3}`, raw),
  );
  await world.run(8);
  const failures: string[] = [];
  for (const [index, { name, status }] of MISTAKEN.entries()) {
    const reply = await awaitReply(world, replies[index] ?? Promise.reject(new Error('not sent')));
    if (reply.status !== status) failures.push(`${name}: ${reply.status} instead of ${status}`);
  }
  assert.deepEqual(failures, []);
  assert.deepEqual(world.violations, []);
});

test("mistaken requests: repeats, even malformed ones, and late cancellations get the job's state", async () => {
  const world = new World(2);
  for (const zone of ['a', 'b']) world.addMachine('small', zone, false, 500);
  await world.run(7);
  const controllers = controllerNames(world);
  // Of equal submissions through all controllers at once, one is accepted; the others get the
  // state.
  const first = controllers.map((controller) =>
    world.submit('j-000001', { tasks: 2, runS: 30 }, controller),
  );
  const statuses = await Promise.all(
    first.map(async (one) => (await awaitReply(world, one)).status),
  );
  assert.deepEqual(statuses.sort(), [200, 200, 201]);
  await submit(world, 'j-000002', { tasks: 1, runS: 5 });
  await world.run(15);
  for (const raw of [{}, { larvae: 0 }, { crew: 'nobody' }, { gpus: undefined }]) {
    for (const controller of controllers) {
      const reply = await awaitReply(world, world.submit('j-000001', {}, controller, raw));
      assert.deepEqual([reply.status, stageOf(reply)], [200, 'running'], JSON.stringify(raw));
      const finished = await awaitReply(world, world.submit('j-000002', {}, controller, raw));
      assert.deepEqual([finished.status, stageOf(finished)], [200, 'done'], JSON.stringify(raw));
    }
  }
  for (const controller of controllers) {
    const reply = await awaitReply(world, world.cancel('j-000002', controller));
    assert.deepEqual([reply.status, stageOf(reply)], [200, 'done']);
    for (const request of [
      world.poll('j-000009', controller),
      world.cancel('j-000009', controller),
    ]) {
      assert.equal((await awaitReply(world, request)).status, 404);
    }
  }
  await world.run(60);
  assert.equal(stageOf(await awaitReply(world, world.poll('j-000001', 'n2'))), 'done');
  assert.deepEqual(world.violations, []);
});

test('mistaken requests: nothing is accepted before the machine types are known', async () => {
  const world = new World(3);
  world.cloudHasCatalog = false;
  await world.run(7);
  for (const controller of controllerNames(world)) {
    for (const raw of [{}, { breeds: ['g99'] }, { cores: 5 }]) {
      const reply = await awaitReply(
        world,
        world.submit('j-000001', { tasks: 1 }, controller, raw),
      );
      assert.equal(reply.status, 503, JSON.stringify(raw));
    }
    assert.equal(
      (await awaitReply(world, world.submit('j-000002', {}, controller, { cores: 'x' }))).status,
      400,
    );
  }
  world.cloudHasCatalog = true;
  for (let attempt = 0; attempt < 90 && world.accepted.size === 0; attempt++) {
    await awaitReply(world, world.submit('j-000001', { tasks: 1 }, 'n1'));
    await world.run(1);
  }
  await world.run(60);
  assert.equal(stageOf(await awaitReply(world, world.poll('j-000001'))), 'done');
  assert.deepEqual(world.violations, []);
});
