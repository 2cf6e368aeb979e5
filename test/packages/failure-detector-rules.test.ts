/**
 * The failure detector's quorum, verdicts, time-outs and message checks. Guards against a controller that
 * counts as failed without enough independent evidence, and against invalid messages that have an effect.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  FailureDetector,
  quorumOf,
  Suspicion,
  verdictOf,
  type DetectorMessage,
  type DropReason,
  type MemberUpdate,
  type VerdictInput,
} from '@mothbank/failure-detector';
import { MAX_DETECTOR_MESSAGE_BYTES } from '../../src/constants/protocol.js';
import { decodeDetectorMessage, encodeDetectorMessage } from '../../src/protocol/detector-codec.js';
import { DetectorNetwork, TIMING } from '../world/detector-network.js';

test('quorum: with 1 to 63 members, it is a majority of the others and at most three', () => {
  const expected = new Map([
    [1, 0],
    [2, 1],
    [3, 2],
    [4, 2],
    [5, 3],
    [6, 3],
    [63, 3],
  ]);
  for (const [members, quorum] of expected) assert.equal(quorumOf(members), quorum);
  for (let members = 1; members <= 63; members++) assert.ok(quorumOf(members) <= members - 1);
});

test('suspicion: its time-out shortens with each new witness, and a repeated witness does not count', () => {
  const timing = { leastMs: 1000, mostMs: 5000, expectedConfirmations: 2 };
  const suspicion = new Suspicion(0, 100, timing);
  const ends: number[] = [];
  const isNew: boolean[] = [];
  for (const witness of ['a', 'a', 'b', 'b', 'c', 'd']) {
    isNew.push(suspicion.confirm(witness));
    ends.push(Math.round(suspicion.endsAt - 100));
  }
  // Only a report that is new is sent on; otherwise members would send each other reports without end.
  assert.deepEqual(isNew, [true, false, true, false, true, true]);
  assert.deepEqual(ends, [5000, 5000, 2476, 2476, 1000, 1000]);
});

const BASE: VerdictInput = {
  self: 'me',
  quorum: 2,
  isSupported: true,
  newerInstance: null,
  reachedAt: 100,
  unreachedAt: 200,
  reports: [{ kind: 'witness', witness: 'other', at: 210, storeAnswers: true }],
  since: 150,
  storeAnswers: true,
};
const report = (witness: string, storeAnswers = true): VerdictInput['reports'][number] => ({
  kind: 'witness',
  witness,
  at: 210,
  storeAnswers,
});

test('verdict: each combination of evidence gives the expected kind', () => {
  const rows: [string, Partial<VerdictInput>, string][] = [
    ['an own probe and one witness', {}, 'failed'],
    ['an own probe, but no witness', { reports: [] }, 'unconfirmed'],
    ['the same witness twice', { quorum: 3, reports: [report('x'), report('x')] }, 'unconfirmed'],
    ['a witness, but no own probe', { unreachedAt: null, quorum: 1 }, 'unconfirmed'],
    ['an own probe that was answered later', { reachedAt: 200, unreachedAt: 190 }, 'reachable'],
    [
      'answered only before the registration expired',
      { unreachedAt: null, reports: [] },
      'unconfirmed',
    ],
    ['a witness that the store does not answer', { reports: [report('x', false)] }, 'unconfirmed'],
    ['an observer that the store does not answer', { storeAnswers: false }, 'unconfirmed'],
    ['an own probe alone, with two members', { quorum: 1, reports: [] }, 'failed'],
    ['a member that never answered a probe', { isSupported: false }, 'unsupported'],
    [
      'a later process of the member answers',
      { newerInstance: { instance: 'n', at: 220 }, reports: [] },
      'replaced',
    ],
  ];
  for (const [name, input, kind] of rows) {
    const verdict = verdictOf({ ...BASE, ...input });
    assert.equal(verdict.kind, kind, name);
    if (kind === 'failed') assert.ok(verdict.evidence.length > 0 && verdict.witnesses.length > 0);
  }
});

const suspect = (fields: Partial<MemberUpdate>): MemberUpdate => ({
  member: 'm1',
  instance: 'm1-2',
  incarnation: 0,
  state: 'suspect',
  witness: 'm2',
  storeAnswers: true,
  ...fields,
});

test('messages: invalid messages and updates are counted by reason and have no effect', async () => {
  const message = (fields: Partial<DetectorMessage>): DetectorMessage => ({
    cluster: 'c',
    from: 'm2',
    instance: 'm2-3',
    incarnation: 0,
    updates: [],
    body: { kind: 'ack', sequence: 1 },
    ...fields,
  });
  const withUpdate = (fields: Partial<MemberUpdate>) => message({ updates: [suspect(fields)] });
  const rows: [DropReason, DetectorMessage][] = [
    ['foreign cluster', message({ cluster: 'other' })],
    ['unknown member', message({ from: 'stranger' })],
    ['unknown member', message({ body: { kind: 'indirectPing', sequence: 1, target: 'x' } })],
    ['unknown member', withUpdate({ member: 'stranger' })],
    ['other instance', withUpdate({ instance: 'm1-1' })],
    ['old incarnation', withUpdate({ incarnation: 0 })],
    ['no witness', withUpdate({ incarnation: 9, witness: 'stranger' })],
    ['no witness', withUpdate({ incarnation: 9, witness: 'm1' })],
    ['malformed', message({ from: '' })],
    ['malformed', message({ incarnation: -1 })],
    ['malformed', message({ updates: Array.from({ length: 9 }, () => suspect({})) })],
    ['malformed', withUpdate({ witness: 'w'.repeat(300) })],
  ];
  const network = new DetectorNetwork(['m0', 'm1', 'm2'], 1);
  await network.run(8);
  // m1 refutes a suspicion once, so that updates about its first incarnation are outdated.
  network.pause('m1', 3);
  await network.run(20);
  const detector = network.detectors.get('m0');
  assert.ok(detector instanceof FailureDetector);
  const before = network.transitions.length;
  for (const [reason, input] of rows) {
    const counted: number = detector.counts.dropped[reason];
    detector.receive(input, () => assert.fail(`answered: ${reason}`));
    assert.equal(detector.counts.dropped[reason], counted + 1, reason);
  }
  await network.run(5);
  assert.equal(network.transitions.length, before);
  assert.equal(network.state('m0', 'm1'), 'alive');
});

test('codec: messages are decoded as they were encoded, and invalid or oversized bytes are rejected', () => {
  const bodies: DetectorMessage['body'][] = [
    { kind: 'ping', sequence: 2 ** 40 + 3 },
    { kind: 'ack', sequence: 0 },
    { kind: 'indirectPing', sequence: 7, target: 'm1' },
    {
      kind: 'indirectAck',
      sequence: 7,
      target: 'm1',
      isReached: true,
      instance: 'x',
      incarnation: 4,
    },
  ];
  for (const body of bodies) {
    const updates = [suspect({}), suspect({ state: 'alive', storeAnswers: false })];
    const message = { cluster: 'c', from: 'm0', instance: 'i', incarnation: 5, updates, body };
    const bytes = encodeDetectorMessage(message);
    assert.deepEqual(decodeDetectorMessage(bytes), message);
    for (let length = 1; length < bytes.length; length++) {
      // Truncated bytes are either rejected or decoded without the last fields, but never throw.
      decodeDetectorMessage(bytes.subarray(0, length));
    }
    assert.equal(
      decodeDetectorMessage(Buffer.concat([bytes, Buffer.alloc(MAX_DETECTOR_MESSAGE_BYTES)])),
      null,
    );
  }
  for (const hex of ['ff', 'ffffffff', '0affffffff0f', '5a05ffffffffff']) {
    assert.equal(decodeDetectorMessage(Buffer.from(hex, 'hex')), null, hex);
  }
});

test('verdict: after a crash, every other member reports a failure with its own probe as evidence', async () => {
  for (const count of [2, 3, 5, 9, 31]) {
    const names = Array.from({ length: count }, (_, number) => `m${number}`);
    const network = new DetectorNetwork(names, 7);
    // In this time, each member probes all others at least once.
    await network.run(count + 8);
    const killedAt = network.clock.now();
    network.kill('m1');
    // A registration expires 6 s after its last renewal.
    await network.run(6);
    // A member that receives the suspicion probes m1 at once, long before its own schedule does.
    await network.run(3);
    for (const [observer, detector] of network.detectors) {
      const verdict = detector.verdict('m1', 'm1-2', killedAt + 6000);
      assert.equal(verdict?.kind, 'failed', `${observer} of ${count}: ${JSON.stringify(verdict)}`);
      assert.ok(verdict.witnesses.includes(observer));
    }
  }
  assert.ok(TIMING.suspicionMostMs <= 6000);
});

test('verdict: an answer that arrives after its probe has timed out makes the instance reachable', async () => {
  const network = new DetectorNetwork(['m0', 'm1', 'm2'], 5);
  await network.run(10);
  network.delayMs = ({ from, message }) =>
    from === 'm1' && message.body.kind === 'ack' ? 2500 : 2;
  const detector = network.detectors.get('m0') ?? assert.fail();
  const since = network.clock.now();
  const kind = (): string | undefined => detector.verdict('m1', 'm1-2', since)?.kind;
  detector.probe('m1');
  await network.run(2.4);
  assert.notEqual(kind(), 'reachable');
  await network.run(0.2);
  assert.equal(kind(), 'reachable');
});
