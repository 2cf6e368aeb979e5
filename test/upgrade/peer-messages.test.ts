/** Messages between controllers that this version and older or later ones send each other. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import protobuf from 'protobufjs';
import {
  decodePeerMessage,
  encodePeerMessage,
  type PeerMessage,
} from '../../src/protocol/peer-messages.js';

/**
 * Field numbers and types of the messages between controllers, by the name of the message. The older
 * versions have no schema file: theirs are taken from their src/protocol/peer-messages.ts.
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

/** 89f79d3, the version in production: without gangs, and without a cancelled job in a Poke. */
const PRODUCTION: Schema = { Envelope: ENVELOPE, Poke: POKE, Relay: RELAY, Relayed: RELAYED };

/** df7a3ba: a Poke may name a cancelled job and its number of tasks. */
const WITH_GANGS: Schema = {
  ...PRODUCTION,
  Poke: {
    ...POKE,
    cancelledJob: { id: 3, type: 'string' },
    cancelledTasks: { id: 4, type: 'uint32' },
  },
};

/** A later version, with unknown fields of each wire type and an unknown kind of message. */
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

/** Decodes a frame by a version's schema, which ignores unknown fields and kinds. */
function readBy(schema: Schema, frame: Uint8Array): Fields {
  const envelope = envelopeOf(schema);
  return envelope.toObject(envelope.decodeDelimited(frame), { longs: Number });
}

/** Encodes a message by a version's schema. */
function writtenBy(schema: Schema, message: Fields): Uint8Array {
  const envelope = envelopeOf(schema);
  return envelope.encodeDelimited(envelope.fromObject(message)).finish();
}

/** Decodes a frame after its length prefix, which the peer link removes. */
function decodeFrame(frame: Uint8Array): PeerMessage | null {
  const reader = protobuf.Reader.create(frame);
  const length = reader.uint32();
  assert.equal(reader.pos + length, frame.length);
  return decodePeerMessage(frame.subarray(reader.pos));
}

/** Returns the number of the kind, then number and wire type of each of its fields. */
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
/** A revision that does not fit into 32 bits. */
const REVISION = 2 ** 40 + 3;

/** A message, and how each version encodes and decodes it. */
interface Row {
  name: string;
  message: PeerMessage;
  /** Numbers of the kind and of its fields, as `numbersOf` returns them. */
  numbers: [number, ...[number, number][]];
  /** Fields that production decodes from it, and encodes for it. */
  production: Fields;
  /** The same for the version with gangs, if different. */
  withGangs?: Fields;
  /** Message that this version decodes from production's frame, if fields are missing there. */
  fromProduction?: PeerMessage;
  /** The same for the frame of the version with gangs. */
  fromWithGangs?: PeerMessage;
}

/** A row for an operation and its number on the wire; undefined for 0, which a schema leaves out. */
const relayRow = (operation: 'heartbeat' | 'submit' | 'poll' | 'cancel', number?: number): Row => ({
  name: `relay of ${operation}`,
  message: { kind: 'relay', id: REVISION, operation, jobId: 'j-1', body: '{"ä":1}' },
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
    message: { kind: 'storeChanged', node: 'n1', revision: REVISION },
    numbers: [1, [1, DELIMITED], [2, VARINT]],
    production: { poke: { node: 'n1', revision: REVISION } },
  },
  {
    name: 'poke with a cancelled job',
    message: {
      kind: 'storeChanged',
      node: 'n1',
      revision: REVISION,
      cancelled: { job: 'j-1', tasks: 300 },
    },
    numbers: [1, [1, DELIMITED], [2, VARINT], [3, DELIMITED], [4, VARINT]],
    production: { poke: { node: 'n1', revision: REVISION } },
    withGangs: {
      poke: { node: 'n1', revision: REVISION, cancelledJob: 'j-1', cancelledTasks: 300 },
    },
    fromProduction: { kind: 'storeChanged', node: 'n1', revision: REVISION },
  },
  // An operation is sent as a number, in the order that both older versions have.
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

test('peer messages: older versions decode those of this version by the same numbers, and the reverse', () => {
  for (const row of ROWS) {
    const { name, message, numbers, production, withGangs, fromProduction, fromWithGangs } = row;
    const frame = encodePeerMessage(message);
    assert.deepEqual(numbersOf(frame), numbers, `${name}: numbers`);
    assert.deepEqual(readBy(PRODUCTION, frame), production, `${name}: read by 89f79d3`);
    const gangFields = withGangs ?? production;
    assert.deepEqual(readBy(WITH_GANGS, frame), gangFields, `${name}: read by df7a3ba`);
    const expectedFromProduction = fromProduction ?? message;
    assert.deepEqual(
      decodeFrame(writtenBy(PRODUCTION, production)),
      expectedFromProduction,
      `${name}: written by 89f79d3`,
    );
    const expectedFromWithGangs = fromWithGangs ?? message;
    assert.deepEqual(
      decodeFrame(writtenBy(WITH_GANGS, gangFields)),
      expectedFromWithGangs,
      `${name}: written by df7a3ba`,
    );
  }
});

test('peer messages: kinds of failure detection are decoded as sent, and older versions ignore them', () => {
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
    assert.deepEqual(decodeFrame(frame), message);
    for (const schema of [PRODUCTION, WITH_GANGS]) assert.deepEqual(readBy(schema, frame), {});
  }
});

test('peer messages: fields, kinds and operations that a later version adds are ignored', () => {
  for (const { name, message, production, withGangs, fromWithGangs } of ROWS) {
    const gangFields = withGangs ?? production;
    const [[kind = '', fields] = []] = Object.entries(gangFields);
    const later = { ...(fields as Fields), ...UNKNOWN_FIELDS };
    if (kind === 'poke') Object.assign(later, { varint: 5, bytes: Buffer.from([255, 0]) });
    const expected = fromWithGangs ?? message;
    assert.deepEqual(decodeFrame(writtenBy(LATER, { [kind]: later })), expected, name);
  }
  // A kind, and a relayed operation, that this version does not have.
  assert.equal(decodeFrame(writtenBy(LATER, { farewell: { node: 'n1' } })), null);
  const unknownOperation = { id: 1, ask: 4, about: 'j-1', text: '' };
  assert.equal(decodeFrame(writtenBy(LATER, { relay: unknownOperation })), null);
});
