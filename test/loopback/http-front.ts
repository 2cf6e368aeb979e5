/** HTTP servers of the simulated parts on loopback, and a client for requests to controllers. */
import http from 'node:http';
import type { AddressInfo } from 'node:net';

/** The answer of a simulated part; null closes the connection without an answer. */
export type FrontReply = { status: number; body: unknown } | null;

/** A request to a simulated part. */
export interface FrontRequest {
  method: string;
  path: string;
  query: URLSearchParams;
  body: Record<string, unknown>;
}

async function readBody(incoming: http.IncomingMessage): Promise<Record<string, unknown>> {
  const parts: Buffer[] = [];
  for await (const part of incoming) parts.push(part as Buffer);
  const text = Buffer.concat(parts).toString();
  return text === '' ? {} : (JSON.parse(text) as Record<string, unknown>);
}

/** A server on a free port of 127.0.0.1. */
export class HttpFront {
  private constructor(private readonly server: http.Server) {}

  /** Opens a server that answers each request with what `handle` returns. */
  static async open(handle: (request: FrontRequest) => Promise<FrontReply>): Promise<HttpFront> {
    const server = http.createServer((incoming, outgoing) => {
      const { pathname, searchParams } = new URL(incoming.url ?? '/', 'http://loopback');
      const { method = 'GET' } = incoming;
      void readBody(incoming)
        .then((body) => handle({ method, path: pathname, query: searchParams, body }))
        .then((reply) => {
          if (reply === null) incoming.destroy();
          else outgoing.writeHead(reply.status).end(JSON.stringify(reply.body));
        })
        .catch(() => incoming.destroy());
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    return new HttpFront(server);
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.server.closeAllConnections();
    this.server.close();
  }
}

/** Sends a request. The status is 0 if the connection fails or no answer arrives within `timeoutMs`. */
export function send(
  address: string,
  method: string,
  path: string,
  body: string | null,
  timeoutMs: number,
): Promise<{ status: number; body: unknown }> {
  const { hostname: host, port } = new URL(`http://${address}`);
  return new Promise((resolve) => {
    const fail = (): void => resolve({ status: 0, body: null });
    const request = http.request({ host, port, method, path, timeout: timeoutMs }, (response) => {
      const parts: Buffer[] = [];
      response.on('data', (part: Buffer) => parts.push(part));
      response.on('error', fail);
      response.on('end', () => {
        const text = Buffer.concat(parts).toString();
        resolve({ status: response.statusCode ?? 0, body: text === '' ? null : parse(text) });
      });
    });
    request.on('timeout', () => request.destroy());
    request.on('error', fail);
    request.end(body ?? undefined);
  });
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}
