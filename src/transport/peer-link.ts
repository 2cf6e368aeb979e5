/** Connections between controllers, which carry length-prefixed frames over TCP. */

import net from 'node:net';
import { parseAddress } from './address.js';
import type { Clock } from './clock.js';
import { FrameTooLongError } from './errors.js';

/** A varint length prefix of 5 bytes, with 7 bits each, or more is rejected as too long. */
const PREFIX_BITS_LIMIT = 35;
/** Idle timeout of an outgoing connection, as a multiple of the pause before it is reopened. */
const OUTGOING_IDLE_RETRY_INTERVALS = 5;
/**
 * Idle timeout of an incoming connection, as a multiple of the pause before the peer reopens it.
 */
const INCOMING_IDLE_RETRY_INTERVALS = 30;

/** A decoded length prefix. */
interface LengthPrefix {
  /** Bytes of the frame after the prefix. */
  length: number;
  /** Bytes of the prefix itself. */
  bytes: number;
}

/**
 * Decodes the prefix at the start of `bytes`; null if it is incomplete. Throws if it is invalid.
 */
function readLength(bytes: Buffer, maxBytes: number): LengthPrefix | null {
  let length = 0;
  let shift = 0;
  for (const [index, byte] of bytes.entries()) {
    length += (byte & 0x7f) * 2 ** shift;
    shift += 7;
    if (shift >= PREFIX_BITS_LIMIT) break;
    if ((byte & 0x80) !== 0) continue;
    if (length > maxBytes) break;
    return { length, bytes: index + 1 };
  }
  if (length > maxBytes || shift >= PREFIX_BITS_LIMIT) throw new FrameTooLongError();
  return null;
}

/**
 * Splits a byte stream into frames, each prefixed with its length as a varint, as protobuf does.
 */
export class FrameReader {
  private buffered: Buffer = Buffer.alloc(0);

  constructor(private readonly maxBytes: number) {}

  /** Adds received bytes and returns the frames that are complete. Throws for an invalid prefix. */
  push(part: Buffer): Buffer[] {
    this.buffered = this.buffered.length === 0 ? part : Buffer.concat([this.buffered, part]);
    const frames: Buffer[] = [];
    for (;;) {
      const prefix = readLength(this.buffered, this.maxBytes);
      if (!prefix) return frames;
      const end = prefix.bytes + prefix.length;
      if (this.buffered.length < end) return frames;
      frames.push(this.buffered.subarray(prefix.bytes, end));
      this.buffered = this.buffered.subarray(end);
    }
  }
}

/** Options of outgoing and incoming connections. */
export interface PeerLinkOptions {
  clock: Clock;
  /** Time in ms from the end of an outgoing connection until it is reopened. */
  reconnectMs: number;
  /**
   * Maximum size of a frame in bytes. A connection on which a larger one is received, or with more
   * bytes waiting to be sent, is closed.
   */
  maxFrameBytes: number;
  /** Handles a received frame; `answer` sends a frame back on the same connection. */
  onFrame(frame: Buffer, answer: (frame: Uint8Array) => void): void;
}

function readFrames(socket: net.Socket, options: PeerLinkOptions): void {
  const reader = new FrameReader(options.maxFrameBytes);
  socket.setNoDelay(true);
  socket.on('data', (part: Buffer) => {
    try {
      for (const frame of reader.push(part)) {
        options.onFrame(frame, (reply) => {
          if (!socket.destroyed) socket.write(reply);
        });
      }
    } catch {
      // A malformed frame closes only this connection; the controller continues to run.
      socket.destroy();
    }
  });
}

/** One outgoing connection to a peer, reopened when it closes. Frames may be lost. */
export class PeerLink {
  private socket: net.Socket | null = null;
  private isOpen = false;
  private isClosed = false;

  constructor(
    private readonly address: string,
    private readonly options: PeerLinkOptions,
  ) {
    this.connect();
  }

  /** Whether a frame can be sent now. */
  get isConnected(): boolean {
    return this.isOpen;
  }

  private connect(): void {
    if (this.isClosed) return;
    const socket = net.connect(parseAddress(this.address));
    this.socket = socket;
    // A connection that hangs in a network partition is closed, so that a new one can be opened.
    socket.setTimeout(this.options.reconnectMs * OUTGOING_IDLE_RETRY_INTERVALS, () =>
      socket.destroy(),
    );
    socket.on('connect', () => {
      this.isOpen = true;
    });
    readFrames(socket, this.options);
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.isOpen = false;
      this.options.clock.after(this.options.reconnectMs, () => this.connect());
    });
  }

  /**
   * Sends a frame; false: not sent, because there is no connection, or because more than
   * `maxFrameBytes` bytes wait to be sent and the connection was closed for that.
   */
  send(frame: Uint8Array): boolean {
    if (!this.isOpen || !this.socket) return false;
    if (this.socket.writableLength > this.options.maxFrameBytes) {
      this.socket.destroy();
      return false;
    }
    this.socket.write(frame);
    return true;
  }

  /** Closes the connection; it is not reopened. */
  close(): void {
    this.isClosed = true;
    this.socket?.destroy();
  }
}

/** Accepts connections from peers; resolves once the server listens. */
export function listenPeers(address: string, options: PeerLinkOptions): Promise<net.Server> {
  const { host, port } = parseAddress(address);
  return new Promise((resolve, reject) => {
    const server = net.createServer((socket) => {
      socket.on('error', () => undefined);
      socket.setTimeout(options.reconnectMs * INCOMING_IDLE_RETRY_INTERVALS, () =>
        socket.destroy(),
      );
      readFrames(socket, options);
    });
    server.on('error', reject);
    server.listen(port, host, () => resolve(server));
  });
}
