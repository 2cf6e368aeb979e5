import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from './world/world.js';

// A node that alone is refused by the state service, or has not read its keys yet, still serves
// users through its peers, and never with an older answer than theirs.
test('a node without the state service serves users through a peer', async () => {
  const world = new World(5);
  world.addMachine('small', 'a', false, 500);
  await world.run(6);
  world.state.refused.add('n0');
  await world.run(4);
  const replyTo = async <T>(request: Promise<T>): Promise<T> => {
    await world.run(1);
    return request;
  };
  assert.equal((await replyTo(world.submit('j-000001', { tasks: 1, runS: 60 }, 'n0'))).status, 201);
  assert.equal((await replyTo(world.poll('j-000001', 'n0'))).status, 200);
  assert.equal((await replyTo(world.poll('j-000009', 'n0'))).status, 404);
  const cancelled = await replyTo(world.cancel('j-000001', 'n0'));
  assert.deepEqual(cancelled, { status: 200, body: { ref: 'j-000001', stage: 'withdrawn' } });
  for (const [node] of world.members) {
    assert.deepEqual((await replyTo(world.poll('j-000001', node))).body, {
      ref: 'j-000001',
      stage: 'withdrawn',
      done: 0,
      running: 0,
    });
  }
});
