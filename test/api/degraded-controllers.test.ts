/** Controllers that serve users and can't decide alone: each request is answered in time, by one that can. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Reply } from '../world/jobs.js';
import { SERVICE, submit } from '../world/overlapping-faults.js';
import { World } from '../world/world.js';

/** ms that users wait for answers. */
const POLL_MS = 2000;
const CHANGE_MS = 5000;

interface UnableNode {
  name: string;
  /** What controller n0 loses. */
  lose: (world: World) => void;
  /** Its peers answer for it. */
  isServed: boolean;
  /** It takes users after 5 s, and after 20 s. */
  isReady: [boolean, boolean];
  /** ms within which a submission is answered, if sooner than users wait. */
  submittedMs?: number;
}

const others = ['n1', 'n2'];
const refused = (world: World): void => void world.store.refusedControllers.add('n0');
const cutPeers = (world: World): void => {
  for (const peer of others) world.cutLinks.add(`n0>${peer}`);
};

const UNABLE: UnableNode[] = [
  { name: 'the key-value store', lose: refused, isServed: true, isReady: [true, true] },
  {
    name: 'the key-value store, while its first peer is paused',
    lose: (world) => {
      refused(world);
      world.pause('n1', 60);
    },
    isServed: true,
    isReady: [true, true],
  },
  {
    name: 'the key-value store, while a peer drops what it is sent',
    lose: (world) => {
      refused(world);
      world.lossyLinks.add('n0>n1');
    },
    isServed: true,
    isReady: [true, true],
  },
  {
    name: 'the key-value store and its peers',
    lose: (world) => {
      refused(world);
      cutPeers(world);
    },
    isServed: false,
    isReady: [false, false],
  },
  {
    name: 'the key-value store and its peers, unnoticed',
    lose: (world) => {
      refused(world);
      for (const peer of others) world.lossyLinks.add(`n0>${peer}`);
    },
    isServed: false,
    isReady: [false, false],
  },
  {
    name: 'the key-value store and its peers, and nothing answers',
    lose: (world) => {
      world.store.unansweredControllers.add('n0');
      for (const peer of others) world.lossyLinks.add(`n0>${peer}`);
    },
    isServed: false,
    // It takes until its requests are given up, and then those to its peers.
    isReady: [true, false],
  },
  { name: 'its peers', lose: cutPeers, isServed: true, isReady: [true, true] },
  {
    name: 'the key-value store, as all do',
    lose: (world) => {
      world.store.hasOutage = true;
    },
    isServed: false,
    isReady: [true, true],
    submittedMs: 100,
  },
];

/** The answer to a request, and the ms that it took. */
async function timed(world: World, request: Promise<Reply>): Promise<{ reply: Reply; ms: number }> {
  const from = world.clock.now();
  const answered = request.then((reply) => ({ reply, ms: world.clock.now() - from }));
  await world.run(8);
  return answered;
}

// Peers were asked one after the other, each for 2.5 s: behind one that was paused no poll was answered
// in the 2 s that users wait. And a controller that had lost the key-value store and its peers went on taking
// users, whose every question failed as long as it lasted.
test('degraded controllers: each request is answered in time, and users are accepted only if one can be', async () => {
  const wrong: string[] = [];
  for (const { name, lose, isServed, isReady, submittedMs = CHANGE_MS } of UNABLE) {
    const world = new World(41);
    world.addMachine('small', 'a', false, 500);
    await world.run(7);
    await submit(world, 'j-000001', { ...SERVICE, tasks: 1 }, 'n2');
    await world.run(5);
    lose(world);
    const seen: boolean[] = [];
    const node = (): boolean => world.nodes.get('n0')?.node.isReady ?? false;
    world.clock.after(5000, () => seen.push(node()));
    world.clock.after(20_000, () => seen.push(node()));
    await world.run(2);
    const answers: [string, number, Promise<Reply>][] = [
      ['poll', POLL_MS, world.poll('j-000001')],
      ['repeat', CHANGE_MS, world.submit('j-000001', SERVICE)],
      ['submission', submittedMs, world.submit('j-000002', { tasks: 1 })],
    ];
    const replies = await Promise.all(
      answers.map(async ([ask, most, request]) => ({
        ask,
        most,
        ...(await timed(world, request)),
      })),
    );
    for (const { ask, most, reply, ms } of replies) {
      const isGood = isServed ? reply.status < 300 : reply.status === 503;
      if (!isGood || ms > most) wrong.push(`${name}: ${ask} ${reply.status} after ${ms} ms`);
    }
    // Users who hold a connection go on asking.
    for (let turn = 0; turn < 5; turn++) {
      const { ms } = await timed(world, world.poll('j-000001'));
      if (ms > POLL_MS) wrong.push(`${name}: later poll after ${ms} ms`);
    }
    if (String(seen) !== String(isReady)) wrong.push(`${name}: ready ${String(seen)}`);
    world.store.refusedControllers.clear();
    world.store.unansweredControllers.clear();
    world.store.endOutage();
    await world.run(10);
    if (!node()) wrong.push(`${name}: not ready again`);
    assert.deepEqual(world.violations, [], name);
  }
  assert.deepEqual(wrong, []);
});

test('degraded controllers: a single controller stays ready in an outage', async () => {
  const world = new World(42, [['n0', 'a']]);
  await world.run(7);
  world.store.hasOutage = true;
  await world.run(10);
  assert.equal(world.nodes.get('n0')?.node.isReady, true);
});

// What it read before the pause may be out of date: the job may have been accepted since.
test('degraded controllers: a controller that was paused gives no answer from before the pause', async () => {
  const world = new World(43);
  world.addMachine('small', 'a', false, 500);
  await world.run(7);
  const requests = [
    world.poll('j-000009'),
    world.submit('j-000010', {}, 'n0', { gpus: undefined }),
    world.submit('j-000011', {}, 'n0', { crew: 'nobody' }),
    world.cancel('j-000012'),
  ];
  // Its questions to the key-value store are under way.
  await world.clock.run(world.clock.now() + 18);
  world.pause('n0', 20);
  await world.run(25);
  const statuses = (await Promise.all(requests)).map(({ status }) => status);
  assert.deepEqual(statuses, [503, 503, 503, 503]);
});

test('degraded controllers: a controller is ready again once a peer replies again', async () => {
  const world = new World(44);
  world.addMachine('small', 'a', false, 500);
  await world.run(7);
  world.store.refusedControllers.add('n0');
  for (const peer of others) world.lossyLinks.add(`n0>${peer}`);
  await world.run(3);
  await timed(world, world.poll('j-000009'));
  assert.equal(world.nodes.get('n0')?.node.isReady, false);
  world.lossyLinks.delete('n0>n2');
  await world.run(5);
  assert.equal(world.nodes.get('n0')?.node.isReady, true);
  assert.equal((await timed(world, world.poll('j-000009'))).reply.status, 404);
});
