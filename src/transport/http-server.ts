/**
 * An HTTP/1.1 server for a fixed set of routes with JSON responses: Hono's router on Node's server.
 * Hono's adapter for Node is not used, because it needs the web classes `Request` and `Response`.
 * Node loads them together with its fetch client, which took half of a controller's start-up time.
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

/** A route's response. */
export interface HttpReply {
  status: number;
  body: unknown;
  retryAfterS?: number;
  /** Content type of a body that is not JSON. */
  contentType?: string;
}

/** The parts of a request that a route's handler receives. */
interface HttpRequest {
  /** The path segment that matched `:id`, decoded; '' for paths without one. */
  id: string;
  /** The body as text; null if it was longer than the limit. */
  text: string | null;
}

/** A method and path with the handler of its requests. */
export interface Route {
  method: 'GET' | 'POST';
  path: string;
  /**
   * True: after a response of this route the connection stays open up to the hard limit of
   * connections, and not only up to the soft limit as after responses of other routes.
   */
  keepsConnection?: boolean;
  handle(request: HttpRequest): HttpReply | Promise<HttpReply>;
}

/** Limits that keep a server responsive under load. */
export interface ServerLimits {
  /** Maximum size of a body in bytes; a handler receives null instead of a larger one. */
  maxBodyBytes: number;
  /** Maximum number of connections; further ones are closed at once. */
  maxConnections: number;
  /**
   * Soft limit: with more connections than this, a connection is closed after its response, unless
   * its route has `keepsConnection`.
   */
  softConnectionLimit: number;
  /**
   * Hard limit: with more connections than this, every connection is closed after its response, so
   * that clients without one can connect.
   */
  hardConnectionLimit: number;
  /** Milliseconds after which an idle connection is closed. */
  keepAliveMs: number;
}

/** Milliseconds within which a client must send the headers of a request. */
const HEADERS_TIMEOUT_MS = 15_000;

/** Hono's name for any method. */
const ANY_METHOD = 'ALL';

/** The routes of one path. */
type PathRoutes = readonly Route[];

/** Returns the path in a request's target, without query and fragment. */
function pathOf(target: string): string {
  const end = target.search(/[?#]/);
  return end < 0 ? target : target.slice(0, end);
}

/** Decodes a path segment; one with invalid percent-encoding is returned unchanged. */
function decodeSegment(part: string): string {
  if (!part.includes('%')) return part;
  try {
    return decodeURIComponent(part);
  } catch {
    return part;
  }
}

/**
 * Reads the body as text; null if it is longer than the limit. Rejects if the connection breaks.
 */
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
    'content-type': reply.contentType ?? 'application/json',
    'content-length': Buffer.byteLength(body),
  };
  if (reply.retryAfterS !== undefined) headers['retry-after'] = String(reply.retryAfterS);
  if (!keepAlive) outgoing.shouldKeepAlive = false;
  outgoing.writeHead(reply.status, headers);
  outgoing.end(body);
}

/** Finds the route of each request and sends its response. */
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

  /**
   * Responds to one request, also if its handler fails, unless the client closed the connection.
   */
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

  /** Returns whether a connection stays open after the response to a request of this route. */
  private mayKeepConnection(route: Route): boolean {
    const { softConnectionLimit, hardConnectionLimit } = this.limits;
    return (
      this.openConnections <= (route.keepsConnection ? hardConnectionLimit : softConnectionLimit)
    );
  }

  /**
   * Returns the route of a request with the `:id` of its path, or a 404 or 405 response if none
   * matches.
   */
  private findRoute(incoming: IncomingMessage): HttpReply | { found: Route; id: string } {
    const { method = '', url = '/' } = incoming;
    const [match] = this.router.match(method, pathOf(url))[0];
    if (!match) return { status: 404, body: { error: 'no such path' } };
    const [group, parameters] = match as [PathRoutes, Record<string, string>];
    const found = group.find((route) => route.method === method);
    if (!found) return { status: 405, body: { error: 'method not allowed' } };
    return { found, id: decodeSegment(parameters['id'] ?? '') };
  }

  private async answer(route: Route, id: string, incoming: IncomingMessage): Promise<HttpReply> {
    if (route.method === 'GET') {
      incoming.resume();
      return route.handle({ id, text: '' });
    }
    const text = await readText(incoming, this.limits.maxBodyBytes);
    return route.handle({ id, text });
  }

  private answerFailure(error: unknown, incoming: IncomingMessage, outgoing: ServerResponse): void {
    // The client closed the connection before its request was complete, which is no server error.
    if (incoming.destroyed && !incoming.complete) return;
    this.onError(error);
    if (!outgoing.headersSent)
      send(outgoing, { status: 503, body: { error: 'internal error' } }, true);
  }
}

/**
 * Serves the routes with JSON responses, also for unknown paths and failed handlers. Resolves once
 * the server listens; `onError` receives the errors of handlers.
 */
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
    server.maxConnections = limits.maxConnections;
    server.on('connection', (socket: Socket) => dispatcher.onConnection(socket));
    server.on('clientError', (_error, socket) => socket.destroy());
    server.on('error', reject);
    server.listen(port, host, () => resolve(server));
  });
}
