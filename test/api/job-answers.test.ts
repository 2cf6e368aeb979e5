/**
 * Answers about jobs that were cancelled or have finished. Guards against answers that are
 * confirmed too early, and against outdated answers by controllers that have not read the final
 * record.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { stageOf as stage } from '../world/jobs.js';
import { awaitReply } from '../world/await-reply.js';
import { World } from '../world/world.js';

test('a cancellation is confirmed only after its commit, and then by all controllers', async () => {
  const world = new World(7);
  world.addMachine('small', 'a', false, 500);
  await world.run(6);
  await awaitReply(world, world.submit('j-000001', { tasks: 1, runS: 200 }));
  world.store.hasOutage = true;
  assert.equal((await awaitReply(world, world.cancel('j-000001'))).status, 503);
  world.store.endOutage();
  await world.run(5);
  assert.equal(stage(await awaitReply(world, world.cancel('j-000001', 'n1'))), 'withdrawn');
  for (const [controller] of world.members) {
    assert.equal(stage(await awaitReply(world, world.poll('j-000001', controller))), 'withdrawn');
    assert.equal((await awaitReply(world, world.poll('j-000002', controller))).status, 404);
    const again = await awaitReply(world, world.submit('j-000001', { tasks: 0 }, controller));
    assert.deepEqual([again.status, stage(again)], [200, 'withdrawn']);
  }
});

// Guards against answering a repeated submission from the replica alone. A controller that had not
// read the final record replied that the job was queued, after another had confirmed the
// cancellation.
test('after a cancellation, a controller that was cut off or paused gives no older answer', async () => {
  const world = new World(17);
  world.addMachine('small', 'a', false, 500);
  await world.run(6);
  await awaitReply(world, world.submit('j-000001', { tasks: 1, service: true, spot: false }));
  await world.run(5);
  world.store.refusedControllers.add('n0');
  assert.equal(stage(await awaitReply(world, world.cancel('j-000001', 'n1'))), 'withdrawn');
  for (const request of [
    world.submit('j-000001', { tasks: 1, service: true }),
    world.poll('j-000001'),
  ]) {
    const reply = await awaitReply(world, request);
    assert.ok(reply.status === 503 || stage(reply) === 'withdrawn', JSON.stringify(reply));
  }
  world.store.refusedControllers.clear();
  await world.run(5);
  await awaitReply(world, world.submit('j-000002', { tasks: 1, service: true, spot: false }));
  await world.run(2);
  // The poll arrives before the pause and is answered after it, so the state read before is
  // outdated.
  const pending = world.poll('j-000002');
  await world.clock.run(world.clock.now() + 100);
  world.pause('n0', 10);
  await world.run(2);
  await awaitReply(world, world.cancel('j-000002', 'n1'));
  await world.run(15);
  assert.equal((await pending).status, 503);
  assert.equal(stage(await awaitReply(world, world.poll('j-000002'))), 'withdrawn');
});

test('a holder cut off from the store stops answering heartbeats before a cancellation is due', async () => {
  const world = new World(8, [
    ['n0', 'a'],
    ['n1', 'b'],
  ]);
  const machine = world.addMachine('small', 'a', false, 500);
  await world.run(8);
  await awaitReply(world, world.submit('j-000001', { tasks: 1, service: true, spot: false }, 'n1'));
  await world.run(10);
  assert.equal(world.starts.length, 1);
  assert.equal(world.starts[0]?.machine, machine);
  // Only the holder of its shard, n0, can reach the machine, and n0 can reach nothing else.
  world.cutLinks.add(`n1>${machine}`);
  world.cutLinks.add('n0>n1');
  world.store.refusedControllers.add('n0');
  world.cloudRefusesReturns = true;
  assert.equal(stage(await awaitReply(world, world.cancel('j-000001', 'n1'))), 'withdrawn');
  await world.run(70);
  assert.deepEqual(world.violations, []);
});

test('a job is done only when its last task is', async () => {
  const world = new World(9);
  world.addMachine('small', 'a', false, 500);
  await world.run(6);
  await awaitReply(world, world.submit('j-000001', { tasks: 6, cpus: 4, runS: 20, team: 'blue' }));
  for (let attempt = 0; attempt < 120; attempt++) {
    await world.run(1);
    const poll = await awaitReply(world, world.poll('j-000001', 'n1'));
    if (stage(poll) !== 'done') continue;
    assert.equal(world.completedTasks.size, 6);
    return;
  }
  assert.fail('never done');
});
