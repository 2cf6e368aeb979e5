/** A fleet of 4,000 machines: adopted, placed on, through a change of leader and a restart of all. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { stageOf } from '../world/jobs.js';
import { awaitReply } from '../world/await-reply.js';
import { FLEET, TEAMS } from '../world/settings.js';
import { World } from '../world/world.js';

const MACHINES = 4_000;
const TASKS = 500;
const SERVICES = 20;
/** What such a deployment's settings say: more of what the key-value store takes, and larger teams. */
const LARGE = {
  teams: [...TEAMS, { name: 'all', cpus: 0, cpusMax: 20_000, gpus: 0, gpusMax: 0 }],
  storeRps: 400,
  storeWriteRps: 200,
  transactionOps: 32,
  fleet: { ...FLEET, idleS: 600, maxMachines: 20_000 },
};

const serviceId = (at: number): string => `j-1${String(at).padStart(5, '0')}`;

/** Machines that the shards of all controllers know and call good. */
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

test('4,000 machines send heartbeats, get work, and keep it when the leader ends and when all do', async () => {
  const world = new World(11, undefined, LARGE);
  world.store.transactionOps = LARGE.transactionOps;
  for (let at = 0; at < MACHINES; at++) {
    world.addMachine('small', at % 2 === 0 ? 'a' : 'b', false, 500);
  }
  await world.run(12);
  assert.equal(healthyMachines(world), MACHINES, 'all send heartbeats to their owners');
  void world.submit('j-000001', { tasks: TASKS, cpus: 1, runS: 600, team: 'all', spot: false });
  for (let at = 0; at < SERVICES; at++) {
    const service = { service: true, tasks: 1, cpus: 2, urgent: true, team: 'all', spot: false };
    void world.submit(serviceId(at), service, 'n1');
  }
  await world.run(25);
  const begun = world.starts.length;
  assert.equal(begun, TASKS + SERVICES, 'everything runs');
  const leader = world.leader;
  world.kill(leader);
  await world.run(12);
  assert.notEqual(world.leader, leader, 'another leads');
  world.boot(leader);
  await world.run(5);
  for (const [node] of world.members) world.kill(node);
  await world.run(4);
  for (const [node] of world.members) world.boot(node);
  await world.run(15);
  assert.equal(healthyMachines(world), MACHINES, 'all are back within two leases');
  assert.equal(world.starts.length, begun, 'nothing had to start again');
  for (const [node] of world.members) {
    for (const id of ['j-000001', ...Array.from({ length: SERVICES }, (_, at) => serviceId(at))]) {
      const reply = await awaitReply(world, world.poll(id, node));
      assert.deepEqual([reply.status, stageOf(reply)], [200, 'running'], `${id} at ${node}`);
    }
  }
  assert.equal(world.workers.size, MACHINES, 'none was returned');
  assert.deepEqual(world.violations, []);
});
