import net from 'node:net';
import type { Clock } from './clock.js';

/** Cuts a byte stream into frames, each led by its length as a varint (protobuf's delimiting). */
export class FrameReader {
  private held: Buffer = Buffer.alloc(0);

  constructor(private readonly maxBytes: number) {}

  /** Throws where the stream can't be frames. */
  push(part: Buffer): Buffer[] {
    this.held = this.held.length === 0 ? part : Buffer.concat([this.held, part]);
    const frames: Buffer[] = [];
    for (;;) {
      let length = 0;
      let shift = 0;
      let at = 0;
      let whole = false;
      while (at < this.held.length && shift < 35) {
        const byte = this.held[at++] ?? 0;
        length += (byte & 0x7f) * 2 ** shift;
        shift += 7;
        if ((byte & 0x80) === 0) {
          whole = true;
          break;
        }
      }
      if (length > this.maxBytes || shift >= 35) throw new Error('frame too long');
      if (!whole || this.held.length < at + length) return frames;
      frames.push(this.held.subarray(at, at + length));
      this.held = this.held.subarray(at + length);
    }
  }
}

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
  private open = false;
  private closed = false;

  constructor(
    private readonly address: string,
    private readonly options: PeerLinkOptions,
  ) {
    this.connect();
  }

  get connected(): boolean {
    return this.open;
  }

  private connect(): void {
    if (this.closed) return;
    const colon = this.address.lastIndexOf(':');
    const socket = net.connect({
      host: this.address.slice(0, colon),
      port: Number(this.address.slice(colon + 1)),
    });
    this.socket = socket;
    // A connection that hangs behind a cut is given up, so that a new one finds the peer again.
    socket.setTimeout(this.options.retryMs * 5, () => socket.destroy());
    socket.on('connect', () => {
      this.open = true;
    });
    attach(socket, this.options);
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.open = false;
      this.options.clock.after(this.options.retryMs, () => this.connect());
    });
  }

  /** False: not sent, since there is no connection. */
  send(frame: Uint8Array): boolean {
    if (!this.open || !this.socket) return false;
    if (this.socket.writableLength > this.options.maxFrameBytes) {
      this.socket.destroy();
      return false;
    }
    this.socket.write(frame);
    return true;
  }

  close(): void {
    this.closed = true;
    this.socket?.destroy();
  }
}

export function listenPeers(address: string, options: PeerLinkOptions): Promise<net.Server> {
  const colon = address.lastIndexOf(':');
  return new Promise((resolve, reject) => {
    const server = net.createServer((socket) => {
      socket.on('error', () => undefined);
      socket.setTimeout(options.retryMs * 30, () => socket.destroy());
      attach(socket, options);
    });
    server.on('error', reject);
    server.listen(Number(address.slice(colon + 1)), address.slice(0, colon), () => resolve(server));
  });
}
