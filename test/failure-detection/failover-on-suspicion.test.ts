/** Controllers that are paused or end, with failure detection between them: when roles fail over. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  playSuspicionCase,
  partition,
  roleTerms,
  worldWithFailureDetection,
  WITH_FAILURE_DETECTION,
  type SuspicionCase,
  type ObservedWorld,
} from '../world/failure-detection-case.js';
import type { World } from '../world/world.js';
import { restartController } from '../world/fault-steps.js';

const CONFIRMED = 'failure confirmed by a quorum';
const NOT_CONFIRMED_IN_TIME = 'not confirmed in time: by the state service alone';

const nodes = (world: World): string[] => world.members.map(([name]) => name);

const ROWS: SuspicionCase[] = [
  ...[1, 3].map((seconds) => ({
    name: `the leader is paused for ${seconds} s`,
    keepsTerms: true,
    fault: async ({ world }: ObservedWorld) => {
      world.pause(world.leader, seconds);
      await world.run(20);
    },
  })),
  {
    name: 'the leader is paused for 5 s: its roles are kept as long as its lease holds',
    fault: async ({ world }) => {
      const { leader } = world;
      const before = roleTerms(world);
      world.pause(leader, 5);
      let lapsed = false;
      for (let step = 0; step < 80; step++) {
        await world.run(0.25);
        if (!world.store.entries.has(`n/${leader}`)) lapsed = true;
        if (!lapsed) assert.deepEqual(roleTerms(world), before);
      }
    },
  },
  {
    name: 'the leader is frozen beyond its lease, and thawed later',
    reasons: [CONFIRMED],
    fault: async ({ world }) => {
      const { leader } = world;
      world.pause(leader, 30);
      await world.run(20);
      assert.notEqual(world.leader, leader);
      await world.run(30);
    },
  },
  {
    name: 'a controller is gone for good',
    reasons: [CONFIRMED],
    fault: async ({ world }) => {
      world.kill('n2');
      await world.run(11);
      assert.doesNotMatch(roleTerms(world)['part-n2'] ?? '', /n2/);
      await world.run(20);
    },
  },
  {
    name: 'one survivor of three',
    reasons: [NOT_CONFIRMED_IN_TIME],
    fault: async ({ world }) => {
      world.kill('n1');
      world.kill('n2');
      await world.run(14);
      for (const tenure of Object.values(roleTerms(world))) assert.match(tenure, /^n0 /);
      await world.run(20);
      for (const name of ['n1', 'n2']) world.boot(name);
      await world.run(20);
    },
  },
  {
    name: 'back in an instant, again and again',
    fault: async ({ world }) => {
      for (const name of [...nodes(world), ...nodes(world)]) {
        await restartController(world, name, 0.2);
        await world.run(4);
      }
    },
  },
  {
    name: 'all restarted together',
    fault: async ({ world }) => {
      for (const name of nodes(world)) world.kill(name);
      await world.run(3);
      for (const name of nodes(world)) world.boot(name);
      await world.run(14);
      for (const [role, tenure] of Object.entries(roleTerms(world))) {
        if (role !== 'leader') assert.match(tenure, new RegExp(`^${role.slice(5)} `));
      }
    },
  },
  {
    name: 'switched on controller by controller and off again',
    fault: async ({ world }) => {
      for (const settings of [{ suspicion: null }, WITH_FAILURE_DETECTION]) {
        for (const name of nodes(world)) {
          world.settingsFor = () => settings;
          await restartController(world, name, 3);
          await world.run(9);
        }
      }
    },
  },
  {
    name: 'a controller without failure detection is judged by the key-value store alone',
    reasons: ['the holder never answered a probe'],
    fault: async ({ world, records }) => {
      world.settingsFor = () => ({ suspicion: null });
      await restartController(world, 'n2', 3);
      world.kill('n0');
      world.kill('n1');
      world.settingsFor = () => WITH_FAILURE_DETECTION;
      await world.run(3);
      world.boot('n0');
      world.boot('n1');
      await world.run(15);
      records.length = 0;
      world.kill('n2');
      await world.run(8);
      assert.doesNotMatch(roleTerms(world)['part-n2'] ?? '', /n2/);
    },
  },
];

for (const row of ROWS) {
  test(`suspicion: ${row.name}`, async () => {
    for (const seed of [1, 2]) await playSuspicionCase(row, seed);
  });
}

const shardsOf = (world: World, job: string): Set<string> => {
  const { replica } = world.nodes.get(world.leader)?.node ?? assert.fail('nobody leads');
  return new Set([...replica.assignmentsOf(job)].map(({ shard }) => shard));
};

test("suspicion: a suspected owner's shard gets no new work, keeps what it runs, and only for a while", async () => {
  const { world } = await worldWithFailureDetection(3);
  const machines = [...world.workers.keys()];
  world.pause('n2', 5);
  await world.run(2.6);
  void world.submit('j-000003', { tasks: 4, cpus: 1, team: 'wide', runS: 20 }, world.leader);
  await world.run(1.5);
  assert.ok(shardsOf(world, 'j-000003').size > 0);
  assert.ok(!shardsOf(world, 'j-000003').has('n2'));
  for (const machine of machines) assert.ok(world.workers.has(machine), `${machine} was returned`);
  // Peers that can't reach each other suspect each other for as long as that lasts.
  await world.run(20);
  partition(world, ['n2']);
  await world.run(12);
  void world.submit('j-000004', { tasks: 2, cpus: 1, team: 'wide', zone: 'b', runS: 20 }, 'n0');
  await world.run(8);
  assert.ok(shardsOf(world, 'j-000004').has('n2'));
  world.cutLinks.clear();
  await world.run(60);
  assert.deepEqual(world.violations, []);
});
