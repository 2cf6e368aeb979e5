import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from '../world/world.js';

// Seen in a recorded incident: large jobs that yielded to smaller ones of their team, which
// was at its quota all day, never ended.
test('a large job ends though smaller ones of its team keep coming', async () => {
  const world = new World(11);
  for (const zone of ['a', 'a', 'b']) world.addMachine('small', zone, false, 500);
  await world.run(6);
  void world.submit('j-000001', { team: 'blue', cpus: 2, tasks: 20, runS: 10, deadlineS: 20 });
  for (let turn = 1; turn < 50; turn++) {
    const id = `j-1${String(turn).padStart(5, '0')}`;
    void world.submit(id, { team: 'blue', cpus: 2, tasks: 4, runS: 10, deadlineS: 25 });
    await world.run(6);
  }
  const polled = world.poll('j-000001');
  await world.run(1);
  assert.equal(((await polled).body as { stage: string }).stage, 'done');
  assert.deepEqual(world.violations, []);
});

// Checked by the users: in a lasting overload the largest jobs must begin within 4 minutes. A job
// whose deadline is far off would otherwise yield to others until three deadlines have passed.
test('the largest job begins within 4 minutes of a lasting overload', async () => {
  const world = new World(12);
  for (const zone of ['a', 'a', 'b']) world.addMachine('small', zone, false, 500);
  await world.run(6);
  void world.submit('j-000001', { team: 'blue', cpus: 2, tasks: 90, runS: 10, deadlineS: 140 });
  for (let turn = 1; turn < 48; turn++) {
    const id = `j-1${String(turn).padStart(5, '0')}`;
    void world.submit(id, { team: 'blue', cpus: 2, tasks: 6, runS: 10, deadlineS: 30 });
    await world.run(5);
  }
  const began = world.starts.find(({ task }) => task.startsWith('j-000001/'));
  assert.ok(began, 'nothing of it began');
  assert.deepEqual(world.violations, []);
});

// Checked by the users: once faults are over, 75 s without an answered question about an accepted
// job count as forgotten. After all controllers were killed in an outage, reading the live records
// and the rush of polls and submissions must fit the key-value store's limits together.
test('no job is forgotten after all controllers were killed in an outage', async () => {
  const world = new World(13);
  world.store.limits = { rps: 80, writeRps: 25 };
  for (const zone of ['a', 'a', 'b']) world.addMachine('small', zone, false, 500);
  await world.run(6);
  const ids: string[] = [];
  for (let at = 0; at < 400; at++) {
    const id = `j-${String(at + 1).padStart(6, '0')}`;
    const node = `n${at % 3}`;
    void world
      .submit(id, { tasks: 2, runS: 5, cpus: 1, service: at % 2 === 0 }, node)
      .then((reply) => {
        if (reply.status === 201) ids.push(id);
      });
    if (at % 10 === 9) await world.run(1);
  }
  await world.run(10);
  assert.ok(ids.length > 200, `accepted ${ids.length}`);
  world.store.hasOutage = true;
  for (const [name] of world.members) world.kill(name);
  await world.run(3);
  for (const [name] of world.members) world.boot(name);
  await world.run(15);
  world.store.endOutage();
  const unanswered = new Set(ids);
  for (let turn = 0; turn < 15 && unanswered.size > 0; turn++) {
    for (const id of unanswered) {
      void world.poll(id, `n${world.randomBelow(3)}`).then((reply) => {
        if (reply.status === 200) unanswered.delete(id);
      });
      void world.submit(
        `j-9${turn}${id.slice(2)}`,
        { tasks: 1, runS: 5 },
        `n${world.randomBelow(3)}`,
      );
    }
    await world.run(5);
  }
  assert.deepEqual([...unanswered], []);
  assert.deepEqual(world.violations, []);
});
