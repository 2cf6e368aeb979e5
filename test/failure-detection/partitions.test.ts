/** Controllers that lose one another or the key-value store, with failure detection: when roles fail over. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { RoleTenure } from '../../src/protocol/peer-messages.js';
import {
  playSuspicionCase,
  partition,
  roleTerms,
  type SuspicionCase,
} from '../world/failure-detection-case.js';
import type { World } from '../world/world.js';

const CONFIRMED = 'failure confirmed by a quorum';
const NOT_CONFIRMED_IN_TIME = 'not confirmed in time: by the state service alone';
const STEPPED_DOWN = 'stood down';
const REPLACED = 'a later process answers';

const nodes = (world: World): string[] => world.members.map(([name]) => name);

/** What names another term than n1's of its shard, or is sent by no member. */
const FOREIGN = [{ term: 7 }, { incarnation: 'x' }, { node: 'stranger' }];

function refusesToStepDown(world: World, requests: Partial<RoleTenure>[]): void {
  const tenure = { node: 'n0', role: 'part-n1', term: 1, incarnation: 'n1-2' };
  for (const fields of requests) {
    const message = { kind: 'stepDown' as const, ...tenure, ...fields };
    world.nodes.get('n1')?.node.receive(message, () => assert.fail(JSON.stringify(fields)));
  }
}

const ROWS: SuspicionCase[] = [
  {
    name: 'peers can not reach each other, the key-value store reaches all',
    keepsTerms: true,
    fault: async ({ world }) => {
      for (const name of nodes(world)) partition(world, [name]);
      await world.run(60);
      assert.equal(world.starts.length >= 18, true, `${world.starts.length} tasks started`);
      world.cutLinks.clear();
      await world.run(10);
    },
  },
  {
    name: 'two zones can not reach each other, the key-value store reaches both',
    keepsTerms: true,
    fault: async ({ world }) => {
      partition(world, ['n2']);
      await world.run(60);
      world.cutLinks.clear();
      await world.run(10);
    },
  },
  {
    name: 'a split, the key-value store reaches one half',
    reasons: [CONFIRMED],
    restarts: 8,
    fault: async ({ world }) => {
      partition(world, ['n2']);
      world.store.refusedControllers.add('n2');
      await world.run(60);
      assert.doesNotMatch(Object.values(roleTerms(world)).join(), /n2/);
      world.cutLinks.clear();
      world.store.refusedControllers.clear();
      await world.run(20);
    },
  },
  {
    name: 'a split, the key-value store reaches nobody',
    keepsTerms: true,
    fault: async ({ world }) => {
      partition(world, ['n2']);
      world.store.hasOutage = true;
      await world.run(25);
      world.store.endOutage();
      world.cutLinks.clear();
      await world.run(20);
    },
  },
  {
    name: 'a controller that the key-value store alone refuses steps down',
    reasons: [STEPPED_DOWN],
    fault: async ({ world, steppedDown }) => {
      world.store.refusedControllers.add('n1');
      // By now it would step down, if it were asked for its own term by a member.
      await world.run(4);
      refusesToStepDown(world, FOREIGN);
      await world.run(36);
      assert.ok(steppedDown.includes('n1 part-n1'), steppedDown.join());
      assert.doesNotMatch(Object.values(roleTerms(world)).join(), /n1 /);
      world.store.refusedControllers.clear();
      await world.run(20);
      assert.match(roleTerms(world)['part-n1'] ?? '', /^n1 /);
    },
  },
  {
    name: 'the answer of a controller that stepped down is lost: the wait ends',
    reasons: [NOT_CONFIRMED_IN_TIME],
    fault: async ({ world }) => {
      world.onPeerMessage = (message) =>
        message.kind === 'steppedDown' ? { ...message, role: 'lost' } : message;
      world.store.refusedControllers.add('n1');
      await world.run(40);
      assert.doesNotMatch(Object.values(roleTerms(world)).join(), /n1 /);
      world.store.refusedControllers.clear();
      await world.run(20);
    },
  },
  {
    name: 'back as a new process that the key-value store refuses',
    reasons: [REPLACED],
    fault: async ({ world }) => {
      world.kill('n1');
      world.store.refusedControllers.add('n1');
      world.boot('n1');
      await world.run(12);
      assert.doesNotMatch(Object.values(roleTerms(world)).join(), /n1 /);
      world.store.refusedControllers.clear();
      await world.run(20);
    },
  },
  {
    name: 'a controller that loses its registration again and again leaves its shard with another',
    fault: async ({ world }) => {
      const owners: string[] = [];
      for (let turn = 0; turn < 4; turn++) {
        world.store.refusedControllers.add('n1');
        await world.run(12);
        world.store.refusedControllers.clear();
        await world.run(8);
        owners.push(roleTerms(world)['part-n1']?.split(' ')[0] ?? '');
      }
      assert.equal(owners[0], 'n1');
      for (const owner of owners.slice(1)) assert.notEqual(owner, 'n1');
      await world.run(150);
      assert.match(roleTerms(world)['part-n1'] ?? '', /^n1 /);
    },
  },
  {
    name: 'what one controller sends another is lost',
    keepsTerms: true,
    fault: async ({ world }) => {
      world.oneWayLossyLinks.add('n0>n1');
      await world.run(40);
      world.oneWayLossyLinks.clear();
      await world.run(5);
    },
  },
  {
    name: 'a controller that stepped down and that nobody succeeds goes on under a new term',
    fault: async ({ world, steppedDown }) => {
      const before = Number(roleTerms(world)['part-n1']?.split(' ')[1]);
      world.onPeerMessage = (message) => {
        // From now on the key-value store serves this controller alone.
        if (message.kind === 'steppedDown') {
          for (const other of ['n0', 'n2']) world.store.refusedControllers.add(other);
          world.store.refusedControllers.delete('n1');
        }
        return message;
      };
      world.store.refusedControllers.add('n1');
      await world.run(14);
      world.onPeerMessage = (message) => message;
      world.store.refusedControllers.clear();
      await world.run(10);
      assert.ok(steppedDown.includes('n1 part-n1'));
      const [owner, term] = roleTerms(world)['part-n1']?.split(' ') ?? [];
      assert.equal(owner, 'n1');
      assert.ok(Number(term) > before);
    },
  },
  {
    name: 'a late request to step down reaches a controller that is registered',
    keepsTerms: true,
    fault: async ({ world }) => {
      refusesToStepDown(world, [{}, ...FOREIGN]);
      await world.run(10);
    },
  },
];

for (const row of ROWS) {
  test(`suspicion: ${row.name}`, async () => {
    for (const seed of [1, 2]) await playSuspicionCase(row, seed);
  });
}
