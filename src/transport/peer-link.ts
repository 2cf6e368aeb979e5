/** Connections between controllers: length-prefixed frames over TCP. */

import net from 'node:net';
import { parseAddress } from './address.js';
import type { Clock } from './clock.js';
import { FrameTooLongError } from './errors.js';

/** Bits that a frame's length may take as a varint: more can't be a length. */
const LENGTH_BITS = 35;
/** Retry pauses after which a silent outgoing connection is given up. */
const SILENT_RETRIES = 5;
/** Retry pauses after which a silent incoming connection is given up: its other end redials. */
const INCOMING_SILENT_RETRIES = 30;

/** A frame's length, and how many bytes the length itself takes. */
interface LengthPrefix {
  length: number;
  bytes: number;
}

/** Null where the bytes end within the length. Throws where they can't be a length. */
function readLength(bytes: Buffer, maxBytes: number): LengthPrefix | null {
  let length = 0;
  let shift = 0;
  for (const [at, byte] of bytes.entries()) {
    length += (byte & 0x7f) * 2 ** shift;
    shift += 7;
    if (shift >= LENGTH_BITS) break;
    if ((byte & 0x80) !== 0) continue;
    if (length > maxBytes) break;
    return { length, bytes: at + 1 };
  }
  if (length > maxBytes || shift >= LENGTH_BITS) throw new FrameTooLongError();
  return null;
}

/** Cuts a byte stream into frames, each led by its length as a varint (protobuf's delimiting). */
export class FrameReader {
  private buffered: Buffer = Buffer.alloc(0);

  constructor(private readonly maxBytes: number) {}

  /** Throws where the stream can't be frames. */
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

/** What outgoing and incoming connections share. */
export interface PeerLinkOptions {
  clock: Clock;
  retryMs: number;
  maxFrameBytes: number;
  onFrame(frame: Buffer, answer: (frame: Uint8Array) => void): void;
}

function attach(socket: net.Socket, options: PeerLinkOptions): void {
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
      // A peer that sends what can't be read loses this connection and nothing else.
      socket.destroy();
    }
  });
}

/** One outgoing connection to a peer, made again when it breaks. Frames are only ever hints. */
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
  get connected(): boolean {
    return this.isOpen;
  }

  private connect(): void {
    if (this.isClosed) return;
    const socket = net.connect(parseAddress(this.address));
    this.socket = socket;
    // A connection that hangs behind a cut is given up, so that a new one finds the peer again.
    socket.setTimeout(this.options.retryMs * SILENT_RETRIES, () => socket.destroy());
    socket.on('connect', () => {
      this.isOpen = true;
    });
    attach(socket, this.options);
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.isOpen = false;
      this.options.clock.after(this.options.retryMs, () => this.connect());
    });
  }

  /** False: not sent, since there is no connection. */
  send(frame: Uint8Array): boolean {
    if (!this.isOpen || !this.socket) return false;
    if (this.socket.writableLength > this.options.maxFrameBytes) {
      this.socket.destroy();
      return false;
    }
    this.socket.write(frame);
    return true;
  }

  /** Ends the connection for good. */
  close(): void {
    this.isClosed = true;
    this.socket?.destroy();
  }
}

/** Takes connections from peers; resolves once the server listens. */
export function listenPeers(address: string, options: PeerLinkOptions): Promise<net.Server> {
  const { host, port } = parseAddress(address);
  return new Promise((resolve, reject) => {
    const server = net.createServer((socket) => {
      socket.on('error', () => undefined);
      socket.setTimeout(options.retryMs * INCOMING_SILENT_RETRIES, () => socket.destroy());
      attach(socket, options);
    });
    server.on('error', reject);
    server.listen(port, host, () => resolve(server));
  });
}
