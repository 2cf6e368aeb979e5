/** Jobs are neither starved nor forgotten while more tasks are submitted than machines can run. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from '../world/world.js';

// In a recorded incident, large jobs never ended: their team was at its quota all day, and smaller
// jobs of the team were always scheduled first.
test('a large job is completed although smaller ones of its team keep arriving', async () => {
  const world = new World(11);
  for (const zone of ['a', 'a', 'b']) world.addMachine('small', zone, false, 500);
  await world.run(6);
  void world.submit('j-000001', { team: 'blue', cpus: 2, tasks: 20, runS: 10, deadlineS: 20 });
  for (let round = 1; round < 50; round++) {
    const id = `j-1${String(round).padStart(5, '0')}`;
    void world.submit(id, { team: 'blue', cpus: 2, tasks: 4, runS: 10, deadlineS: 25 });
    await world.run(6);
  }
  const polled = world.poll('j-000001');
  await world.run(1);
  assert.equal(((await polled).body as { stage: string }).stage, 'done');
  assert.deepEqual(world.violations, []);
});

// Users check that the largest jobs start within 4 minutes of a lasting overload. A job that cannot
// meet a distant deadline would otherwise be scheduled after others until it is late by three times
// that deadline.
test('the largest job starts within 4 minutes of a lasting overload', async () => {
  const world = new World(12);
  for (const zone of ['a', 'a', 'b']) world.addMachine('small', zone, false, 500);
  await world.run(6);
  void world.submit('j-000001', { team: 'blue', cpus: 2, tasks: 90, runS: 10, deadlineS: 140 });
  for (let round = 1; round < 48; round++) {
    const id = `j-1${String(round).padStart(5, '0')}`;
    void world.submit(id, { team: 'blue', cpus: 2, tasks: 6, runS: 10, deadlineS: 30 });
    await world.run(5);
  }
  const start = world.starts.find(({ task }) => task.startsWith('j-000001/'));
  assert.ok(start, 'none of its tasks started');
  assert.deepEqual(world.violations, []);
});

// Users count an accepted job as forgotten if, once faults are over, no poll of it is answered for
// 75 s. After all controllers were killed in an outage, the controllers read all live records while many polls
// and submissions arrive; both together must stay within the key-value store's rate limits.
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
  for (let round = 0; round < 15 && unanswered.size > 0; round++) {
    for (const id of unanswered) {
      void world.poll(id, `n${world.randomBelow(3)}`).then((reply) => {
        if (reply.status === 200) unanswered.delete(id);
      });
      void world.submit(
        `j-9${round}${id.slice(2)}`,
        { tasks: 1, runS: 5 },
        `n${world.randomBelow(3)}`,
      );
    }
    await world.run(5);
  }
  assert.deepEqual([...unanswered], []);
  assert.deepEqual(world.violations, []);
});
