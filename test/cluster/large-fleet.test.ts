/** A fleet of 4,000 machines: its tasks keep running through a change of leader and a restart of all controllers. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { stageOf } from '../world/jobs.js';
import { awaitReply } from '../world/await-reply.js';
import { FLEET, TEAMS } from '../world/settings.js';
import { World } from '../world/world.js';

const MACHINES = 4_000;
const TASKS = 500;
const SERVICES = 20;
/** Settings of a deployment of this size: higher limits of the key-value store, and a larger team. */
const LARGE = {
  teams: [...TEAMS, { name: 'all', cpus: 0, cpusMax: 20_000, gpus: 0, gpusMax: 0 }],
  storeRps: 400,
  storeWriteRps: 200,
  transactionOps: 32,
  fleet: { ...FLEET, idleS: 600, maxMachines: 20_000 },
};

const serviceId = (at: number): string => `j-1${String(at).padStart(5, '0')}`;

/** Counts the machines that the shards of all controllers list as healthy and acknowledged. */
function healthyMachines(world: World): number {
  let count = 0;
  for (const { node } of world.nodes.values()) {
    for (const { machines } of node.heldShards.values()) {
      for (const machine of machines.all.values()) {
        if (machines.health(machine) === 'ok' && machine.isAcknowledged) count++;
      }
    }
  }
  return count;
}

test('4,000 machines get tasks, and keep them when the leader and then all controllers are killed', async () => {
  const world = new World(11, undefined, LARGE);
  world.store.transactionOps = LARGE.transactionOps;
  for (let at = 0; at < MACHINES; at++) {
    world.addMachine('small', at % 2 === 0 ? 'a' : 'b', false, 500);
  }
  await world.run(12);
  assert.equal(
    healthyMachines(world),
    MACHINES,
    'all send heartbeats to the holders of their shards',
  );
  void world.submit('j-000001', { tasks: TASKS, cpus: 1, runS: 600, team: 'all', spot: false });
  for (let at = 0; at < SERVICES; at++) {
    const service = { service: true, tasks: 1, cpus: 2, urgent: true, team: 'all', spot: false };
    void world.submit(serviceId(at), service, 'n1');
  }
  await world.run(25);
  const startedCount = world.starts.length;
  assert.equal(startedCount, TASKS + SERVICES, 'everything runs');
  const leader = world.leader;
  world.kill(leader);
  await world.run(12);
  assert.notEqual(world.leader, leader, 'another controller is the leader');
  world.boot(leader);
  await world.run(5);
  for (const [node] of world.members) world.kill(node);
  await world.run(4);
  for (const [node] of world.members) world.boot(node);
  await world.run(15);
  assert.equal(healthyMachines(world), MACHINES, 'all are acknowledged again within two leases');
  assert.equal(world.starts.length, startedCount, 'no task had to start again');
  for (const [node] of world.members) {
    for (const id of ['j-000001', ...Array.from({ length: SERVICES }, (_, at) => serviceId(at))]) {
      const reply = await awaitReply(world, world.poll(id, node));
      assert.deepEqual([reply.status, stageOf(reply)], [200, 'running'], `${id} at ${node}`);
    }
  }
  assert.equal(world.workers.size, MACHINES, 'no machine was returned');
  assert.deepEqual(world.violations, []);
});
