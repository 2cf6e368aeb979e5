/** Tests which machines a shard keeps after the failure of a controller or of machines. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from '../world/world.js';

// Guards against the fault in the first recorded incident of the larger deployment. The first
// status of a shard's new holder was empty, so the leader treated the shard's whole fleet as
// machines that had never started, and returned it.
test('a shard keeps its machines and tasks after a failover', async () => {
  for (const dead of ['n0', 'n1', 'n2']) {
    const world = new World(3);
    for (const zone of ['a', 'a', 'a', 'b', 'b']) world.addMachine('small', zone, false, 500);
    await world.run(8);
    void world.submit('j-000001', { tasks: 12, runS: 300 }, dead === 'n0' ? 'n1' : 'n0');
    await world.run(150);
    const before = [...world.workers.keys()];
    const starts = world.starts.length;
    world.kill(dead);
    await world.run(40);
    assert.deepEqual([...world.workers.keys()], before, `machines after ${dead} died`);
    assert.equal(world.starts.length, starts, 'no task was restarted');
    assert.deepEqual(world.violations, []);
  }
});

// Several machines that are silent at once may be dead or only cut off. A machine that is silent
// for a whole lease is returned and replaced. A machine that sends heartbeats again before keeps
// its tasks.
test('when many machines are silent, dead ones are returned and briefly unreachable ones are kept', async () => {
  const world = new World(21);
  for (let at = 0; at < 6; at++) world.addMachine('small', 'a', false, 500);
  await world.run(8);
  const service = { service: true, spot: false };
  void world.submit('j-000001', { ...service, team: 'red', cpus: 2, tasks: 8 });
  void world.submit('j-000002', { ...service, team: 'blue', cpus: 2, tasks: 4 });
  await world.run(30);
  const [cut1 = '', cut2 = '', dead1 = '', dead2 = ''] = world.workers.keys();
  for (const [node] of world.members) {
    for (const machine of [cut1, cut2]) world.cutLinks.add(`${node}>${machine}`);
  }
  for (const machine of [dead1, dead2]) world.workers.get(machine)?.die();
  await world.run(18);
  world.cutLinks.clear();
  await world.run(60);
  const isRented = [cut1, cut2, dead1, dead2].map((machine) => world.workers.has(machine));
  assert.deepEqual(isRented, [true, true, false, false]);
  const running = [...world.workers.values()].flatMap((worker) => [...worker.tasksOnMachine()]);
  assert.equal(running.length, 12);
  assert.deepEqual(world.violations, []);
});
