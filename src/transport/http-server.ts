import { serve } from '@hono/node-server';
import { Hono } from 'hono/tiny';
import type { Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

export interface HttpReply {
  status: number;
  body: unknown;
  retryAfterS?: number;
  /** Content type of a body that is not JSON. */
  type?: string;
}

export interface HttpRequest {
  /** The part of the path that a `:id` stands for, or ''. */
  id: string;
  /** The body as text; null where it was longer than the limit. */
  text: string | null;
}

export interface Route {
  method: 'GET' | 'POST';
  path: string;
  /** Its connections stay open however many there are. */
  keeps?: boolean;
  handle(request: HttpRequest): HttpReply | Promise<HttpReply>;
}

export interface ServerLimits {
  bodyBytes: number;
  connections: number;
  /** More connections than this: those of other routes end with their answer. */
  crowded: number;
  keepAliveMs: number;
}

/** Serves routes with JSON answers; everything unexpected is answered as JSON too. */
export function listenHttp(
  address: string,
  routes: Route[],
  limits: ServerLimits,
  onError: (error: unknown) => void,
): Promise<Server> {
  const app = new Hono();
  let open = 0;
  const byPath = new Map<string, Route[]>();
  for (const route of routes) {
    byPath.set(route.path, [...(byPath.get(route.path) ?? []), route]);
  }
  for (const [path, group] of byPath) {
    app.all(path, async (context) => {
      const route = group.find((one) => one.method === context.req.method);
      if (!route) return context.json({ error: 'method not allowed' }, 405);
      let text: string | null = '';
      if (route.method === 'POST') {
        const declared = Number(context.req.header('content-length') ?? '0');
        text = declared > limits.bodyBytes ? null : await context.req.text();
        if (text !== null && Buffer.byteLength(text) > limits.bodyBytes) text = null;
      }
      const reply = await route.handle({ id: context.req.param('id') ?? '', text });
      const headers: Record<string, string> = { 'content-type': reply.type ?? 'application/json' };
      if (reply.retryAfterS !== undefined) headers['retry-after'] = String(reply.retryAfterS);
      if (open > limits.crowded && !route.keeps) {
        (context.env as { outgoing: ServerResponse }).outgoing.shouldKeepAlive = false;
      }
      const body = typeof reply.body === 'string' ? reply.body : JSON.stringify(reply.body);
      return new Response(body, { status: reply.status, headers });
    });
  }
  app.notFound((context) => context.json({ error: 'no such path' }, 404));
  app.onError((error, context) => {
    onError(error);
    return context.json({ error: 'internal error' }, 503);
  });
  const colon = address.lastIndexOf(':');
  return new Promise((resolve, reject) => {
    const server = serve(
      {
        fetch: app.fetch,
        hostname: address.slice(0, colon),
        port: Number(address.slice(colon + 1)),
        overrideGlobalObjects: true,
        serverOptions: {
          keepAliveTimeout: limits.keepAliveMs,
          requestTimeout: 0,
          headersTimeout: 15_000,
        },
      },
      () => resolve(server as Server),
    ) as Server;
    server.maxConnections = limits.connections;
    server.on('connection', (socket: Socket) => {
      open++;
      socket.once('close', () => open--);
    });
    server.on('clientError', (_error, socket) => socket.destroy());
    server.on('error', reject);
  });
}
