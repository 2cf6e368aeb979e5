import assert from 'node:assert/strict';
import { test } from 'node:test';
import protobuf from 'protobufjs';
import {
  decodePeerMessage,
  encodePeerMessage,
  type PeerMessage,
} from '../../src/protocol/peer-messages.js';

/*
 * The frames between controllers as older versions read and write them. Both versions have no schema file:
 * these are the field numbers and types in their src/protocol/peer-messages.ts.
 */
type Schema = Record<string, Record<string, { id: number; type: string }>>;

const RELAY = {
  id: { id: 1, type: 'uint64' },
  ask: { id: 2, type: 'uint32' },
  about: { id: 3, type: 'string' },
  text: { id: 4, type: 'string' },
};
const RELAYED = {
  id: { id: 1, type: 'uint64' },
  status: { id: 2, type: 'uint32' },
  body: { id: 3, type: 'string' },
};
const ENVELOPE = {
  poke: { id: 1, type: 'Poke' },
  relay: { id: 2, type: 'Relay' },
  relayed: { id: 3, type: 'Relayed' },
};
const POKE = { node: { id: 1, type: 'string' }, revision: { id: 2, type: 'uint64' } };

/** 89f79d3, the version in production: before gangs, and before a poke named a cancelled job. */
const PRODUCTION: Schema = { Envelope: ENVELOPE, Poke: POKE, Relay: RELAY, Relayed: RELAYED };

/** df7a3ba: a poke may name a job that was cancelled, and how many tasks it had. */
const WITH_GANGS: Schema = {
  ...PRODUCTION,
  Poke: {
    ...POKE,
    cancelledJob: { id: 3, type: 'string' },
    cancelledTasks: { id: 4, type: 'uint32' },
  },
};

/** A later version: fields of each wire type that this version does not know, and a further kind. */
const LATER: Schema = {
  Envelope: { ...ENVELOPE, farewell: { id: 9, type: 'Farewell' } },
  Poke: {
    ...WITH_GANGS.Poke,
    varint: { id: 10, type: 'uint32' },
    fixed64: { id: 11, type: 'double' },
    fixed32: { id: 12, type: 'float' },
    bytes: { id: 13, type: 'bytes' },
  },
  Relay: { ...RELAY, fixed64: { id: 11, type: 'double' }, fixed32: { id: 12, type: 'float' } },
  Relayed: { ...RELAYED, fixed64: { id: 11, type: 'double' }, fixed32: { id: 12, type: 'float' } },
  Farewell: { node: { id: 1, type: 'string' } },
};
const UNKNOWN_FIELDS = { fixed64: 1.5, fixed32: 2.5 };

type Fields = Record<string, unknown>;

function envelopeOf(schema: Schema): protobuf.Type {
  const nested = Object.fromEntries(
    Object.entries(schema).map(([name, fields]) => [name, { fields }]),
  );
  return protobuf.Root.fromJSON({ nested }).lookupType('Envelope');
}

/** The message as that version's schema reads it; what it does not know is passed over. */
function readBy(schema: Schema, frame: Uint8Array): Fields {
  const envelope = envelopeOf(schema);
  return envelope.toObject(envelope.decodeDelimited(frame), { longs: Number });
}

function writtenBy(schema: Schema, message: Fields): Uint8Array {
  const envelope = envelopeOf(schema);
  return envelope.encodeDelimited(envelope.fromObject(message)).finish();
}

/** Without the length that leads it, as the link hands it on. */
function heard(frame: Uint8Array): PeerMessage | null {
  const reader = protobuf.Reader.create(frame);
  const length = reader.uint32();
  assert.equal(reader.pos + length, frame.length);
  return decodePeerMessage(frame.subarray(reader.pos));
}

/** The number of the kind, then number and wire type of each of its fields. */
function numbersOf(frame: Uint8Array): [number, ...[number, number][]] {
  const reader = protobuf.Reader.create(frame);
  reader.uint32();
  const kind = reader.uint32();
  assert.equal(kind & 7, 2);
  const end = reader.uint32() + reader.pos;
  const fields: [number, number][] = [];
  while (reader.pos < end) {
    const tag = reader.uint32();
    fields.push([tag >>> 3, tag & 7]);
    reader.skipType(tag & 7);
  }
  assert.equal(reader.pos, frame.length);
  return [kind >>> 3, ...fields];
}

const VARINT = 0;
const DELIMITED = 2;
/** More than 32 bits hold. */
const REVISION = 2 ** 40 + 3;

interface Row {
  name: string;
  message: PeerMessage;
  numbers: [number, ...[number, number][]];
  /** What each older version reads of it, and writes for it. */
  production: Fields;
  /** Where it differs from production's. */
  withGangs?: Fields;
  /** What we read of production's, where that lacks something. */
  fromProduction?: PeerMessage;
  /** The same of the version with gangs. */
  fromWithGangs?: PeerMessage;
}

/** `number`: of the question; a schema leaves zero out, both ways. */
const relayRow = (ask: 'heartbeat' | 'submit' | 'poll' | 'cancel', number?: number): Row => ({
  name: `relay of ${ask}`,
  message: { kind: 'relay', id: REVISION, operation: ask, jobId: 'j-1', body: '{"ä":1}' },
  numbers: [2, [1, VARINT], [2, VARINT], [3, DELIMITED], [4, DELIMITED]],
  production: {
    relay: {
      id: REVISION,
      ...(number === undefined ? {} : { ask: number }),
      about: 'j-1',
      text: '{"ä":1}',
    },
  },
});

const ROWS: Row[] = [
  {
    name: 'poke',
    message: { kind: 'poke', node: 'n1', revision: REVISION },
    numbers: [1, [1, DELIMITED], [2, VARINT]],
    production: { poke: { node: 'n1', revision: REVISION } },
  },
  {
    name: 'poke with a cancelled job',
    message: {
      kind: 'poke',
      node: 'n1',
      revision: REVISION,
      cancelled: { job: 'j-1', tasks: 300 },
    },
    numbers: [1, [1, DELIMITED], [2, VARINT], [3, DELIMITED], [4, VARINT]],
    production: { poke: { node: 'n1', revision: REVISION } },
    withGangs: {
      poke: { node: 'n1', revision: REVISION, cancelledJob: 'j-1', cancelledTasks: 300 },
    },
    fromProduction: { kind: 'poke', node: 'n1', revision: REVISION },
  },
  // What is asked goes by number, in the order that both older versions have.
  relayRow('heartbeat'),
  relayRow('submit', 1),
  relayRow('poll', 2),
  relayRow('cancel', 3),
  {
    name: 'relayed answer',
    message: { kind: 'relayed', id: 7, status: 503, body: '{}', isProven: false },
    numbers: [3, [1, VARINT], [2, VARINT], [3, DELIMITED]],
    production: { relayed: { id: 7, status: 503, body: '{}' } },
  },
  {
    name: 'relayed answer with a proof',
    message: { kind: 'relayed', id: 7, status: 404, body: '{}', isProven: true },
    numbers: [3, [1, VARINT], [2, VARINT], [3, DELIMITED], [4, VARINT]],
    production: { relayed: { id: 7, status: 404, body: '{}' } },
    fromProduction: { kind: 'relayed', id: 7, status: 404, body: '{}', isProven: false },
    fromWithGangs: { kind: 'relayed', id: 7, status: 404, body: '{}', isProven: false },
  },
];

test('peer messages: older versions read ours by the same numbers, and we read theirs', () => {
  for (const row of ROWS) {
    const { name, message, numbers, production, withGangs, fromProduction, fromWithGangs } = row;
    const frame = encodePeerMessage(message);
    assert.deepEqual(numbersOf(frame), numbers, `${name}: numbers`);
    assert.deepEqual(readBy(PRODUCTION, frame), production, `${name}: read by 89f79d3`);
    const whole = withGangs ?? production;
    assert.deepEqual(readBy(WITH_GANGS, frame), whole, `${name}: read by df7a3ba`);
    const ours = fromProduction ?? message;
    assert.deepEqual(heard(writtenBy(PRODUCTION, production)), ours, `${name}: of 89f79d3`);
    const theirs = fromWithGangs ?? message;
    assert.deepEqual(heard(writtenBy(WITH_GANGS, whole)), theirs, `${name}: of df7a3ba`);
  }
});

test('peer messages: kinds of failure detection come as sent, and older versions pass them over', () => {
  const tenure = { node: 'n1', role: 'part-n2', term: REVISION, incarnation: 'x' };
  const payload = Buffer.from('0a01ff', 'hex');
  const rows: [PeerMessage, [number, ...[number, number][]]][] = [
    [{ kind: 'detector', payload }, [4, [1, DELIMITED]]],
    [
      { kind: 'stepDown', ...tenure },
      [5, [1, DELIMITED], [2, DELIMITED], [3, VARINT], [4, DELIMITED]],
    ],
    [
      { kind: 'steppedDown', ...tenure },
      [6, [1, DELIMITED], [2, DELIMITED], [3, VARINT], [4, DELIMITED]],
    ],
  ];
  for (const [message, numbers] of rows) {
    const frame = encodePeerMessage(message);
    assert.deepEqual(numbersOf(frame), numbers);
    assert.deepEqual(heard(frame), message);
    for (const schema of [PRODUCTION, WITH_GANGS]) assert.deepEqual(readBy(schema, frame), {});
  }
});

test('peer messages: what a later version adds is passed over', () => {
  for (const { name, message, production, withGangs, fromWithGangs } of ROWS) {
    const whole = withGangs ?? production;
    const [[kind = '', fields] = []] = Object.entries(whole);
    const later = { ...(fields as Fields), ...UNKNOWN_FIELDS };
    if (kind === 'poke') Object.assign(later, { varint: 5, bytes: Buffer.from([255, 0]) });
    const expected = fromWithGangs ?? message;
    assert.deepEqual(heard(writtenBy(LATER, { [kind]: later })), expected, name);
  }
  // A kind, and a question, that this version does not know.
  assert.equal(heard(writtenBy(LATER, { farewell: { node: 'n1' } })), null);
  const question = { id: 1, ask: 4, about: 'j-1', text: '' };
  assert.equal(heard(writtenBy(LATER, { relay: question })), null);
});
