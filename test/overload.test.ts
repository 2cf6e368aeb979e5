import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from './world/world.js';

// Seen in a recorded incident: large jobs that stepped back for smaller ones of their team, which
// was at its limit all day, never ended.
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
  assert.deepEqual(world.broken, []);
});
