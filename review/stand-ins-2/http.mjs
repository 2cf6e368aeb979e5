/** A small HTTP server on a free loopback port, and a client for single JSON requests. */
import http from 'node:http';

const parse = (text) => {
  try {
    return JSON.parse(text);
  } catch {
    return null;
  }
};

/**
 * Opens a server. `handle` returns `{ status, body }`, or null to leave the request without an
 * answer; the connection then stays open until the sender closes it.
 */
export async function serve(handle, port = 0) {
  const server = http.createServer((incoming, outgoing) => {
    const parts = [];
    incoming.on('data', (part) => parts.push(part));
    incoming.on('error', () => undefined);
    incoming.on('end', async () => {
      const url = new URL(incoming.url, 'http://loopback');
      const text = Buffer.concat(parts).toString();
      const reply = await handle({
        method: incoming.method,
        path: url.pathname,
        query: url.searchParams,
        body: text === '' ? null : parse(text),
      });
      if (!reply || outgoing.destroyed) return;
      outgoing.writeHead(reply.status, { 'content-type': 'application/json' });
      outgoing.end(JSON.stringify(reply.body ?? {}));
    });
  });
  server.keepAliveTimeout = 120_000;
  await new Promise((resolve) => server.listen(port, '127.0.0.1', resolve));
  return {
    address: `127.0.0.1:${server.address().port}`,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

/** Sends one request; status 0: no complete answer within `timeoutMs`. */
export function send(address, method, path, body, timeoutMs, agent) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const payload = body === null || body === undefined ? null : JSON.stringify(body);
    const headers = payload
      ? { 'content-type': 'application/json', 'content-length': Buffer.byteLength(payload) }
      : {};
    const request = http.request({ host, port, method, path, headers, agent }, (response) => {
      const parts = [];
      response.on('data', (part) => parts.push(part));
      response.on('error', () => finish({ status: 0, body: null }));
      response.on('end', () =>
        finish({
          status: response.statusCode,
          headers: response.headers,
          body: parse(Buffer.concat(parts).toString()),
        }),
      );
    });
    const timer = setTimeout(() => request.destroy(new Error('timed out')), timeoutMs);
    const finish = (reply) => {
      clearTimeout(timer);
      resolve(reply);
    };
    request.on('error', () => finish({ status: 0, body: null }));
    request.end(payload ?? undefined);
  });
}

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
