/** Overlapping faults: leaders that change, and controllers that are isolated or refused by the key-value store. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { nodeKey } from '../../src/storage/keys.js';
import { stageOf } from '../world/jobs.js';
import {
  SERVICE,
  cancel,
  restartLeader,
  cutOff,
  submitWorkload,
  controllerNames,
  outage,
  playOverlappingFaults,
  submit,
  type OverlappingFaultsCase,
} from '../world/overlapping-faults.js';
import { awaitReply } from '../world/await-reply.js';
import { World } from '../world/world.js';
import { setOnAllWorkers } from '../world/fault-steps.js';

const ROWS: OverlappingFaultsCase[] = [
  {
    name: 'a refused controller: its lease expires, and its open watches wait',
    script: async (world) => {
      await submit(world, 'j-000001', { tasks: 3, runS: 60 });
      const [old, key] = [world.leader, nodeKey(world.leader)];
      assert.ok(world.store.entries.has(key));
      let watchResult: unknown = null;
      void world.store
        .api(old)
        .watch('trial/', world.store.revision, 10_000)
        .then((result) => (watchResult = result));
      await world.run(0.5);
      world.store.refusedControllers.add(old);
      world.store.change([{ key: 'trial/x', value: 1 }]);
      await world.run(8);
      assert.equal(watchResult, null, 'watch answered while refused');
      assert.equal(world.store.entries.has(key), false, 'lease did not expire');
      assert.notEqual(world.leader, old);
      world.store.refusedControllers.clear();
      await world.run(1);
      assert.notEqual(watchResult, null);
    },
  },
  {
    name: 'ten changes of leader in two minutes',
    seeds: [1, 2],
    script: async (world) => {
      await submitWorkload(world);
      for (let round = 0; round < 10; round++) {
        await restartLeader(world, 8);
        if (round === 4) await cancel(world, 'j-000002', controllerNames(world));
        await world.run(4);
      }
    },
  },
  {
    name: 'ten changes of leader in two minutes, an outage among them',
    seeds: [1, 2],
    script: async (world) => {
      await submitWorkload(world);
      for (let round = 0; round < 10; round++) {
        if (round === 4) world.store.hasOutage = true;
        if (round === 7) world.store.endOutage();
        await restartLeader(world, round % 2 ? 0.3 : 8);
        if (round === 3) await cancel(world, 'j-000002', controllerNames(world));
        await world.run(round % 2 ? 11 : 4);
      }
    },
  },
  {
    name: 'failover to a controller that is killed and restarted within 0.3 s',
    seeds: [1, 2],
    script: async (world) => {
      await submitWorkload(world);
      const old = world.leader;
      world.kill(old);
      for (let round = 0; round < 200 && world.leader === old; round++) {
        await world.clock.run(world.clock.now() + 50);
      }
      await restartLeader(world, 0.3);
      await cancel(world, 'j-000001', controllerNames(world));
      world.boot(old);
      await world.run(0.3);
      await restartLeader(world, 0.3);
      await world.run(20);
    },
  },
  ...[false, true].map((othersCutOff) => ({
    name: `a leader without key-value store and peers ${othersCutOff ? 'is the only one to reach workers' : 'reaches workers and users'}; others cancel`,
    seeds: [1, 2],
    script: async (world: World) => {
      await submitWorkload(world);
      const old = world.leader;
      world.store.refusedControllers.add(old);
      for (const name of controllerNames(world))
        if (name !== old) world.cutLinks.add(`${old}>${name}`);
      await world.run(1);
      const others = controllerNames(world).filter((name) => name !== old);
      // No other controller reaches the workers and no machine is returned, so that only expired
      // leases end the tasks.
      if (othersCutOff) cutOff(world, others, world.workers.keys());
      world.cloudRefusesReturns = othersCutOff;
      for (const id of ['j-000001', 'j-000002', 'j-000003']) {
        assert.equal(stageOf(await cancel(world, id, others)), 'withdrawn');
        const reply = await awaitReply(world, world.poll(id, old));
        assert.ok(reply.status === 503 || stageOf(reply) === 'withdrawn', JSON.stringify(reply));
      }
      for (let round = 0; round < 30; round++) {
        await awaitReply(world, world.poll('j-000001', old));
        await world.run(2);
      }
      world.store.refusedControllers.clear();
      world.cutLinks.clear();
      world.cloudRefusesReturns = false;
    },
  })),
  {
    name: 'heartbeats delayed and duplicated late, while leaders are killed a second apart',
    seeds: [1, 2],
    script: async (world) => {
      await submitWorkload(world);
      setOnAllWorkers(world, { heartbeatDuplicatesAfterMs: [2000, 9000, 23_000, 40_000] });
      await world.run(6);
      setOnAllWorkers(world, { heartbeatDelayMs: 6000 });
      await world.run(2);
      await restartLeader(world, 8);
      setOnAllWorkers(world, { heartbeatDelayMs: 0 });
      await world.run(1);
      await restartLeader(world, 0.3);
      await cancel(world, 'j-000002', controllerNames(world));
      await restartLeader(world, 0.6);
      await world.run(50);
      setOnAllWorkers(world, { heartbeatDuplicatesAfterMs: [] });
    },
  },
  {
    name: 'all controllers are down for longer than a lease, after a cancellation',
    seeds: [1, 2],
    script: async (world) => {
      await submitWorkload(world);
      await cancel(world, 'j-000002', controllerNames(world));
      for (const name of controllerNames(world)) world.kill(name);
      await world.run(40);
      for (const name of controllerNames(world)) world.boot(name);
    },
  },
  {
    name: 'a job of three tasks, one after the other, over two changes of leader',
    zones: ['a'],
    script: async (world) => {
      world.capacity = 0;
      await submit(world, 'j-000001', { tasks: 3, cpus: 4, runS: 25 });
      await world.run(15);
      await restartLeader(world, 9);
      await world.run(30);
      await restartLeader(world, 0.3);
      await world.run(30);
    },
  },
  {
    name: 'the key-value store answers slowly, then refuses the leader, while users cancel and poll',
    script: async (world) => {
      await submitWorkload(world);
      world.store.answerMs = 1200;
      for (const id of ['j-000001', 'j-000002']) {
        await cancel(world, id, controllerNames(world));
        for (const node of controllerNames(world)) {
          const reply = await awaitReply(world, world.poll(id, node));
          assert.ok(reply.status === 503 || stageOf(reply) === 'withdrawn', JSON.stringify(reply));
        }
      }
      world.store.refusedControllers.add(world.leader);
      await cancel(world, 'j-000003', controllerNames(world));
      await world.run(4);
      await outage(world, 55);
      world.store.answerMs = 5;
      world.store.refusedControllers.clear();
    },
  },
];

for (const row of ROWS) {
  for (const seed of row.seeds ?? [1]) {
    test(`overlapping faults: ${row.name} (seed ${seed})`, (t) =>
      playOverlappingFaults(t, row, seed));
  }
}

// A shard holder that the key-value store refuses keeps answering its workers for a grace period.
// The change notification of the peer that confirmed a cancellation must end the tasks long before
// that period is over.
test('overlapping faults: a cancellation that a peer confirmed stops tasks at once, though the store refuses their holder', async () => {
  const world = new World(1);
  for (const zone of ['a', 'a', 'b']) world.addMachine('small', zone, false, 500);
  await world.run(7);
  await submit(world, 'j-000001', { ...SERVICE, zone: 'b', tasks: 2 });
  await world.run(14);
  for (const node of controllerNames(world).slice(1)) world.kill(node);
  await world.run(12);
  world.boot('n1');
  await world.run(1);
  // n0 holds the shard of zone b, whose controller stays down, and from now on the store refuses n0.
  const countRunning = (): number =>
    [...world.workers.values()].flatMap((worker) => [...worker.tasksOnMachine()]).length;
  assert.equal(countRunning(), 2);
  world.store.refusedControllers.add('n0');
  assert.equal(stageOf(await cancel(world, 'j-000001', ['n1'])), 'withdrawn');
  await world.run(4);
  assert.equal(countRunning(), 0);
  assert.deepEqual(world.violations, []);
});
