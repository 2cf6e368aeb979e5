/**
 * Tests that each number of a term is allocated once, and that a holder gets a new term in time.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FENCING_TOKENS_PER_TERM } from '../../src/constants/election.js';
import { TermNumbers } from '../../src/coordination/election/term-numbers.js';
import { shardRole } from '../../src/coordination/election/role-election.js';
import { roleKey } from '../../src/storage/keys.js';
import type { RoleRecord } from '../../src/storage/records.js';
import { awaitReply } from '../world/await-reply.js';
import { World } from '../world/world.js';

test('a term allocates each of its numbers once and none of the next term', () => {
  const numbers = new TermNumbers(700, 10);
  const allocated = [1, 2, 3, 4].map(() => numbers.next());
  assert.deepEqual(allocated, [701, 702, 703, 704]);
  assert.equal(numbers.isRunningOut, false);
  assert.equal(numbers.next(), 705);
  assert.equal(numbers.isRunningOut, true);
  for (let left = 4; left > 0; left--) assert.ok(numbers.next() < 710);
  assert.throws(() => numbers.next(), /used up/);
});

const termOf = (world: World, role: string): number =>
  (world.store.entries.get(roleKey(role))?.value as RoleRecord).term;

// Guards against numbers that are used twice. 4,000 machines use up the attempt numbers of a
// shard's term in some hours, and the shard then used those of the next shard. A machine that ran
// for weeks reached the fencing tokens of the next term.
for (const cutS of [0, 10, 40]) {
  test(`a shard gets a new term before its numbers are used up, with machines cut off for ${cutS} s`, async () => {
    const world = new World(5);
    for (const zone of ['a', 'a', 'b', 'b']) world.addMachine('small', zone, false, 500);
    await world.run(8);
    await awaitReply(world, world.submit('j-000001', { tasks: 8, runS: 400, team: 'blue' }));
    await world.run(30);
    const starts = world.starts.length;
    assert.equal(starts, 8);
    const busy = world.members.find(([name]) => {
      return (world.nodes.get(name)?.node.heldShards.get(name)?.machines.all.size ?? 0) > 0;
    });
    const [name = assert.fail('no shard has machines')] = busy ?? [];
    const holder = world.nodes.get(name)?.node;
    const shard = holder?.heldShards.get(name);
    const [machine] = shard?.machines.all.values() ?? [];
    assert.ok(shard && machine);
    const roles = world.members.map(([node]) => shardRole(node));
    const before = roles.map((role) => termOf(world, role));
    while (!shard.needsTermRenewal) shard.machines.fencingTokens.raise(machine);
    assert.ok(machine.fencingOffset < FENCING_TOKENS_PER_TERM);
    for (const [node] of world.members) {
      for (const worker of world.workers.keys())
        if (cutS > 0) world.cutLinks.add(`${node}>${worker}`);
    }
    await world.run(cutS);
    world.cutLinks.clear();
    await world.run(20);
    const after = roles.map((role) => termOf(world, role));
    const expected = roles.map((role, at) => (before[at] ?? 0) + Number(role === shardRole(name)));
    assert.deepEqual(after, expected, 'only the role of this shard has a new term');
    const renewed = holder?.heldShards.get(name);
    assert.ok(renewed && renewed !== shard && !renewed.needsTermRenewal);
    await world.run(60);
    assert.deepEqual(world.violations, []);
    if (cutS < 20) assert.equal(world.starts.length, starts, 'no task was restarted');
  });
}
