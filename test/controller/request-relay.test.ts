/**
 * Requests of users that a controller relays to a peer. Guards against failed or outdated answers
 * by a controller that alone can't reach the key-value store, and against refusals of accepted jobs
 * by peers of an older version.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { awaitReply } from '../world/await-reply.js';
import { World } from '../world/world.js';

// A controller that alone is refused by the key-value store, or has not loaded its keys yet, relays
// users' requests to its peers, so that its answers are never older than theirs.
test('a controller that the key-value store refuses serves users through a peer', async () => {
  const world = new World(5);
  world.addMachine('small', 'a', false, 500);
  await world.run(6);
  world.store.refusedControllers.add('n0');
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
  for (const [controller] of world.members) {
    assert.deepEqual((await replyTo(world.poll('j-000001', controller))).body, {
      ref: 'j-000001',
      stage: 'withdrawn',
      done: 0,
      running: 0,
    });
  }
});

// Older versions may refuse a job that was accepted. A controller that relays requests to them
// passes on their answers about known jobs, and replaces their refusals by 503.
test("a peer's refusal is passed on to the user only if it carries a proof", async () => {
  const cases: [string, boolean, number, number, number][] = [
    // [version of the peer, whether its replies carry a proof, statuses of: a poll of an unknown
    // job, a malformed submission, a submission of an unknown team]
    ['this version', true, 404, 400, 422],
    ['an older version', false, 503, 503, 503],
  ];
  for (const [name, isProven, poll, malformed, unfit] of cases) {
    const world = new World(6);
    world.addMachine('small', 'a', false, 500);
    await world.run(6);
    await awaitReply(world, world.submit('j-000001', { tasks: 1, runS: 60 }, 'n1'));
    world.store.refusedControllers.add('n0');
    world.onPeerMessage = (message) =>
      message.kind === 'relayed' ? { ...message, isProven } : message;
    await world.run(4);
    const statuses = await Promise.all(
      [
        world.poll('j-000009', 'n0'),
        world.submit('j-000010', {}, 'n0', { gpus: undefined }),
        world.submit('j-000011', {}, 'n0', { crew: 'nobody' }),
        world.poll('j-000001', 'n0'),
      ].map(async (request) => (await awaitReply(world, request)).status),
    );
    assert.deepEqual(statuses, [poll, malformed, unfit, 200], name);
  }
});
