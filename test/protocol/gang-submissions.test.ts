import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { readSettings } from '../../src/protocol/settings.js';
import { listenHttp, type HttpReply } from '../../src/transport/http-server.js';
import { World } from '../world/world.js';
import { SETTINGS_FILE } from '../world/settings-file.js';

const GANG = 'j-000001';

const SUBMISSION = {
  ref: GANG,
  lane: 'work',
  crew: 'red',
  shape: 'group',
  rank: 'normal',
  larvae: 4,
  cores: 2,
  gpus: 0,
  memGb: 1,
  cocoon: 'img-1',
  imageGb: 1,
  breeds: null,
  grove: null,
  samePlace: false,
  apart: false,
  windfall: true,
  guessS: 10,
  moltS: 5,
  spinS: 3,
  duskS: null,
};
const NULLABLE = ['breeds', 'grove', 'duskS'];

/** Submits as a user does and gives the whole answer, headers included. */
async function post(world: World, body: object, at = 'n0'): Promise<HttpReply> {
  const node = world.nodes.get(at)?.node;
  assert.ok(node);
  let reply: HttpReply | null = null;
  void node.handleUserRequest('submit', '', JSON.stringify(body)).then((one) => {
    reply = one;
  });
  for (let turn = 0; turn < 200 && reply === null; turn++) {
    await world.clock.run(world.clock.now() + 50);
  }
  assert.ok(reply, 'no answer');
  return reply;
}

interface Row {
  name: string;
  change: Record<string, unknown>;
  status: number;
  /** How the told reason begins. */
  reason: RegExp;
}

const malformed = (name: string, change: Record<string, unknown>, field: string): Row => ({
  name,
  change,
  status: 400,
  reason: new RegExp(`^${field}: `),
});
const never = (name: string, change: Record<string, unknown>, field: string): Row => ({
  ...malformed(name, change, field),
  status: 422,
});

const ROWS: Row[] = [
  ...Object.keys(SUBMISSION)
    .filter((field) => !NULLABLE.includes(field))
    .map((field) => malformed(`no ${field}`, { [field]: undefined }, field)),
  ...['larvae', 'cores', 'moltS', 'spinS', 'samePlace', 'apart'].map((field) =>
    malformed(`null as ${field}`, { [field]: null }, field),
  ),
  malformed('no task', { larvae: 0 }, 'larvae'),
  malformed('fewer than no task', { larvae: -4 }, 'larvae'),
  malformed('half a task', { larvae: 2.5 }, 'larvae'),
  malformed('tasks as text', { larvae: '4' }, 'larvae'),
  malformed('too many tasks', { larvae: 100_001 }, 'larvae'),
  malformed('no CPU', { cores: 0 }, 'cores'),
  malformed('a negative time to save', { spinS: -1 }, 'spinS'),
  malformed('a checkpoint interval as text', { moltS: '5' }, 'moltS'),
  malformed('a shape that is none', { shape: 'gang' }, 'shape'),
  never('a team that there is not', { crew: 'nobody' }, 'crew'),
  never('one task more than the limit of its team', { larvae: 9 }, 'cores'),
  never('GPUs beyond the limit of its team', { gpus: 1 }, 'cores'),
  never('a task larger than any machine', { cores: 5, larvae: 1 }, 'larvae'),
  never('more memory than any machine', { memGb: 17 }, 'larvae'),
  never('only a type that there is not', { breeds: ['g99'] }, 'larvae'),
  never('no type allowed', { breeds: [] }, 'larvae'),
  never('a zone without machines', { grove: 'z' }, 'larvae'),
  never('apart in the only allowed zone', { apart: true, grove: 'a' }, 'apart'),
  never('apart in one place', { apart: true, samePlace: true }, 'apart'),
];

test('gang input: what is malformed gets 400, what can never run 422, with the field', async () => {
  const world = new World(1);
  await world.run(7);
  for (const { name, change, status, reason } of ROWS) {
    const reply = await post(world, { ...SUBMISSION, ...change });
    const told = (reply.body as { error?: string }).error ?? '';
    assert.equal(reply.status, status, `${name}: ${told}`);
    assert.match(told, reason, name);
    assert.equal(reply.retryAfterS, undefined, `${name}: not to be tried again`);
  }
  const left = [...world.store.entries.keys()].filter((key) => key.includes(GANG));
  assert.deepEqual(left, [], 'nothing of it was kept');
});

test('gang input: what just fits is accepted', async () => {
  const world = new World(1);
  await world.run(7);
  const fitting: [string, Record<string, unknown>][] = [
    ['all that its team may use', { larvae: 8 }],
    ['one task alone, apart', { larvae: 1, apart: true, grove: 'a' }],
    ['apart over two zones', { larvae: 2, apart: true }],
    ['what may be null left out', { breeds: undefined, grove: undefined, duskS: undefined }],
    ['fields that nobody knows', { more: { of: 'it' } }],
  ];
  for (const [at, [name, change]] of fitting.entries()) {
    const ref = `j-10000${at}`;
    const reply = await post(world, { ...SUBMISSION, ...change, ref });
    assert.equal(reply.status, 201, `${name}: ${JSON.stringify(reply.body)}`);
  }
});

test('gang input: what can not be decided yet gets 503 and when to come again', async () => {
  const world = new World(1);
  world.cloudHasCatalog = false;
  await world.run(7);
  const undecided: [string, Record<string, unknown>][] = [
    ['a good one', {}],
    ['a type that may come', { breeds: ['g99'] }],
    ['a task that a machine may fit', { cores: 5, larvae: 1 }],
    ['apart in one place', { apart: true, samePlace: true }],
  ];
  for (const [node] of world.members) {
    for (const [name, change] of undecided) {
      const reply = await post(world, { ...SUBMISSION, ...change }, node);
      assert.equal(reply.status, 503, `${name} at ${node}`);
      assert.ok((reply.retryAfterS ?? 0) >= 1, `${name} at ${node}`);
    }
    // What no catalogue could change is decided.
    assert.equal((await post(world, { ...SUBMISSION, larvae: 0 }, node)).status, 400);
    assert.equal((await post(world, { ...SUBMISSION, larvae: 9 }, node)).status, 422);
  }
  world.cloudHasCatalog = true;
  await world.run(70);
  assert.equal((await post(world, SUBMISSION)).status, 201);
});

test('gang input: the user is sent when to come again', async () => {
  const handle = (): HttpReply => ({ status: 503, body: { error: 'not yet' }, retryAfterS: 2 });
  const limits = { bodyBytes: 65_536, connections: 10, crowded: 10, full: 10, keepAliveMs: 1000 };
  const routes = [{ method: 'POST' as const, path: '/v2/runs', handle }];
  const server = await listenHttp('127.0.0.1:0', routes, limits, () => undefined);
  try {
    const { port } = server.address() as AddressInfo;
    const reply = await fetch(`http://127.0.0.1:${port}/v2/runs`, { method: 'POST', body: '{}' });
    assert.deepEqual([reply.status, reply.headers.get('retry-after')], [503, '2']);
  } finally {
    server.closeAllConnections();
    server.close();
  }
});

// --- Settings ----------------------------------------------------------------------------------

/** The lines of the file after which those of a section may follow. */
const SECTION_ENDS = { workers: 'cancel_s = 54.0\n', state: 'txn_ops = 32\n' };
const MAIN = fileURLToPath(new URL('../../src/main.js', import.meta.url));
const folder = mkdtempSync(join(tmpdir(), 'mothbank-'));
after(() => rmSync(folder, { recursive: true }));

function settingsWith(place: 'workers' | 'state', lines: string): string {
  const file = join(folder, 'settings.toml');
  writeFileSync(
    file,
    SETTINGS_FILE.replace(SECTION_ENDS[place], `${SECTION_ENDS[place]}${lines}\n`),
  );
  return file;
}

const UNUSABLE = ['0', '-1.0', '"8"', 'true', 'nan', 'inf', '[8.0]'];
const BAD: { place: 'workers' | 'state'; lines: string; field: string }[] = [
  ...['gang_wait_s', 'gang_peer_s'].flatMap((name) =>
    UNUSABLE.map((value) => ({
      place: 'workers' as const,
      lines: `${name} = ${value}`,
      field: `params.workers.${name}`,
    })),
  ),
  ...['rps', 'write_rps', 'value_kb', 'txn_ops'].flatMap((name) =>
    UNUSABLE.map((value) => ({
      place: 'state' as const,
      lines: `[params.state.next]\n${name} = ${value}`,
      field: `params.state.next.${name}`,
    })),
  ),
  { place: 'state', lines: 'next = 5', field: 'params.state.next' },
  {
    place: 'state',
    lines: '[params.state.next]\nvalue_kb = 0.001',
    field: 'params.state.next.value_kb',
  },
];

test('gang input: settings that can not be used are told by file and field', () => {
  for (const { place, lines, field } of BAD) {
    const file = settingsWith(place, lines);
    assert.throws(
      () => readSettings(file, []),
      (error: Error) => {
        assert.ok(error.message.startsWith(`${file}: ${field}: `), `${lines}: ${error.message}`);
        assert.ok(!error.message.includes('\n'), lines);
        return true;
      },
      lines,
    );
  }
});

test('gang input: the start ends with one line and no success', () => {
  const some = BAD.filter(({ lines }) => /gang_\w+ = (0|"8")$|next = 5|value_kb = -1/.test(lines));
  assert.equal(some.length, 6);
  for (const { place, lines, field } of some) {
    const file = settingsWith(place, lines);
    const run = spawnSync(process.execPath, [MAIN, '--config', file], {
      encoding: 'utf8',
      timeout: 20_000,
    });
    assert.equal(run.status, 2, `${lines}: ${run.stderr}`);
    assert.equal(run.stdout, '', lines);
    const told = run.stderr.split('\n');
    assert.equal(told.length, 2, `one line for ${lines}: ${run.stderr}`);
    assert.ok(told[0]?.startsWith(`mothbank: ${file}: ${field}: `), told[0]);
  }
});

test('gang input: settings that say nothing of gangs or coming limits are good', () => {
  const file = settingsWith('workers', '');
  const settings = readSettings(file, []);
  const { storeRps, storeWriteRps, valueBytes, transactionOps } = settings;
  assert.deepEqual([storeRps, storeWriteRps, valueBytes, transactionOps], [150, 60, 8192, 32]);
  const run = spawnSync(process.execPath, [MAIN, '--check', '--config', file], {
    encoding: 'utf8',
    timeout: 20_000,
  });
  assert.deepEqual([run.status, run.stderr], [0, '']);
});
