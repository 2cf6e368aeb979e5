/** Encodes and decodes the messages between controllers in protobuf. Field numbers never change. */

import protobuf from 'protobufjs/minimal.js';
import {
  DELIMITED,
  delimited,
  VARINT,
  varint,
  WIRE_TYPE_BITS,
  WIRE_TYPE_MASK,
} from './protobuf-tags.js';

const { Reader, Writer } = protobuf;

/**
 * A message between controllers: a hint, or a request on behalf of the sender. A message permits
 * nothing that the state of the key-value store would not permit.
 */
export type PeerMessage =
  /** The store has changes up to `revision`; `cancelled`: a job that one of them cancelled. */
  | { kind: 'storeChanged'; node: string; revision: number; cancelled?: CancelledJob }
  /**
   * A request of a worker or user that the sender can't serve itself. `id`: chosen by the sender to
   * match the response. `jobId`: the job that the request is about, or ''.
   */
  | { kind: 'relay'; id: number; operation: RelayOperation; jobId: string; body: string }
  /**
   * The response to the relayed request with this id. `isProven`: if the response is a refusal, it
   * rests on a proof that the job is absent; older versions don't send this field.
   */
  | { kind: 'relayed'; id: number; status: number; body: string; isProven: boolean }
  /** A message of the failure detector, which its own codec encodes. */
  | { kind: 'detector'; payload: Uint8Array }
  /** Asks the receiver to step down, because its registration has expired. */
  | ({ kind: 'stepDown' } & RoleTenure)
  /** The sender has stepped down: it no longer acts or answers under this term. */
  | ({ kind: 'steppedDown' } & RoleTenure);

/** One process's tenure of a role under a term. `node`: the sender of the message. */
export interface RoleTenure {
  node: string;
  role: string;
  term: number;
  /** Identifies the process that holds or held the role, among all processes of its controller. */
  incarnation: string;
}

/** A cancelled job with the number of its tasks. */
export interface CancelledJob {
  job: string;
  tasks: number;
}

/** Kinds of relayed requests; the index of a kind is its number on the wire. */
const RELAY_OPERATIONS = ['heartbeat', 'submit', 'poll', 'cancel'] as const;
/** The kind of a relayed request. */
export type RelayOperation = (typeof RELAY_OPERATIONS)[number];

/** Field numbers of the frame, one for each kind of message. */
const STORE_CHANGED = 1;
const RELAY = 2;
const RELAYED = 3;
const DETECTOR = 4;
const STEP_DOWN = 5;
const STEPPED_DOWN = 6;

type Message<Kind extends PeerMessage['kind']> = Extract<PeerMessage, { kind: Kind }>;

function writeStoreChanged(writer: protobuf.Writer, message: Message<'storeChanged'>): void {
  writer.uint32(delimited(STORE_CHANGED)).fork();
  writer.uint32(delimited(1)).string(message.node);
  writer.uint32(varint(2)).uint64(message.revision);
  if (!message.cancelled) return;
  writer.uint32(delimited(3)).string(message.cancelled.job);
  writer.uint32(varint(4)).uint32(message.cancelled.tasks);
}

function writeRelay(writer: protobuf.Writer, message: Message<'relay'>): void {
  writer.uint32(delimited(RELAY)).fork();
  writer.uint32(varint(1)).uint64(message.id);
  writer.uint32(varint(2)).uint32(RELAY_OPERATIONS.indexOf(message.operation));
  writer.uint32(delimited(3)).string(message.jobId);
  writer.uint32(delimited(4)).string(message.body);
}

function writeRelayed(writer: protobuf.Writer, message: Message<'relayed'>): void {
  writer.uint32(delimited(RELAYED)).fork();
  writer.uint32(varint(1)).uint64(message.id);
  writer.uint32(varint(2)).uint32(message.status);
  writer.uint32(delimited(3)).string(message.body);
  if (message.isProven) writer.uint32(varint(4)).uint32(1);
}

function writeTenure(writer: protobuf.Writer, kind: number, tenure: RoleTenure): void {
  writer.uint32(delimited(kind)).fork();
  writer.uint32(delimited(1)).string(tenure.node);
  writer.uint32(delimited(2)).string(tenure.role);
  writer.uint32(varint(3)).uint64(tenure.term);
  writer.uint32(delimited(4)).string(tenure.incarnation);
}

/** Encodes a frame with the payload unchanged, which the failure detector's codec has encoded. */
function encodeDetectorFrame({ payload }: Message<'detector'>): Uint8Array {
  const writer = Writer.create().fork();
  writer.uint32(delimited(DETECTOR)).bytes(payload);
  return writer.ldelim().finish();
}

/** Encodes a message as a frame with a length prefix. */
export function encodePeerMessage(message: PeerMessage): Uint8Array {
  if (message.kind === 'detector') return encodeDetectorFrame(message);
  const writer = Writer.create();
  writer.fork();
  switch (message.kind) {
    case 'storeChanged':
      writeStoreChanged(writer, message);
      break;
    case 'relay':
      writeRelay(writer, message);
      break;
    case 'relayed':
      writeRelayed(writer, message);
      break;
    case 'stepDown':
      writeTenure(writer, STEP_DOWN, message);
      break;
    case 'steppedDown':
      writeTenure(writer, STEPPED_DOWN, message);
      break;
  }
  writer.ldelim();
  writer.ldelim();
  return writer.finish();
}

/** Decodes field values by field number; values of unused wire types are skipped. */
function decodeFields(reader: protobuf.Reader, end: number): Record<number, number | string> {
  const fields: Record<number, number | string> = {};
  while (reader.pos < end) {
    const tag = reader.uint32();
    const field = tag >>> WIRE_TYPE_BITS;
    const wireType = tag & WIRE_TYPE_MASK;
    if (wireType === VARINT) fields[field] = Number(reader.uint64());
    else if (wireType === DELIMITED) fields[field] = reader.string();
    else reader.skipType(wireType);
  }
  return fields;
}

/**
 * Decodes a frame without its length prefix; null: it is empty, or its kind of message or of
 * relayed request is unknown to this version. Throws if the frame is malformed.
 */
export function decodePeerMessage(frame: Uint8Array): PeerMessage | null {
  const reader = Reader.create(frame);
  if (reader.len === 0) return null;
  const kind = reader.uint32() >>> WIRE_TYPE_BITS;
  if (kind === DETECTOR) return { kind: 'detector', payload: reader.bytes() };
  const end = reader.uint32() + reader.pos;
  const fields = decodeFields(reader, end);
  const text = (field: number): string => String(fields[field] ?? '');
  const integer = (field: number): number => Number(fields[field] ?? 0);
  switch (kind) {
    case STORE_CHANGED: {
      const notification = { kind: 'storeChanged' as const, node: text(1), revision: integer(2) };
      return fields[3] === undefined
        ? notification
        : { ...notification, cancelled: { job: text(3), tasks: integer(4) } };
    }
    case RELAY: {
      const operation = RELAY_OPERATIONS[integer(2)];
      if (!operation) return null;
      return { kind: 'relay', id: integer(1), operation, jobId: text(3), body: text(4) };
    }
    case RELAYED:
      return {
        kind: 'relayed',
        id: integer(1),
        status: integer(2),
        body: text(3),
        isProven: integer(4) === 1,
      };
    case STEP_DOWN:
    case STEPPED_DOWN:
      return {
        kind: kind === STEP_DOWN ? 'stepDown' : 'steppedDown',
        node: text(1),
        role: text(2),
        term: integer(3),
        incarnation: text(4),
      };
    default:
      return null;
  }
}
