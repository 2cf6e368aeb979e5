/** The failure detector in simulated time: who is suspected, who is found failed, and who refutes. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { MemberState } from '@mothbank/failure-detector';
import { DetectorNetwork, type Delivery } from '../world/detector-network.js';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
const named = (count: number): string[] =>
  Array.from({ length: count }, (_, number) => `m${number}`);
const SETTLE_S = 12;

interface Row {
  name: string;
  members?: number;
  fault: (network: DetectorNetwork) => Promise<void>;
  /** States that each member may take for any other, from the fault on. */
  allowed: Record<string, MemberState[]>;
  /** States that some observer must have seen, and how all look in the end. */
  seen?: Record<string, MemberState[]>;
  atEnd?: Record<string, MemberState>;
}

/** Slow answers of some members, each way. */
const slowed =
  (names: string[], network: DetectorNetwork) =>
  ({ from, to }: Delivery): number =>
    names.includes(from) || names.includes(to) ? 150 + 250 * network.random01() : 2;

const isOneWay =
  (from: string, to: string) =>
  (delivery: Delivery): number | null =>
    delivery.from === from && delivery.to === to ? null : 2;

const between =
  (left: string[], right: string[]) =>
  ({ from, to }: Delivery): number | null =>
    (left.includes(from) && right.includes(to)) || (right.includes(from) && left.includes(to))
      ? null
      : 2;

const ROWS: Row[] = [
  ...[1, 3].map((seconds) => ({
    name: `a member whose event loop is held ${seconds} s`,
    fault: async (network: DetectorNetwork) => {
      network.pause('m1', seconds);
      await network.run(20);
    },
    allowed: { m1: ['suspect', 'alive'] as MemberState[] },
    atEnd: { m1: 'alive' as const },
  })),
  {
    name: 'a member held 5 s is suspected at most, and refutes',
    fault: async (network) => {
      network.pause('m1', 5);
      await network.run(20);
    },
    allowed: { m1: ['suspect', 'alive'] },
    seen: { m1: ['suspect', 'alive'] },
    atEnd: { m1: 'alive' },
  },
  {
    name: 'a member held 10 s, and back',
    fault: async (network) => {
      network.pause('m1', 10);
      await network.run(25);
    },
    allowed: { m1: ['suspect', 'failed', 'alive'] },
    seen: { m1: ['suspect', 'failed', 'alive'] },
    atEnd: { m1: 'alive' },
  },
  {
    name: 'a member that is several times slower for minutes',
    fault: async (network) => {
      network.delayMs = slowed(['m2'], network);
      await network.run(180);
    },
    allowed: { m2: ['suspect', 'alive'] },
  },
  {
    name: 'two of three members are slow',
    fault: async (network) => {
      network.delayMs = slowed(['m1', 'm2'], network);
      await network.run(120);
    },
    allowed: { m1: ['suspect', 'alive'], m2: ['suspect', 'alive'] },
  },
  {
    name: 'an observer that is held again and again brings nobody down',
    members: 5,
    fault: async (network) => {
      for (let turn = 0; turn < 20; turn++) {
        network.pause('m0', 2.5);
        await network.run(3);
      }
    },
    allowed: { m0: ['suspect', 'failed', 'alive'] },
  },
  {
    name: 'what one member sends another is lost: others reach it',
    fault: async (network) => {
      network.delayMs = isOneWay('m0', 'm1');
      await network.run(60);
    },
    allowed: {},
  },
  {
    name: 'a link that flaps',
    members: 4,
    fault: async (network) => {
      for (let turn = 0; turn < 30; turn++) {
        network.delayMs = turn % 2 === 0 ? between(['m0'], ['m1']) : () => 2;
        await network.run(1.5);
      }
      network.delayMs = () => 2;
      await network.run(10);
    },
    allowed: {},
  },
  {
    name: 'a split in which each half suspects the other, healed',
    members: 4,
    fault: async (network) => {
      network.delayMs = between(['m0', 'm1'], ['m2', 'm3']);
      await network.run(20);
      network.delayMs = () => 2;
      await network.run(20);
    },
    allowed: Object.fromEntries(
      named(4).map((name) => [name, ['suspect', 'failed', 'alive'] as MemberState[]]),
    ),
    seen: { m0: ['failed', 'alive'], m3: ['failed', 'alive'] },
    atEnd: { m0: 'alive', m1: 'alive', m2: 'alive', m3: 'alive' },
  },
  {
    name: 'a whole round of confirmations comes once more, a minute late',
    members: 4,
    fault: async (network) => {
      network.pause('m1', 4);
      await network.run(12);
      const late = network.sent.filter(({ message }) =>
        message.updates.some(({ state }) => state === 'suspect'),
      );
      assert.ok(late.length > 0);
      const before = network.transitions.length;
      await network.run(60);
      for (const delivery of late) network.deliver(delivery);
      await network.run(10);
      assert.equal(network.transitions.length, before, 'late confirmations changed something');
    },
    allowed: { m1: ['suspect', 'alive'] },
    atEnd: { m1: 'alive' },
  },
  {
    name: 'back within an instant as a new process',
    fault: async (network) => {
      network.start('m1');
      await network.run(10);
      const reasons = network.transitions.filter(({ member }) => member === 'm1');
      assert.ok(reasons.some(({ reason }) => reason === 'new instance'));
    },
    allowed: { m1: ['alive'] },
    atEnd: { m1: 'alive' },
  },
  {
    name: 'answers of the process before come late',
    fault: async (network) => {
      network.delayMs = ({ from, message }) =>
        from === 'm1' && message.body.kind === 'ack' ? 6000 : 2;
      await network.run(2.2);
      network.start('m1');
      network.delayMs = () => 2;
      await network.run(15);
      const news = network.transitions.filter(({ reason }) => reason === 'new instance');
      assert.deepEqual(news.map(({ observer }) => observer).sort(), ['m0', 'm2']);
    },
    allowed: { m1: ['suspect', 'alive'] },
    atEnd: { m1: 'alive' },
  },
  {
    name: 'all restarted together',
    members: 5,
    fault: async (network) => {
      for (const name of network.names) network.start(name);
      await network.run(10);
    },
    allowed: {},
  },
  {
    name: 'the wall clock jumps',
    fault: async (network) => {
      network.wallOffsetMs = 3_600_000;
      await network.run(10);
      network.wallOffsetMs = -3_600_000;
      await network.run(10);
    },
    allowed: {},
  },
  {
    name: 'a member that is gone',
    members: 5,
    fault: async (network) => {
      network.kill('m3');
      await network.run(15);
    },
    allowed: { m3: ['suspect', 'failed'] },
    seen: { m3: ['suspect', 'failed'] },
    atEnd: { m3: 'failed' },
  },
];

for (const { name, members = 3, fault: trouble, allowed, seen = {}, atEnd = {} } of ROWS) {
  test(`failure detector: ${name}`, async () => {
    for (const seed of SEEDS) {
      const network = new DetectorNetwork(named(members), seed);
      await network.run(SETTLE_S);
      const from = network.transitions.length;
      await trouble(network);
      const since = network.transitions.slice(from);
      for (const { member, observer, to } of since) {
        const states = allowed[member] ?? ['alive'];
        assert.ok(states.includes(to), `seed ${seed}: ${member} ${to} for ${observer}`);
      }
      for (const [member, states] of Object.entries(seen)) {
        const got = new Set(since.filter((one) => one.member === member).map(({ to }) => to));
        for (const state of states) assert.ok(got.has(state), `seed ${seed}: never ${state}`);
      }
      for (const [member, state] of Object.entries(atEnd)) {
        for (const observer of network.detectors.keys()) {
          if (observer !== member) assert.equal(network.state(observer, member), state);
        }
      }
    }
  });
}

test('failure detector: at most so many messages a second, however many members there are', async () => {
  for (const count of [3, 9, 31, 63]) {
    const network = new DetectorNetwork(named(count), 1);
    await network.run(SETTLE_S);
    const before = network.sent.length;
    await network.run(20);
    const perMember = (network.sent.length - before) / count / 20;
    // A ping and an answer to one, each second.
    assert.ok(perMember <= 2.1, `${count} members: ${perMember} messages a second each`);
    network.kill('m1');
    const from = network.sent.length;
    await network.run(10);
    const most = (network.sent.length - from) / count / 10;
    assert.ok(most <= 12, `${count} members, one gone: ${most} messages a second each`);
  }
});
