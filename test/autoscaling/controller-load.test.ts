/**
 * Guards against an overloaded controller. The only controller of a zone serves all machines of the
 * zone. It fell behind when it was the leader as well, and it would do so when more machines were
 * rented in its zone than in zones with several controllers.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { sortByControllerLoad, type Offer } from '../../src/coordination/autoscaling/offers.js';
import {
  orderForLeader,
  orderForShard,
  type Member,
} from '../../src/coordination/election/rendezvous-hashing.js';
import { LEADER } from '../../src/coordination/election/role-election.js';
import { World } from '../world/world.js';
import { TYPES } from '../world/settings.js';

const MEMBERS: Member[] = [
  { node: 'n0', zone: 'a' },
  { node: 'n1', zone: 'b' },
  { node: 'n2', zone: 'a' },
];

test('leader candidates: controllers that share their zone come before one that is alone in its zone', () => {
  assert.equal(orderForLeader(LEADER, MEMBERS, MEMBERS)[2], 'n1');
  const alone = MEMBERS.filter(({ node }) => node === 'n1');
  assert.deepEqual(orderForLeader(LEADER, alone, MEMBERS), ['n1']);
  const oneZone = MEMBERS.map(({ node }) => ({ node, zone: 'a' }));
  assert.deepEqual([...orderForLeader(LEADER, oneZone, oneZone)].sort(), ['n0', 'n1', 'n2']);
});

test('shard candidates: controllers in the zone of the preferred owner come first', () => {
  for (const [preferredOwner, last] of [
    [{ node: 'n0', zone: 'a' }, 'n1'],
    [{ node: 'n2', zone: 'a' }, 'n1'],
  ] as const) {
    assert.equal(orderForShard('part', preferredOwner, MEMBERS)[2], last);
  }
  const [first] = orderForShard('part', { node: 'n1', zone: 'b' }, MEMBERS);
  assert.equal(first, 'n1');
});

for (const seed of [1, 2, 3]) {
  test(`all controllers start at once: one that shares its zone leads, seed ${seed}`, async () => {
    const world = new World(seed, [
      ['n0', 'a'],
      ['n1', 'b'],
      ['n2', 'a'],
    ]);
    await world.run(6);
    const leaders = world.members.filter(([name]) => world.nodes.get(name)?.node.leader);
    assert.equal(leaders.length, 1);
    assert.notEqual(leaders[0]?.[0], 'n1');
  });
}

test('the only running controller leads within 6 s, even if it is alone in its zone', async () => {
  const world = new World(4, [
    ['n0', 'a'],
    ['n1', 'b'],
    ['n2', 'a'],
  ]);
  world.kill('n0');
  world.kill('n2');
  await world.run(6);
  assert.ok(world.nodes.get('n1')?.node.leader);
});

const [TYPE = assert.fail()] = TYPES;
const offer = (zone: string, price = 1, spot = false): Offer => ({ type: TYPE, zone, spot, price });
const fleet = (a: number, b: number): { zone: string }[] => [
  ...new Array<{ zone: string }>(a).fill({ zone: 'a' }),
  ...new Array<{ zone: string }>(b).fill({ zone: 'b' }),
];

for (const [name, machines, zones] of [
  ['an empty fleet keeps the given order', fleet(0, 0), ['b', 'a']],
  [
    'as many machines in both zones put the zone with two controllers first',
    fleet(30, 30),
    ['a', 'b'],
  ],
  ['as many machines per controller keep the given order', fleet(60, 30), ['b', 'a']],
  [
    'more machines per controller put the zone with two controllers last',
    fleet(70, 30),
    ['b', 'a'],
  ],
  [
    'fewer machines per controller put the zone with two controllers first',
    fleet(59, 30),
    ['a', 'b'],
  ],
] as const) {
  test(`offers are sorted by machines per controller in their zones: ${name}`, () => {
    const offers = sortByControllerLoad([offer('b'), offer('a')], machines, MEMBERS);
    assert.deepEqual(
      offers.map(({ zone }) => zone),
      zones,
    );
  });
}
