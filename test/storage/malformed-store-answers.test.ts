/** Tests that responses of the key-value store without required fields are treated as errors. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HttpKeyValueStore } from '../../src/protocol/http-key-value-store.js';
import type { KeyValueStore } from '../../src/protocol/key-value-store.js';
import { OutcomeUnknownError } from '../../src/transport/errors.js';
import type { HttpResponse, HttpClient } from '../../src/transport/http-client.js';

/** Returns a client that gets the same response to every request. */
const clientWithResponse = (response: HttpResponse): HttpClient =>
  ({ call: () => Promise.resolve(response) }) as unknown as HttpClient;

interface MalformedResponseCase {
  name: string;
  body: unknown;
  request: (api: KeyValueStore) => Promise<unknown>;
}

const CASES: MalformedResponseCase[] = [
  { name: 'a page without a body', body: null, request: (api) => api.list('mb/', null) },
  {
    name: 'a page without items',
    body: { more: false, epoch: 3 },
    request: (api) => api.list('mb/', null),
  },
  {
    name: 'a page without a revision',
    body: { items: [] },
    request: (api) => api.list('mb/', null),
  },
  { name: 'changes without a log', body: { epoch: 3 }, request: (api) => api.watch('mb/', 1, 10) },
  {
    name: 'changes without a revision',
    body: { log: [] },
    request: (api) => api.watch('mb/', 1, 10),
  },
  {
    name: 'a key without a revision',
    body: { v: 1 },
    request: (api) => api.get('mb/live/job/j-1'),
  },
  {
    name: 'a transaction without a revision',
    body: {},
    request: (api) => api.compareAndSwap([], []),
  },
  { name: 'a lease without a number', body: {}, request: (api) => api.grant(1000) },
];

// Guards against jobs that seem to be absent. A page that could not be read was treated as an empty
// list of all keys, so that no job would have existed any more.
test('key-value store: a response without a required field is an error', async () => {
  for (const { name, body, request } of CASES) {
    const client = clientWithResponse({ status: 200, body });
    await assert.rejects(
      request(new HttpKeyValueStore(client, client, 1000)),
      OutcomeUnknownError,
      name,
    );
  }
});

test('key-value store: complete responses are parsed', async () => {
  const respondWith = (status: number, body: unknown): KeyValueStore => {
    const client = clientWithResponse({ status, body });
    return new HttpKeyValueStore(client, client, 1000);
  };
  assert.deepEqual(await respondWith(200, { v: 1, mark: 4 }).get('k'), { value: 1, revision: 4 });
  assert.equal(await respondWith(404, { epoch: 5 }).get('k'), null);
  assert.deepEqual(await respondWith(200, { epoch: 5 }).compareAndSwap([], []), {
    ok: true,
    revision: 5,
  });
  assert.deepEqual(await respondWith(409, { failed: ['k'] }).compareAndSwap([], []), {
    ok: false,
    failed: ['k'],
  });
  assert.deepEqual(await respondWith(409, null).compareAndSwap([], []), { ok: false, failed: [] });
  assert.equal(await respondWith(410, null).watch('mb/', 1, 10), null);
  assert.deepEqual(await respondWith(200, { items: [], more: false, epoch: 5 }).list('mb/', null), {
    entries: [],
    more: false,
    revision: 5,
  });
});
