/** Tests when roles fail over from paused or ended controllers if failure detection is enabled. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { nodeKey } from '../../src/storage/keys.js';
import {
  runFailureDetectionCase,
  partition,
  roleTerms,
  worldWithFailureDetection,
  WITH_FAILURE_DETECTION,
  type FailureDetectionCase,
  type ObservedWorld,
} from '../world/failure-detection-case.js';
import type { World } from '../world/world.js';
import { restartController } from '../world/fault-steps.js';

const CONFIRMED = 'failure confirmed by a quorum';
const NOT_CONFIRMED_IN_TIME = 'not confirmed in time: by the state service alone';

const controllerNames = (world: World): string[] => world.members.map(([name]) => name);

const ROWS: FailureDetectionCase[] = [
  ...[1, 3].map((seconds) => ({
    name: `roles stay with a leader that is paused for ${seconds} s`,
    keepsTerms: true,
    fault: async ({ world }: ObservedWorld) => {
      world.pause(world.leader, seconds);
      await world.run(20);
    },
  })),
  {
    name: 'roles stay with a leader that is paused for 5 s until its lease expires',
    fault: async ({ world }) => {
      const { leader } = world;
      const before = roleTerms(world);
      world.pause(leader, 5);
      let hasExpired = false;
      for (let step = 0; step < 80; step++) {
        await world.run(0.25);
        if (!world.store.entries.has(nodeKey(leader))) hasExpired = true;
        if (!hasExpired) assert.deepEqual(roleTerms(world), before);
      }
    },
  },
  {
    name: 'the leader role fails over from a leader that is paused beyond its lease and resumed later',
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
    name: 'a shard fails over when its holder ends and does not restart',
    reasons: [CONFIRMED],
    fault: async ({ world }) => {
      world.kill('n2');
      await world.run(11);
      assert.doesNotMatch(roleTerms(world)['part-n2'] ?? '', /n2/);
      await world.run(20);
    },
  },
  {
    name: 'the only one of three controllers that is left gets all roles after a limited wait',
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
    name: 'no task starts again when each controller is restarted twice, down for 0.2 s each time',
    fault: async ({ world }) => {
      for (const name of [...controllerNames(world), ...controllerNames(world)]) {
        await restartController(world, name, 0.2);
        await world.run(4);
      }
    },
  },
  {
    name: 'each controller gets its own shard when all restart together',
    fault: async ({ world }) => {
      for (const name of controllerNames(world)) world.kill(name);
      await world.run(3);
      for (const name of controllerNames(world)) world.boot(name);
      await world.run(14);
      for (const [role, tenure] of Object.entries(roleTerms(world))) {
        if (role !== 'leader') assert.match(tenure, new RegExp(`^${role.slice(5)} `));
      }
    },
  },
  {
    name: 'no task starts again when detection is disabled and enabled on one controller after another',
    fault: async ({ world }) => {
      for (const settings of [{ suspicion: null }, WITH_FAILURE_DETECTION]) {
        for (const name of controllerNames(world)) {
          world.settingsFor = () => settings;
          await restartController(world, name, 3);
          await world.run(9);
        }
      }
    },
  },
  {
    name: 'a role fails over from a controller without failure detection when its lease expires',
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
    for (const seed of [1, 2]) await runFailureDetectionCase(row, seed);
  });
}

const shardsOf = (world: World, job: string): Set<string> => {
  const { replica } = world.nodes.get(world.leader)?.node ?? assert.fail('there is no leader');
  return new Set([...replica.assignmentsOf(job)].map(({ shard }) => shard));
};

test("suspicion: a suspected holder's shard keeps its tasks and gets no new ones for a limited time", async () => {
  const { world } = await worldWithFailureDetection(3);
  const machines = [...world.workers.keys()];
  world.pause('n2', 5);
  await world.run(2.6);
  void world.submit('j-000003', { tasks: 4, cpus: 1, team: 'wide', runS: 20 }, world.leader);
  await world.run(1.5);
  assert.ok(shardsOf(world, 'j-000003').size > 0);
  assert.ok(!shardsOf(world, 'j-000003').has('n2'));
  for (const machine of machines) assert.ok(world.workers.has(machine), `${machine} was returned`);
  // Peers that can't reach each other suspect each other until the partition ends.
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
