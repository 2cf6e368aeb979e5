/**
 * Controllers that have lost the key-value store or their peers. Guards against answers that come
 * after users have timed out, and against controllers that stay ready although they can serve
 * nobody.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Reply } from '../world/jobs.js';
import { SERVICE, submit } from '../world/overlapping-faults.js';
import { World } from '../world/world.js';

/** ms; how long users wait for the answer to a poll, and to a submission or cancellation. */
const POLL_MS = 2000;
const CHANGE_MS = 5000;

/** A fault of controller n0, and how requests to it must be answered. */
interface LossCase {
  name: string;
  /** Lets controller n0 lose what `name` says. */
  lose: (world: World) => void;
  /** Whether requests are served, by n0 or through it by a peer. */
  isServed: boolean;
  /** Whether n0 is ready for users 5 s after the loss, and 20 s after it. */
  isReady: [boolean, boolean];
  /** ms within which a submission must be answered, if less than users wait. */
  submittedMs?: number;
}

const PEERS = ['n1', 'n2'];
const loseStore = (world: World): void => void world.store.refusedControllers.add('n0');
const losePeers = (world: World): void => {
  for (const peer of PEERS) world.cutLinks.add(`n0>${peer}`);
};

const LOSSES: LossCase[] = [
  { name: 'the key-value store', lose: loseStore, isServed: true, isReady: [true, true] },
  {
    name: 'the key-value store, while its first peer is paused',
    lose: (world) => {
      loseStore(world);
      world.pause('n1', 60);
    },
    isServed: true,
    isReady: [true, true],
  },
  {
    name: 'the key-value store, while a peer drops what it is sent',
    lose: (world) => {
      loseStore(world);
      world.lossyLinks.add('n0>n1');
    },
    isServed: true,
    isReady: [true, true],
  },
  {
    name: 'the key-value store and its peers',
    lose: (world) => {
      loseStore(world);
      losePeers(world);
    },
    isServed: false,
    isReady: [false, false],
  },
  {
    name: 'the key-value store and its peers, unnoticed',
    lose: (world) => {
      loseStore(world);
      for (const peer of PEERS) world.lossyLinks.add(`n0>${peer}`);
    },
    isServed: false,
    isReady: [false, false],
  },
  {
    name: 'the key-value store and its peers, and nothing answers',
    lose: (world) => {
      world.store.unansweredControllers.add('n0');
      for (const peer of PEERS) world.lossyLinks.add(`n0>${peer}`);
    },
    isServed: false,
    // It stays ready until its requests to the store, and then those to its peers, have timed out.
    isReady: [true, false],
  },
  { name: 'its peers', lose: losePeers, isServed: true, isReady: [true, true] },
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

/** Returns the reply to a request, and the time in ms that it took. */
async function timed(world: World, request: Promise<Reply>): Promise<{ reply: Reply; ms: number }> {
  const startedAt = world.clock.now();
  const answered = request.then((reply) => ({ reply, ms: world.clock.now() - startedAt }));
  await world.run(8);
  return answered;
}

// Peers were asked one after the other, each for 2.5 s, so that with one paused peer no poll was
// answered in the 2 s that users wait. A controller that had lost the key-value store and its peers
// stayed ready, so that all requests of its users failed until it reached the store or a peer
// again.
test('degraded controllers: after each loss, requests are answered in time and readiness is right', async () => {
  const failures: string[] = [];
  for (const { name, lose, isServed, isReady, submittedMs = CHANGE_MS } of LOSSES) {
    const world = new World(41);
    world.addMachine('small', 'a', false, 500);
    await world.run(7);
    await submit(world, 'j-000001', { ...SERVICE, tasks: 1 }, 'n2');
    await world.run(5);
    lose(world);
    const readiness: boolean[] = [];
    const isReadyNow = (): boolean => world.nodes.get('n0')?.node.isReady ?? false;
    world.clock.after(5000, () => readiness.push(isReadyNow()));
    world.clock.after(20_000, () => readiness.push(isReadyNow()));
    await world.run(2);
    const requests: [string, number, Promise<Reply>][] = [
      ['poll', POLL_MS, world.poll('j-000001')],
      ['repeat', CHANGE_MS, world.submit('j-000001', SERVICE)],
      ['submission', submittedMs, world.submit('j-000002', { tasks: 1 })],
    ];
    const replies = await Promise.all(
      requests.map(async ([kind, limitMs, request]) => ({
        kind,
        limitMs,
        ...(await timed(world, request)),
      })),
    );
    for (const { kind, limitMs, reply, ms } of replies) {
      const isGood = isServed ? reply.status < 300 : reply.status === 503;
      if (!isGood || ms > limitMs) failures.push(`${name}: ${kind} ${reply.status} after ${ms} ms`);
    }
    // Users with an open connection continue to send requests.
    for (let attempt = 0; attempt < 5; attempt++) {
      const { ms } = await timed(world, world.poll('j-000001'));
      if (ms > POLL_MS) failures.push(`${name}: later poll after ${ms} ms`);
    }
    if (String(readiness) !== String(isReady)) failures.push(`${name}: ready ${String(readiness)}`);
    world.store.refusedControllers.clear();
    world.store.unansweredControllers.clear();
    world.store.endOutage();
    await world.run(10);
    if (!isReadyNow()) failures.push(`${name}: not ready again`);
    assert.deepEqual(world.violations, [], name);
  }
  assert.deepEqual(failures, []);
});

test('degraded controllers: a single controller stays ready in an outage of the store', async () => {
  const world = new World(42, [['n0', 'a']]);
  await world.run(7);
  world.store.hasOutage = true;
  await world.run(10);
  assert.equal(world.nodes.get('n0')?.node.isReady, true);
});

// What a controller read before a pause may be outdated, since jobs may have been accepted
// meanwhile.
test('degraded controllers: requests that were pending when a controller was paused get 503', async () => {
  const world = new World(43);
  world.addMachine('small', 'a', false, 500);
  await world.run(7);
  const requests = [
    world.poll('j-000009'),
    world.submit('j-000010', {}, 'n0', { gpus: undefined }),
    world.submit('j-000011', {}, 'n0', { crew: 'nobody' }),
    world.cancel('j-000012'),
  ];
  // At this time its requests to the key-value store are in flight.
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
  for (const peer of PEERS) world.lossyLinks.add(`n0>${peer}`);
  await world.run(3);
  await timed(world, world.poll('j-000009'));
  assert.equal(world.nodes.get('n0')?.node.isReady, false);
  world.lossyLinks.delete('n0>n2');
  await world.run(5);
  assert.equal(world.nodes.get('n0')?.node.isReady, true);
  assert.equal((await timed(world, world.poll('j-000009'))).reply.status, 404);
});
