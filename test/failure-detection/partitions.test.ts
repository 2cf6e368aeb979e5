/** Tests when roles fail over if controllers can't reach their peers or the key-value store. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { RoleTenure } from '../../src/protocol/peer-messages.js';
import {
  runFailureDetectionCase,
  partition,
  roleTerms,
  type FailureDetectionCase,
} from '../world/failure-detection-case.js';
import type { World } from '../world/world.js';

const CONFIRMED = 'failure confirmed by a quorum';
const NOT_CONFIRMED_IN_TIME = 'not confirmed in time: by the state service alone';
const STEPPED_DOWN = 'stood down';
const REPLACED = 'a later process answers';

const controllerNames = (world: World): string[] => world.members.map(([name]) => name);

/** Fields that make a step-down request to n1 invalid: a wrong term, process or sender. */
const MISMATCHES = [{ term: 7 }, { incarnation: 'x' }, { node: 'stranger' }];

/** Sends n1 step-down requests with these fields and fails if it confirms one of them. */
function assertStepDownIgnored(world: World, requests: Partial<RoleTenure>[]): void {
  const tenure = { node: 'n0', role: 'part-n1', term: 1, incarnation: 'n1-2' };
  for (const fields of requests) {
    const message = { kind: 'stepDown' as const, ...tenure, ...fields };
    world.nodes.get('n1')?.node.receive(message, () => assert.fail(JSON.stringify(fields)));
  }
}

const ROWS: FailureDetectionCase[] = [
  {
    name: 'no role fails over when no peer reaches another but all reach the key-value store',
    keepsTerms: true,
    fault: async ({ world }) => {
      for (const name of controllerNames(world)) partition(world, [name]);
      await world.run(60);
      assert.equal(world.starts.length >= 18, true, `${world.starts.length} tasks started`);
      world.cutLinks.clear();
      await world.run(10);
    },
  },
  {
    name: 'no role fails over when two zones are partitioned but both reach the key-value store',
    keepsTerms: true,
    fault: async ({ world }) => {
      partition(world, ['n2']);
      await world.run(60);
      world.cutLinks.clear();
      await world.run(10);
    },
  },
  {
    name: 'roles fail over from the side of a partition that does not reach the key-value store',
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
    name: 'no role fails over in a partition during an outage of the key-value store',
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
    name: 'a controller that reaches its peers but not the key-value store steps down',
    reasons: [STEPPED_DOWN],
    fault: async ({ world, steppedDown }) => {
      world.store.refusedControllers.add('n1');
      // By now n1 would step down if a member requested it for the current term.
      await world.run(4);
      assertStepDownIgnored(world, MISMATCHES);
      await world.run(36);
      assert.ok(steppedDown.includes('n1 part-n1'), steppedDown.join());
      assert.doesNotMatch(Object.values(roleTerms(world)).join(), /n1 /);
      world.store.refusedControllers.clear();
      await world.run(20);
      assert.match(roleTerms(world)['part-n1'] ?? '', /^n1 /);
    },
  },
  {
    name: 'roles fail over after a limited wait when the confirmation of a step-down is lost',
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
    name: 'roles fail over from an ended process when the key-value store refuses its successor',
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
    name: 'a controller that loses its registration repeatedly leaves its shard with another holder',
    fault: async ({ world }) => {
      const holders: string[] = [];
      for (let turn = 0; turn < 4; turn++) {
        world.store.refusedControllers.add('n1');
        await world.run(12);
        world.store.refusedControllers.clear();
        await world.run(8);
        holders.push(roleTerms(world)['part-n1']?.split(' ')[0] ?? '');
      }
      assert.equal(holders[0], 'n1');
      for (const holder of holders.slice(1)) assert.notEqual(holder, 'n1');
      await world.run(150);
      assert.match(roleTerms(world)['part-n1'] ?? '', /^n1 /);
    },
  },
  {
    name: 'no role fails over when messages from one controller to another are lost',
    keepsTerms: true,
    fault: async ({ world }) => {
      world.oneWayLossyLinks.add('n0>n1');
      await world.run(40);
      world.oneWayLossyLinks.clear();
      await world.run(5);
    },
  },
  {
    name: 'a controller whose role no other claims after its step-down continues under a new term',
    fault: async ({ world, steppedDown }) => {
      const before = Number(roleTerms(world)['part-n1']?.split(' ')[1]);
      world.onPeerMessage = (message) => {
        // From now on the key-value store serves only n1, which has stepped down.
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
      const [holder, term] = roleTerms(world)['part-n1']?.split(' ') ?? [];
      assert.equal(holder, 'n1');
      assert.ok(Number(term) > before);
    },
  },
  {
    name: 'a registered controller ignores a late step-down request',
    keepsTerms: true,
    fault: async ({ world }) => {
      assertStepDownIgnored(world, [{}, ...MISMATCHES]);
      await world.run(10);
    },
  },
];

for (const row of ROWS) {
  test(`suspicion: ${row.name}`, async () => {
    for (const seed of [1, 2]) await runFailureDetectionCase(row, seed);
  });
}
