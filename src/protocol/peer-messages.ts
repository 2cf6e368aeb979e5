import protobuf from 'protobufjs/minimal.js';

const { Reader, Writer } = protobuf;

/**
 * What controllers tell one another. All of it is a hint or a service between nodes; no decision
 * rests on it that the state service would not allow.
 */
export type PeerMessage =
  /** There is something new; `cancelled`: a job that was called off by this revision. */
  | { kind: 'poke'; node: string; revision: number; cancelled?: CancelledJob }
  /** A worker's or user's request that the sender can't serve itself. */
  | { kind: 'relay'; id: number; ask: Ask; about: string; text: string }
  | { kind: 'relayed'; id: number; status: number; body: string };

export interface CancelledJob {
  job: string;
  tasks: number;
}

/** What a relayed request asks; `about` is the job's id where there is one. */
export const ASKS = ['report', 'submit', 'poll', 'cancel'] as const;
export type Ask = (typeof ASKS)[number];

const POKE = 1;
const RELAY = 2;
const RELAYED = 3;

export function encodePeer(message: PeerMessage): Uint8Array {
  const writer = Writer.create();
  writer.fork();
  switch (message.kind) {
    case 'poke':
      writer.uint32((POKE << 3) | 2).fork();
      writer.uint32((1 << 3) | 2).string(message.node);
      writer.uint32((2 << 3) | 0).uint64(message.revision);
      if (message.cancelled) {
        writer.uint32((3 << 3) | 2).string(message.cancelled.job);
        writer.uint32((4 << 3) | 0).uint32(message.cancelled.tasks);
      }
      break;
    case 'relay':
      writer.uint32((RELAY << 3) | 2).fork();
      writer.uint32((1 << 3) | 0).uint64(message.id);
      writer.uint32((2 << 3) | 0).uint32(ASKS.indexOf(message.ask));
      writer.uint32((3 << 3) | 2).string(message.about);
      writer.uint32((4 << 3) | 2).string(message.text);
      break;
    case 'relayed':
      writer.uint32((RELAYED << 3) | 2).fork();
      writer.uint32((1 << 3) | 0).uint64(message.id);
      writer.uint32((2 << 3) | 0).uint32(message.status);
      writer.uint32((3 << 3) | 2).string(message.body);
      break;
  }
  writer.ldelim();
  writer.ldelim();
  return writer.finish();
}

/** Null for a message of a kind that this version does not know. Throws on broken ones. */
export function decodePeer(frame: Uint8Array): PeerMessage | null {
  const reader = Reader.create(frame);
  if (reader.len === 0) return null;
  const kind = reader.uint32() >>> 3;
  const end = reader.uint32() + reader.pos;
  const fields: Record<number, number | string> = {};
  while (reader.pos < end) {
    const tag = reader.uint32();
    switch (tag & 7) {
      case 0:
        fields[tag >>> 3] = Number(reader.uint64());
        break;
      case 2:
        fields[tag >>> 3] = reader.string();
        break;
      default:
        reader.skipType(tag & 7);
    }
  }
  const text = (field: number): string => String(fields[field] ?? '');
  const integer = (field: number): number => Number(fields[field] ?? 0);
  switch (kind) {
    case POKE: {
      const poke = { kind: 'poke' as const, node: text(1), revision: integer(2) };
      return fields[3] === undefined
        ? poke
        : { ...poke, cancelled: { job: text(3), tasks: integer(4) } };
    }
    case RELAY: {
      const ask = ASKS[integer(2)];
      if (!ask) return null;
      return { kind: 'relay', id: integer(1), ask, about: text(3), text: text(4) };
    }
    case RELAYED:
      return { kind: 'relayed', id: integer(1), status: integer(2), body: text(3) };
    default:
      return null;
  }
}
