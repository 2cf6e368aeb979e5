/** HTTP servers and requests on loopback addresses, and free ports. */
import http from 'node:http';
import net from 'node:net';

const FIRST_PORT = 20_000;
const PORT_COUNT = 12_000;
let nextPort = (process.pid * 37) % PORT_COUNT;

/**
 * Returns a port of 127.0.0.1 that was free a moment ago and that was not returned before. It is below
 * the range of outgoing connections.
 */
export async function freePort() {
  for (;;) {
    const port = FIRST_PORT + (nextPort++ % PORT_COUNT);
    const isFree = await new Promise((resolve) => {
      const server = net.createServer();
      server.once('error', () => resolve(false));
      server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
    });
    if (isFree) return port;
  }
}

/**
 * Serves HTTP on a free port of 127.0.0.1. `handle` gets method, path, query and the parsed body, and
 * returns status and body; null closes the connection without an answer.
 */
export async function serve(handle) {
  const server = http.createServer((incoming, outgoing) => {
    const parts = [];
    incoming.on('data', (part) => parts.push(part));
    incoming.on('end', async () => {
      const { pathname, searchParams } = new URL(incoming.url, 'http://loopback');
      const text = Buffer.concat(parts).toString();
      try {
        const body = text === '' ? {} : JSON.parse(text);
        const reply = await handle({
          method: incoming.method,
          path: pathname,
          query: searchParams,
          body,
        });
        if (reply === null) incoming.destroy();
        else {
          outgoing.writeHead(reply.status, { 'content-type': 'application/json' });
          outgoing.end(JSON.stringify(reply.body ?? {}));
        }
      } catch (error) {
        process.stderr.write(`stand-in: ${error.stack}\n`);
        incoming.destroy();
      }
    });
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
  return {
    address: `127.0.0.1:${server.address().port}`,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

/**
 * Sends a request; resolves with status 0 if the connection fails or if no answer comes within
 * `timeoutMs`.
 */
export function send(address, method, path, body, timeoutMs, agent) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const payload = body === null ? null : Buffer.from(JSON.stringify(body));
    const headers = payload
      ? { 'content-type': 'application/json', 'content-length': payload.length }
      : {};
    const request = http.request({ host, port, method, path, headers, agent });
    const timer = setTimeout(() => request.destroy(), timeoutMs);
    const finish = (reply) => {
      clearTimeout(timer);
      resolve(reply);
    };
    request.on('error', () => finish({ status: 0, body: null }));
    request.on('response', (response) => {
      const parts = [];
      response.on('data', (part) => parts.push(part));
      response.on('error', () => finish({ status: 0, body: null }));
      response.on('aborted', () => finish({ status: 0, body: null }));
      response.on('end', () => {
        let parsed = null;
        try {
          parsed = JSON.parse(Buffer.concat(parts).toString());
        } catch {
          // An empty body, or none that is JSON.
        }
        const retryAfterS = Number(response.headers['retry-after'] ?? 0);
        finish({ status: response.statusCode, body: parsed, retryAfterS });
      });
    });
    request.end(payload ?? undefined);
  });
}

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
