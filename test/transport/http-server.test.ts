/**
 * Guards against requests that get no response or the wrong one, connections that are closed
 * without need, and a slow start because Node's fetch client is loaded. The server runs on real
 * sockets.
 */
import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import net, { type AddressInfo } from 'node:net';
import { dirname, join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { listenHttp, type HttpReply, type Route } from '../../src/transport/http-server.js';

const LIMIT = 64;
const ROUTES: Route[] = [
  { method: 'GET', path: '/jobs/:id', handle: ({ id }) => ({ status: 200, body: { id } }) },
  { method: 'POST', path: '/jobs', handle: ({ text }) => ({ status: 201, body: { text } }) },
  { method: 'GET', path: '/busy', handle: () => ({ status: 429, body: {}, retryAfterS: 7 }) },
  {
    method: 'GET',
    path: '/text',
    handle: () => ({ status: 200, body: 'ä', contentType: 'text/plain' }),
  },
  {
    method: 'GET',
    path: '/fault',
    handle: () => Promise.reject<HttpReply>(new Error('a fault')),
  },
];

const get = (path: string, method = 'GET'): string =>
  `${method} ${path} HTTP/1.1\r\nHost: a\r\n\r\n`;
const post = (body: string, headers = `Content-Length: ${body.length}`): string =>
  `POST /jobs HTTP/1.1\r\nHost: a\r\n${headers}\r\n\r\n${body}`;
const chunked = (body: string): string =>
  post(`${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`, 'Transfer-Encoding: chunked');

interface Row {
  name: string;
  request: string;
  status: number;
  /** Text that the response contains. */
  body: string;
  header?: string;
}

const ROWS: Row[] = [
  { name: 'a route', request: get('/jobs/j-1'), status: 200, body: '{"id":"j-1"}' },
  {
    name: 'an id followed by a query',
    request: get('/jobs/j-1?a=b'),
    status: 200,
    body: 'j-1"',
  },
  { name: 'an encoded id', request: get('/jobs/j%2D1'), status: 200, body: '"j-1"' },
  {
    name: 'an id with invalid percent-encoding',
    request: get('/jobs/j%zz'),
    status: 200,
    body: 'j%zz',
  },
  { name: 'an unknown path', request: get('/none'), status: 404, body: 'no such path' },
  { name: 'a deeper path', request: get('/jobs/j-1/x'), status: 404, body: 'no such path' },
  { name: 'another method', request: get('/jobs', 'GET'), status: 405, body: 'not allowed' },
  {
    name: 'a method with a body',
    request: get('/jobs/j-1', 'DELETE'),
    status: 405,
    body: 'not al',
  },
  { name: 'a body', request: post('hello'), status: 201, body: '{"text":"hello"}' },
  { name: 'a chunked body', request: chunked('hello'), status: 201, body: '{"text":"hello"}' },
  { name: 'no body', request: post(''), status: 201, body: '{"text":""}' },
  {
    name: 'a body above the limit',
    request: post('x'.repeat(LIMIT + 1)),
    status: 201,
    body: '{"text":null}',
  },
  {
    name: 'a chunked body above the limit',
    request: chunked('x'.repeat(LIMIT + 1)),
    status: 201,
    body: '{"text":null}',
  },
  {
    name: 'a response with Retry-After',
    request: get('/busy'),
    status: 429,
    body: '{}',
    header: 'retry-after: 7',
  },
  {
    name: 'a text with letters of two bytes',
    request: get('/text'),
    status: 200,
    body: 'ä',
    header: 'content-length: 2',
  },
  { name: 'a handler that fails', request: get('/fault'), status: 503, body: 'internal error' },
];

async function startServer(t: { after(close: () => void): void }): Promise<{
  port: number;
  errors: unknown[];
}> {
  const errors: unknown[] = [];
  const limits = {
    maxBodyBytes: LIMIT,
    maxConnections: 10,
    softConnectionLimit: 10,
    hardConnectionLimit: 10,
    keepAliveMs: 20_000,
  };
  const server = await listenHttp('127.0.0.1:0', ROUTES, limits, (error) => errors.push(error));
  t.after(() => server.closeAllConnections());
  t.after(() => server.close());
  return { port: (server.address() as AddressInfo).port, errors };
}

/** Sends requests on one connection and returns the text of the first `count` responses. */
function exchange(port: number, requests: string, count: number): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = net.connect(port, '127.0.0.1', () => socket.write(requests));
    let text = '';
    socket.on('data', (part) => {
      text += part.toString();
      if (text.split('HTTP/1.1 ').length <= count || !/[}ä]$/.test(text)) return;
      socket.destroy();
      resolve(text);
    });
    socket.on('error', reject);
  });
}

for (const { name, request, status, body, header } of ROWS) {
  test(`HTTP server: ${name}: the response is sent and the connection stays open`, async (t) => {
    const { port } = await startServer(t);
    const answers = await exchange(port, request + get('/jobs/again'), 2);
    assert.ok(answers.startsWith(`HTTP/1.1 ${status} `), answers);
    assert.ok(answers.includes(body), answers);
    if (header) assert.ok(answers.toLowerCase().includes(header), answers);
    assert.ok(answers.includes('{"id":"again"}'), answers);
  });
}

test('HTTP server: a disconnect within a body causes no error, and others are served', async (t) => {
  const { port, errors } = await startServer(t);
  await new Promise<void>((resolve) => {
    const socket = net.connect(port, '127.0.0.1', () => {
      socket.write(post('hel', 'Content-Length: 5'), () => socket.destroy());
    });
    socket.on('close', () => resolve());
  });
  const answer = await exchange(port, get('/jobs/j-1'), 1);
  assert.ok(answer.includes('{"id":"j-1"}'));
  assert.deepEqual(errors, []);
});

// Node's fetch client took half of a small controller's start-up time and is not used.
test('starting a controller does not load the fetch client', () => {
  const main = join(dirname(fileURLToPath(import.meta.url)), '..', '..', 'src', 'main.js');
  const script = `process.argv = [process.argv[0], 'mothbank', '--version'];
    process.on('exit', () => process.stderr.write(process.moduleLoadList.join('\\n')));
    import(${JSON.stringify(main)});`;
  const { stdout, stderr } = spawnSync(process.execPath, ['-e', script], { encoding: 'utf8' });
  assert.match(stdout, /^\d+\.\d+\.\d+\n$/);
  const loaded = stderr.split('\n').filter((name) => /undici|http2/.test(name));
  assert.deepEqual(loaded, []);
  assert.ok(stderr.includes('http'), 'the list of loaded modules was printed');
});
