import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from './world/world.js';

// Seen in the first recorded incident of the larger deployment: the first status of a part's new
// owner was empty, and the leader returned the part's whole fleet as machines that never came up.
test('a part that changes hands keeps its machines', async () => {
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
    assert.equal(world.starts.length, starts, 'no task had to start again');
    assert.deepEqual(world.broken, []);
  }
});
