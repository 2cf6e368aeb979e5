/**
 * The failure detector in simulated time, with faults of members and of the network. Guards against a
 * live member that is detected as failed because of a short pause, delayed or lost messages, against a
 * crashed member that is not detected, and against message rates that grow with the member count.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { MemberState } from '@mothbank/failure-detector';
import { DetectorNetwork, type Delivery } from '../world/detector-network.js';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
const named = (count: number): string[] =>
  Array.from({ length: count }, (_, number) => `m${number}`);
/** Simulated time, in seconds, that passes before the fault or the measurement. */
const SETTLE_S = 12;

interface FaultCase {
  name: string;
  members?: number;
  fault: (network: DetectorNetwork) => Promise<void>;
  /** By member: states that observers may change it to after the fault; by default only `alive`. */
  allowed: Record<string, MemberState[]>;
  /** By member: states that at least one observer must have seen. */
  seen?: Record<string, MemberState[]>;
  /** By member: its state for all observers at the end. */
  atEnd?: Record<string, MemberState>;
}

/** Delays of 150 to 400 ms for messages from and to some members. */
const slowed =
  (names: string[], network: DetectorNetwork) =>
  ({ from, to }: Delivery): number =>
    names.includes(from) || names.includes(to) ? 150 + 250 * network.randomFraction() : 2;

const lostOneWay =
  (from: string, to: string) =>
  (delivery: Delivery): number | null =>
    delivery.from === from && delivery.to === to ? null : 2;

const lostBetween =
  (left: string[], right: string[]) =>
  ({ from, to }: Delivery): number | null =>
    (left.includes(from) && right.includes(to)) || (right.includes(from) && left.includes(to))
      ? null
      : 2;

const FAULT_CASES: FaultCase[] = [
  ...[1, 3].map((seconds) => ({
    name: `a member whose event loop is blocked for ${seconds} s is suspected at most`,
    fault: async (network: DetectorNetwork) => {
      network.pause('m1', seconds);
      await network.run(20);
    },
    allowed: { m1: ['suspect', 'alive'] as MemberState[] },
    atEnd: { m1: 'alive' as const },
  })),
  {
    name: 'a member whose event loop is blocked for 5 s is suspected and refutes it',
    fault: async (network) => {
      network.pause('m1', 5);
      await network.run(20);
    },
    allowed: { m1: ['suspect', 'alive'] },
    seen: { m1: ['suspect', 'alive'] },
    atEnd: { m1: 'alive' },
  },
  {
    name: 'a member whose event loop is blocked for 10 s is detected as failed, and is alive afterwards',
    fault: async (network) => {
      network.pause('m1', 10);
      await network.run(25);
    },
    allowed: { m1: ['suspect', 'failed', 'alive'] },
    seen: { m1: ['suspect', 'failed', 'alive'] },
    atEnd: { m1: 'alive' },
  },
  {
    name: 'a member whose messages are delayed for three minutes is suspected at most',
    fault: async (network) => {
      network.delayMs = slowed(['m2'], network);
      await network.run(180);
    },
    allowed: { m2: ['suspect', 'alive'] },
  },
  {
    name: 'two of three members whose messages are delayed are suspected at most',
    fault: async (network) => {
      network.delayMs = slowed(['m1', 'm2'], network);
      await network.run(120);
    },
    allowed: { m1: ['suspect', 'alive'], m2: ['suspect', 'alive'] },
  },
  {
    name: 'an observer that is paused repeatedly suspects no other member',
    members: 5,
    fault: async (network) => {
      for (let round = 0; round < 20; round++) {
        network.pause('m0', 2.5);
        await network.run(3);
      }
    },
    allowed: { m0: ['suspect', 'failed', 'alive'] },
  },
  {
    name: 'a member that one other member cannot reach is not suspected',
    fault: async (network) => {
      network.delayMs = lostOneWay('m0', 'm1');
      await network.run(60);
    },
    allowed: {},
  },
  {
    name: 'with a connection that fails and recovers repeatedly, no member is suspected',
    members: 4,
    fault: async (network) => {
      for (let round = 0; round < 30; round++) {
        network.delayMs = round % 2 === 0 ? lostBetween(['m0'], ['m1']) : () => 2;
        await network.run(1.5);
      }
      network.delayMs = () => 2;
      await network.run(10);
    },
    allowed: {},
  },
  {
    name: 'the halves of a network partition detect each other as failed, and as alive after it has healed',
    members: 4,
    fault: async (network) => {
      network.delayMs = lostBetween(['m0', 'm1'], ['m2', 'm3']);
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
    name: 'confirmations that are delivered again a minute later change nothing',
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
    name: 'a member that restarts at once is a new instance and is not suspected',
    fault: async (network) => {
      network.start('m1');
      await network.run(10);
      const transitions = network.transitions.filter(({ member }) => member === 'm1');
      assert.ok(transitions.some(({ reason }) => reason === 'new instance'));
    },
    allowed: { m1: ['alive'] },
    atEnd: { m1: 'alive' },
  },
  {
    name: 'late answers of the previous process do not replace the new instance',
    fault: async (network) => {
      network.delayMs = ({ from, message }) =>
        from === 'm1' && message.body.kind === 'ack' ? 6000 : 2;
      await network.run(2.2);
      network.start('m1');
      network.delayMs = () => 2;
      await network.run(15);
      const replacements = network.transitions.filter(({ reason }) => reason === 'new instance');
      assert.deepEqual(replacements.map(({ observer }) => observer).sort(), ['m0', 'm2']);
    },
    allowed: { m1: ['suspect', 'alive'] },
    atEnd: { m1: 'alive' },
  },
  {
    name: 'when all members restart together, none is suspected',
    members: 5,
    fault: async (network) => {
      for (const name of network.names) network.start(name);
      await network.run(10);
    },
    allowed: {},
  },
  {
    name: 'when the wall clock jumps by an hour, no member is suspected',
    fault: async (network) => {
      network.wallOffsetMs = 3_600_000;
      await network.run(10);
      network.wallOffsetMs = -3_600_000;
      await network.run(10);
    },
    allowed: {},
  },
  {
    name: 'a member that crashed is detected as failed by all others',
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

for (const { name, members = 3, fault, allowed, seen = {}, atEnd = {} } of FAULT_CASES) {
  test(`failure detector: ${name}`, async () => {
    for (const seed of SEEDS) {
      const network = new DetectorNetwork(named(members), seed);
      await network.run(SETTLE_S);
      const from = network.transitions.length;
      await fault(network);
      const since = network.transitions.slice(from);
      for (const { member, observer, to } of since) {
        const states = allowed[member] ?? ['alive'];
        assert.ok(states.includes(to), `seed ${seed}: ${member} ${to} for ${observer}`);
      }
      for (const [member, states] of Object.entries(seen)) {
        const seenStates = new Set(
          since.filter((one) => one.member === member).map(({ to }) => to),
        );
        for (const state of states)
          assert.ok(seenStates.has(state), `seed ${seed}: never ${state}`);
      }
      for (const [member, state] of Object.entries(atEnd)) {
        for (const observer of network.detectors.keys()) {
          if (observer !== member) assert.equal(network.state(observer, member), state);
        }
      }
    }
  });
}

test('failure detector: with any number of members, each one sends few messages a second', async () => {
  for (const count of [3, 9, 31, 63]) {
    const network = new DetectorNetwork(named(count), 1);
    await network.run(SETTLE_S);
    const before = network.sent.length;
    await network.run(20);
    const perMember = (network.sent.length - before) / count / 20;
    // Each member sends one ping and one answer a second.
    assert.ok(perMember <= 2.1, `${count} members: ${perMember} messages a second each`);
    network.kill('m1');
    const from = network.sent.length;
    await network.run(10);
    const perMemberAfterCrash = (network.sent.length - from) / count / 10;
    assert.ok(
      perMemberAfterCrash <= 12,
      `${count} members, one crashed: ${perMemberAfterCrash} messages a second each`,
    );
  }
});
