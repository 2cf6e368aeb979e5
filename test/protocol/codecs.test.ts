/**
 * Guards against errors in encoding and decoding task ranges, heartbeats, commands and peer
 * messages, by which a record or message would hold other values than intended, or a valid one be
 * rejected.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  decodePeerMessage,
  encodePeerMessage,
  type PeerMessage,
} from '../../src/protocol/peer-messages.js';
import { encodeHeartbeatAnswer, parseHeartbeat } from '../../src/protocol/worker-codec.js';
import { countRanges, readRanges, writeRanges } from '../../src/storage/ranges.js';
import { FrameReader } from '../../src/transport/peer-link.js';

test('task ranges are encoded in ascending order and decoded to the same ids', () => {
  const cases: [number[], string][] = [
    [[], ''],
    [[3], '3'],
    [[0, 1, 2, 3], '0-3'],
    [[7, 0, 1, 5, 6], '0-1,5-7'],
    [[99_999, 2], '2,99999'],
  ];
  for (const [ids, text] of cases) {
    assert.equal(writeRanges(ids), text);
    assert.deepEqual(
      readRanges(text),
      [...ids].sort((a, b) => a - b),
    );
    assert.equal(countRanges(text), ids.length);
  }
});

test('heartbeats are decoded or rejected, and commands are encoded for the wire', () => {
  const heartbeat = {
    moth: 'm-000231',
    endpoint: '10.1.0.232:9000',
    breed: 'g8',
    grove: 'a',
    windfall: true,
    flight: 1,
    wingbeat: 88,
    mandate: 41,
    warningS: null,
    larvae: [
      { larva: 'j-000412/3', try: 2, stage: 'running' },
      { larva: 'j-000398/0', try: 1, stage: 'exited', cause: 'full' },
    ],
  };
  const parsed = parseHeartbeat(heartbeat);
  assert.ok(parsed.ok);
  assert.deepEqual(parsed.value.tasks, [
    { task: { job: 'j-000412', index: 3 }, attempt: 2, state: 'running', cause: null },
    { task: { job: 'j-000398', index: 0 }, attempt: 1, state: 'exited', cause: 'noCapacity' },
  ]);
  for (const invalid of [
    { moth: '' },
    { flight: 'x' },
    { larvae: [{ larva: 'x' }] },
    { mandate: -1 },
  ]) {
    assert.ok(!parseHeartbeat({ ...heartbeat, ...invalid }).ok, JSON.stringify(invalid));
  }
  assert.deepEqual(
    encodeHeartbeatAnswer(41, [
      { op: 'start', task: { job: 'j-1', index: 4 }, attempt: 2 },
      { op: 'stop', task: { job: 'j-2', index: 1 }, attempt: 1, graceS: 10 },
      { op: 'forget', task: { job: 'j-3', index: 0 }, attempt: 1 },
    ]),
    {
      mandate: 41,
      calls: [
        { verb: 'launch', larva: 'j-1/4', try: 2 },
        { verb: 'halt', larva: 'j-2/1', try: 1, settleS: 10 },
        { verb: 'reap', larva: 'j-3/0', try: 1 },
      ],
    },
  );
});

test('peer messages are decoded however the stream is split; long frames are rejected', () => {
  const messages: PeerMessage[] = [
    { kind: 'storeChanged', node: 'n1', revision: 2 ** 40 },
    { kind: 'relay', id: 7, operation: 'cancel', jobId: 'j-000001', body: 'ä'.repeat(300) },
    { kind: 'relayed', id: 7, status: 200, body: '{}', isProven: false },
    { kind: 'relayed', id: 8, status: 404, body: '{}', isProven: true },
  ];
  const stream = Buffer.concat(messages.map((message) => encodePeerMessage(message)));
  for (const size of [1, 7, 64, 10_000]) {
    const reader = new FrameReader(1000);
    const decoded: unknown[] = [];
    for (let at = 0; at < stream.length; at += size) {
      for (const frame of reader.push(stream.subarray(at, at + size)))
        decoded.push(decodePeerMessage(frame));
    }
    assert.deepEqual(decoded, messages);
  }
  assert.throws(() => new FrameReader(100).push(Buffer.from([0xff, 0xff, 0xff, 0x7f])));
});
