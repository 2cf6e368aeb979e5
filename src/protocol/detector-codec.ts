/** Encodes and decodes the failure detector's messages in protobuf. Field numbers never change. */

import type { DetectorBody, DetectorMessage, MemberUpdate } from '@mothbank/failure-detector';
import protobuf from 'protobufjs/minimal.js';
import { MAX_DETECTOR_MESSAGE_BYTES } from '../constants/protocol.js';
import { delimited, varint, WIRE_TYPE_BITS, WIRE_TYPE_MASK } from './protobuf-tags.js';

const { Reader, Writer } = protobuf;

/** Field numbers of a message. */
const MESSAGE = {
  cluster: 1,
  from: 2,
  instance: 3,
  incarnation: 4,
  kind: 5,
  sequence: 6,
  target: 7,
  isReached: 8,
  targetInstance: 9,
  targetIncarnation: 10,
  update: 11,
} as const;

/** Field numbers of an update about a member. */
const UPDATE = {
  member: 1,
  instance: 2,
  incarnation: 3,
  isSuspect: 4,
  witness: 5,
  storeAnswers: 6,
} as const;

/** Kinds of message; the index of a kind is its number on the wire. */
const KINDS = ['ping', 'ack', 'indirectPing', 'indirectAck'] as const;

function writeUpdate(writer: protobuf.Writer, update: MemberUpdate): void {
  writer.uint32(delimited(MESSAGE.update)).fork();
  writer.uint32(delimited(UPDATE.member)).string(update.member);
  writer.uint32(delimited(UPDATE.instance)).string(update.instance);
  writer.uint32(varint(UPDATE.incarnation)).uint64(update.incarnation);
  writer.uint32(varint(UPDATE.isSuspect)).bool(update.state === 'suspect');
  writer.uint32(delimited(UPDATE.witness)).string(update.witness);
  writer.uint32(varint(UPDATE.storeAnswers)).bool(update.storeAnswers);
  writer.ldelim();
}

function writeBody(writer: protobuf.Writer, body: DetectorBody): void {
  writer.uint32(varint(MESSAGE.kind)).uint32(KINDS.indexOf(body.kind));
  writer.uint32(varint(MESSAGE.sequence)).uint64(body.sequence);
  if ('target' in body) writer.uint32(delimited(MESSAGE.target)).string(body.target);
  if (body.kind !== 'indirectAck') return;
  writer.uint32(varint(MESSAGE.isReached)).bool(body.isReached);
  writer.uint32(delimited(MESSAGE.targetInstance)).string(body.instance);
  writer.uint32(varint(MESSAGE.targetIncarnation)).uint64(body.incarnation);
}

/** Encodes a message as bytes, without a length prefix. */
export function encodeDetectorMessage(message: DetectorMessage): Uint8Array {
  const writer = Writer.create();
  writer.uint32(delimited(MESSAGE.cluster)).string(message.cluster);
  writer.uint32(delimited(MESSAGE.from)).string(message.from);
  writer.uint32(delimited(MESSAGE.instance)).string(message.instance);
  writer.uint32(varint(MESSAGE.incarnation)).uint64(message.incarnation);
  writeBody(writer, message.body);
  for (const update of message.updates) writeUpdate(writer, update);
  return writer.finish();
}

/** The decoded fields of a message or an update; the last occurrence of a field number counts. */
class Fields {
  private readonly texts = new Map<number, string>();
  private readonly numbers = new Map<number, number>();

  text(field: number): string {
    return this.texts.get(field) ?? '';
  }

  number(field: number): number {
    return this.numbers.get(field) ?? 0;
  }

  /**
   * Reads the value of one field; values of wire types that this version does not use are skipped.
   */
  read(reader: protobuf.Reader, tag: number): void {
    const field = tag >>> WIRE_TYPE_BITS;
    if (tag === varint(field)) this.numbers.set(field, Number(reader.uint64()));
    else if (tag === delimited(field)) this.texts.set(field, reader.string());
    else reader.skipType(tag & WIRE_TYPE_MASK);
  }
}

function readUpdate(reader: protobuf.Reader): MemberUpdate {
  const end = reader.uint32() + reader.pos;
  const fields = new Fields();
  while (reader.pos < end) fields.read(reader, reader.uint32());
  return {
    member: fields.text(UPDATE.member),
    instance: fields.text(UPDATE.instance),
    incarnation: fields.number(UPDATE.incarnation),
    state: fields.number(UPDATE.isSuspect) === 1 ? 'suspect' : 'alive',
    witness: fields.text(UPDATE.witness),
    storeAnswers: fields.number(UPDATE.storeAnswers) === 1,
  };
}

function decodeBody(fields: Fields): DetectorBody | null {
  const kind = KINDS[fields.number(MESSAGE.kind)];
  const sequence = fields.number(MESSAGE.sequence);
  const target = fields.text(MESSAGE.target);
  switch (kind) {
    case 'ping':
    case 'ack':
      return { kind, sequence };
    case 'indirectPing':
      return { kind, sequence, target };
    case 'indirectAck':
      return {
        kind,
        sequence,
        target,
        isReached: fields.number(MESSAGE.isReached) === 1,
        instance: fields.text(MESSAGE.targetInstance),
        incarnation: fields.number(MESSAGE.targetIncarnation),
      };
    default:
      return null;
  }
}

function decodeMessage(bytes: Uint8Array): DetectorMessage | null {
  const reader = Reader.create(bytes);
  const fields = new Fields();
  const updates: MemberUpdate[] = [];
  while (reader.pos < reader.len) {
    const tag = reader.uint32();
    if (tag === delimited(MESSAGE.update)) updates.push(readUpdate(reader));
    else fields.read(reader, tag);
  }
  const body = decodeBody(fields);
  if (!body) return null;
  return {
    cluster: fields.text(MESSAGE.cluster),
    from: fields.text(MESSAGE.from),
    instance: fields.text(MESSAGE.instance),
    incarnation: fields.number(MESSAGE.incarnation),
    updates,
    body,
  };
}

/** Decodes a message; null: it is too long, malformed, or of a kind unknown to this version. */
export function decodeDetectorMessage(bytes: Uint8Array): DetectorMessage | null {
  if (bytes.length > MAX_DETECTOR_MESSAGE_BYTES) return null;
  try {
    return decodeMessage(bytes);
  } catch {
    return null;
  }
}
