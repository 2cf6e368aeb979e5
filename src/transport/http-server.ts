/**
 * An HTTP/1.1 server for a fixed set of routes with JSON answers: Hono's router on Node's own server.
 * Hono's adapter for Node is left out on purpose. It builds on the web's `Request` and `Response`,
 * which Node loads with its whole fetch client: half of a controller's start-up time.
 */

import {
  createServer,
  type IncomingMessage,
  type OutgoingHttpHeaders,
  type Server,
  type ServerResponse,
} from 'node:http';
import type { Socket } from 'node:net';
import { PatternRouter } from 'hono/router/pattern-router';
import { parseAddress } from './address.js';

/** What a route answers. */
export interface HttpReply {
  status: number;
  body: unknown;
  retryAfterS?: number;
  /** Content type of a body that is not JSON. */
  type?: string;
}

/** What a route gets of a request. */
export interface HttpRequest {
  /** The part of the path that a `:id` stands for, or ''. */
  id: string;
  /** The body as text; null where it was longer than the limit. */
  text: string | null;
}

/** A method and path, and what answers it. */
export interface Route {
  method: 'GET' | 'POST';
  path: string;
  /** Its connections stay open however many there are. */
  keepsConnection?: boolean;
  handle(request: HttpRequest): HttpReply | Promise<HttpReply>;
}

/** Limits that keep a server responsive under load. */
export interface ServerLimits {
  bodyBytes: number;
  connections: number;
  /** More connections than this: those of other routes end with their answer. */
  crowded: number;
  /** More connections than this: all end with their answer, so that others find one in turn. */
  full: number;
  keepAliveMs: number;
}

/** Milliseconds in which a client must have sent a request's headers. */
const HEADERS_TIMEOUT_MS = 15_000;

/** Any method, in the words of Hono's routers. */
const ANY_METHOD = 'ALL';

/** The routes of one path. */
type PathRoutes = readonly Route[];

/** The path of a request's target, without its query. */
function pathOf(target: string): string {
  const end = target.search(/[?#]/);
  return end < 0 ? target : target.slice(0, end);
}

/** A part of a path as text; what can't be decoded is taken as it stands. */
function decodePart(part: string): string {
  if (!part.includes('%')) return part;
  try {
    return decodeURIComponent(part);
  } catch {
    return part;
  }
}

/** The body as text; null where it is longer than the limit. Rejects where it breaks off. */
function readText(incoming: IncomingMessage, limit: number): Promise<string | null> {
  if (Number(incoming.headers['content-length'] ?? '0') > limit) {
    incoming.resume();
    return Promise.resolve(null);
  }
  return new Promise((resolve, reject) => {
    const parts: Buffer[] = [];
    let bytes = 0;
    incoming.on('data', (part: Buffer) => {
      bytes += part.length;
      if (bytes <= limit) parts.push(part);
    });
    incoming.on('end', () => resolve(bytes > limit ? null : Buffer.concat(parts).toString()));
    incoming.on('error', reject);
  });
}

function send(outgoing: ServerResponse, reply: HttpReply, keepAlive: boolean): void {
  const body = typeof reply.body === 'string' ? reply.body : JSON.stringify(reply.body);
  const headers: OutgoingHttpHeaders = {
    'content-type': reply.type ?? 'application/json',
    'content-length': Buffer.byteLength(body),
  };
  if (reply.retryAfterS !== undefined) headers['retry-after'] = String(reply.retryAfterS);
  if (!keepAlive) outgoing.shouldKeepAlive = false;
  outgoing.writeHead(reply.status, headers);
  outgoing.end(body);
}

/** Finds the route of each request and sends its answer. */
class Dispatcher {
  private readonly router = new PatternRouter<PathRoutes>();
  private openConnections = 0;

  constructor(
    routes: readonly Route[],
    private readonly limits: ServerLimits,
    private readonly onError: (error: unknown) => void,
  ) {
    for (const path of new Set(routes.map((route) => route.path))) {
      const group = routes.filter((route) => route.path === path);
      this.router.add(ANY_METHOD, path, group);
    }
  }

  /** Counts a connection until it closes. */
  onConnection(socket: Socket): void {
    this.openConnections++;
    socket.once('close', () => this.openConnections--);
  }

  /** Answers one request; what fails is answered too, unless its client is gone. */
  async handle(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    try {
      const route = this.findRoute(incoming);
      if ('status' in route) {
        incoming.resume();
        send(outgoing, route, true);
        return;
      }
      const reply = await this.answer(route.found, route.id, incoming);
      send(outgoing, reply, this.mayKeepConnection(route.found));
    } catch (error) {
      this.answerFailure(error, incoming, outgoing);
    }
  }

  /** Whether the connection of a request to this route stays open after its answer. */
  private mayKeepConnection(route: Route): boolean {
    const { crowded, full } = this.limits;
    return this.openConnections <= (route.keepsConnection ? full : crowded);
  }

  /** The route of a request with the part of its path that stands for `:id`, or why there is none. */
  private findRoute(incoming: IncomingMessage): HttpReply | { found: Route; id: string } {
    const { method = '', url = '/' } = incoming;
    const [match] = this.router.match(method, pathOf(url))[0];
    if (!match) return { status: 404, body: { error: 'no such path' } };
    const [group, parameters] = match as [PathRoutes, Record<string, string>];
    const found = group.find((route) => route.method === method);
    if (!found) return { status: 405, body: { error: 'method not allowed' } };
    return { found, id: decodePart(parameters['id'] ?? '') };
  }

  private async answer(route: Route, id: string, incoming: IncomingMessage): Promise<HttpReply> {
    if (route.method === 'GET') {
      incoming.resume();
      return route.handle({ id, text: '' });
    }
    const text = await readText(incoming, this.limits.bodyBytes);
    return route.handle({ id, text });
  }

  private answerFailure(error: unknown, incoming: IncomingMessage, outgoing: ServerResponse): void {
    // A client that ended its connection waits for no answer, and is no fault of ours.
    if (incoming.destroyed && !incoming.complete) return;
    this.onError(error);
    if (!outgoing.headersSent)
      send(outgoing, { status: 503, body: { error: 'internal error' } }, true);
  }
}

/** Serves routes with JSON answers; everything unexpected is answered as JSON too. */
export function listenHttp(
  address: string,
  routes: Route[],
  limits: ServerLimits,
  onError: (error: unknown) => void,
): Promise<Server> {
  const dispatcher = new Dispatcher(routes, limits, onError);
  const { host, port } = parseAddress(address);
  const options = {
    keepAliveTimeout: limits.keepAliveMs,
    requestTimeout: 0,
    headersTimeout: HEADERS_TIMEOUT_MS,
  };
  return new Promise((resolve, reject) => {
    const server = createServer(options, (incoming, outgoing) => {
      void dispatcher.handle(incoming, outgoing);
    });
    server.maxConnections = limits.connections;
    server.on('connection', (socket: Socket) => dispatcher.onConnection(socket));
    server.on('clientError', (_error, socket) => socket.destroy());
    server.on('error', reject);
    server.listen(port, host, () => resolve(server));
  });
}
