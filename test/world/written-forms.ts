/**
 * Examples of everything that this version writes: messages, requests, answers and records, as text.
 * The names of the examples are keys in the files of test/fixtures, so they stay as they are when the
 * program's own names change. The same holds for the order of the values.
 */
import { HttpCloudApi } from '../../src/protocol/cloud-api.js';
import { encodeDetectorMessage } from '../../src/protocol/detector-codec.js';
import { encodePeerMessage, type PeerMessage } from '../../src/protocol/peer-messages.js';
import { HttpKeyValueStore } from '../../src/protocol/http-key-value-store.js';
import { encodeJobState, encodeJobView } from '../../src/protocol/user-codec.js';
import {
  encodeDirectCommands,
  encodeRedirect,
  encodeHeartbeatAnswer,
} from '../../src/protocol/worker-codec.js';
import type { HttpResponse, HttpClient } from '../../src/transport/http-client.js';
import { banditForms, metricForms, recordForms, type Forms } from './written-records.js';

const hexOf = (bytes: Uint8Array): string => Buffer.from(bytes).toString('hex');

const TENURE = { node: 'n1', role: 'part-n2', term: 2 ** 33, incarnation: 'n1-7' };
const PEER_MESSAGES: Record<string, PeerMessage> = {
  poke: { kind: 'storeChanged', node: 'n1', revision: 2 ** 40 },
  'poke, cancelled': {
    kind: 'storeChanged',
    node: 'n1',
    revision: 41,
    cancelled: { job: 'j-000412', tasks: 16 },
  },
  'relay report': { kind: 'relay', id: 7, operation: 'heartbeat', jobId: '', body: '{"moth":"ä"}' },
  'relay submit': { kind: 'relay', id: 8, operation: 'submit', jobId: '', body: '{}' },
  'relay poll': { kind: 'relay', id: 9, operation: 'poll', jobId: 'j-000001', body: '' },
  'relay cancel': { kind: 'relay', id: 2 ** 35, operation: 'cancel', jobId: 'j-000002', body: '' },
  relayed: { kind: 'relayed', id: 7, status: 200, body: '{"a":1}', isProven: false },
  'relayed, proven': { kind: 'relayed', id: 8, status: 404, body: '{}', isProven: true },
  'stand down': { kind: 'stepDown', ...TENURE },
  'stood down': { kind: 'steppedDown', ...TENURE },
};

const DETECTOR_MESSAGE = {
  cluster: 'n0,n1,n2',
  from: 'n1',
  instance: 'n1-7',
  incarnation: 3,
  updates: [
    {
      member: 'n2',
      instance: 'n2-4',
      incarnation: 5,
      state: 'suspect' as const,
      witness: 'n0',
      storeAnswers: true,
    },
    {
      member: 'n0',
      instance: 'n0-1',
      incarnation: 0,
      state: 'alive' as const,
      witness: 'n1',
      storeAnswers: false,
    },
  ],
};
const DETECTOR_BODIES = [
  { kind: 'ping', sequence: 4 },
  { kind: 'ack', sequence: 4 },
  { kind: 'indirectPing', sequence: 5, target: 'n2' },
  {
    kind: 'indirectAck',
    sequence: 5,
    target: 'n2',
    isReached: true,
    instance: 'n2-4',
    incarnation: 6,
  },
] as const;

/** The frames that controllers send one another, in hexadecimal digits. */
function peerForms(): Forms {
  const forms: Forms = {};
  for (const [name, message] of Object.entries(PEER_MESSAGES)) {
    forms[`peer: ${name}`] = hexOf(encodePeerMessage(message));
  }
  for (const body of DETECTOR_BODIES) {
    const payload = encodeDetectorMessage({ ...DETECTOR_MESSAGE, body });
    forms[`detector: ${body.kind}`] = hexOf(payload);
    forms[`peer: detector ${body.kind}`] = hexOf(encodePeerMessage({ kind: 'detector', payload }));
  }
  return forms;
}

/** The answers to workers and users, and the commands sent to workers. */
function answerForms(): Forms {
  const task = { job: 'j-000412', index: 3 };
  const commands = [
    { op: 'start' as const, task, attempt: 2 ** 45 },
    { op: 'stop' as const, task, attempt: 1, graceS: 10 },
    { op: 'stop' as const, task, attempt: 1 },
    { op: 'forget' as const, task, attempt: 1 },
  ];
  const forms: Record<string, unknown> = {
    'worker: answer': encodeHeartbeatAnswer(41, commands),
    'worker: answer without commands': encodeHeartbeatAnswer(41, []),
    'worker: direct commands': encodeDirectCommands(41, 2, commands),
    'worker: redirect': encodeRedirect('moth-2'),
    'worker: redirect to nobody': encodeRedirect(null),
    'user: poll': encodeJobView('j-000412', 'running', 3, 13),
  };
  for (const state of ['queued', 'running', 'done', 'cancelled'] as const) {
    forms[`user: ${state}`] = encodeJobState('j-000412', state);
  }
  return Object.fromEntries(
    Object.entries(forms).map(([name, value]) => [name, JSON.stringify(value)]),
  );
}

/** Returns a client that records each request, and answers by the first prefix of its path. */
function recordingClient(requests: string[], answers: Record<string, HttpResponse>): HttpClient {
  const client = {
    call: (method: string, path: string, body: unknown): Promise<HttpResponse> => {
      requests.push(`${method} ${path} ${JSON.stringify(body) ?? ''}`.trimEnd());
      const found = Object.entries(answers).find(([prefix]) => path.startsWith(prefix));
      return Promise.resolve(found?.[1] ?? { status: 200, body: {} });
    },
  };
  return client as unknown as HttpClient;
}

/** Replaces objects by lists of their values, so that names in the program make no difference. */
export function valuesOf(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(valuesOf);
  if (typeof value !== 'object' || value === null) return value;
  return Object.values(value).map(valuesOf);
}

/** The requests to the key-value store, and the values that are read from its answers. */
async function storeForms(): Promise<Forms> {
  const requests: string[] = [];
  const client = recordingClient(requests, {
    '/kv?': {
      status: 200,
      body: { items: [{ path: 'a/b', v: { c: 1 }, mark: 7 }], more: true, epoch: 9 },
    },
    '/kv/': { status: 200, body: { path: 'a/b', v: { c: 1 }, mark: 412, perch: 7 } },
    '/txn': { status: 200, body: { epoch: 432 } },
    '/grants/7/extend': { status: 200, body: {} },
    '/grants': { status: 200, body: { perch: 7 } },
    '/changes': {
      status: 200,
      body: {
        epoch: 433,
        log: [
          { put: 'c/9', v: { d: 2 }, mark: 433 },
          { remove: 'c/d', mark: 432 },
        ],
      },
    },
  });
  const api = new HttpKeyValueStore(client, client, 2000);
  const guards = [{ key: 'a/b', revision: 0 }];
  const changes = [
    { key: 'a/b', value: { c: 1 }, lease: 7 },
    { key: 'a/c', value: [] },
    { key: 'c/d', remove: true as const },
  ];
  const answers = [
    await api.get('mb/live/job/j-000001'),
    await api.list('mb/live/', null),
    await api.list('mb/live/', 'mb/live/job/j-000001'),
    await api.compareAndSwap(guards, changes),
    await api.grant(6000),
    await api.extend(7),
    await api.watch('mb/', 431, 1000),
  ];
  return {
    'state service: requests': requests.join('\n'),
    'state service: answers': JSON.stringify(valuesOf(answers)),
  };
}

/** The requests to the cloud, and the values that are read from its answers. */
async function cloudForms(): Promise<Forms> {
  const requests: string[] = [];
  const type = {
    label: 'g8',
    cores: 96,
    gpus: 8,
    memGb: 768,
    cacheGb: 200,
    pullGbPerS: 1.5,
    rate: 12,
    lowPrice: 4.5,
    bootS: 45,
    groves: ['a', 'b'],
  };
  const machine = {
    ref: 'm-000231',
    endpoint: '10.1.0.232:9000',
    breed: 'g8',
    grove: 'a',
    windfall: true,
    stage: 'booting',
    heldS: 61.5,
  };
  const client = recordingClient(requests, {
    '/catalog': { status: 200, body: { breeds: [type] } },
    '/rentals/return': { status: 200, body: {} },
    '/rentals?': { status: 200, body: { moths: [machine], more: true } },
    '/rentals': { status: 200, body: { moths: ['m-000231'] } },
  });
  const api = new HttpCloudApi(client, 8000, 500);
  const answers = [
    await api.types(),
    await api.rent({ request: 'r-17', type: 'g8', zone: 'a', spot: true, count: 12 }),
    await api.returnMachines(['m-000231', 'm-000232']),
    await api.list(''),
    await api.list('m-000230'),
  ];
  return {
    'cloud: requests': requests.join('\n'),
    'cloud: answers': JSON.stringify(valuesOf(answers)),
  };
}

/** Returns all examples of this version. */
export async function writtenForms(): Promise<Forms> {
  return {
    ...peerForms(),
    ...answerForms(),
    ...(await storeForms()),
    ...(await cloudForms()),
    ...banditForms(),
    ...(await recordForms()),
    ...(await metricForms()),
  };
}
