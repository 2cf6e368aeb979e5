/**
 * Guards against gang submissions that are accepted although they are malformed or can never run,
 * so that they would wait forever, and against controllers that start with invalid settings of gang
 * times or announced store limits.
 */
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

/** Submits a job as a user does and returns the whole response, with `Retry-After`. */
async function submit(world: World, body: object, at = 'n0'): Promise<HttpReply> {
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
  /** Matches the beginning of the error message. */
  error: RegExp;
}

const malformed = (name: string, change: Record<string, unknown>, field: string): Row => ({
  name,
  change,
  status: 400,
  error: new RegExp(`^${field}: `),
});
const unsatisfiable = (name: string, change: Record<string, unknown>, field: string): Row => ({
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
  malformed('a negative number of tasks', { larvae: -4 }, 'larvae'),
  malformed('a fractional number of tasks', { larvae: 2.5 }, 'larvae'),
  malformed('tasks as text', { larvae: '4' }, 'larvae'),
  malformed('too many tasks', { larvae: 100_001 }, 'larvae'),
  malformed('no CPU', { cores: 0 }, 'cores'),
  malformed('a negative time to save', { spinS: -1 }, 'spinS'),
  malformed('a checkpoint interval as text', { moltS: '5' }, 'moltS'),
  malformed('an unknown shape', { shape: 'gang' }, 'shape'),
  unsatisfiable('an unknown team', { crew: 'nobody' }, 'crew'),
  unsatisfiable("one task more than the team's quota", { larvae: 9 }, 'cores'),
  unsatisfiable("more GPUs than the team's quota", { gpus: 1 }, 'cores'),
  unsatisfiable('a task larger than any machine', { cores: 5, larvae: 1 }, 'larvae'),
  unsatisfiable('more memory than any machine', { memGb: 17 }, 'larvae'),
  unsatisfiable('only an unknown machine type', { breeds: ['g99'] }, 'larvae'),
  unsatisfiable('no allowed machine type', { breeds: [] }, 'larvae'),
  unsatisfiable('a zone without machines', { grove: 'z' }, 'larvae'),
  unsatisfiable('apart with one allowed zone', { apart: true, grove: 'a' }, 'apart'),
  unsatisfiable('apart and samePlace', { apart: true, samePlace: true }, 'apart'),
];

test('gang submission: malformed gets 400, never runnable 422, with the field', async () => {
  const world = new World(1);
  await world.run(7);
  for (const { name, change, status, error } of ROWS) {
    const reply = await submit(world, { ...SUBMISSION, ...change });
    const message = (reply.body as { error?: string }).error ?? '';
    assert.equal(reply.status, status, `${name}: ${message}`);
    assert.match(message, error, name);
    assert.equal(reply.retryAfterS, undefined, `${name}: no Retry-After`);
  }
  const stored = [...world.store.entries.keys()].filter((key) => key.includes(GANG));
  assert.deepEqual(stored, [], 'nothing of the job is stored');
});

test('gang submission: jobs at the limits are accepted', async () => {
  const world = new World(1);
  await world.run(7);
  const acceptable: [string, Record<string, unknown>][] = [
    ["the team's whole quota", { larvae: 8 }],
    ['a single task, apart', { larvae: 1, apart: true, grove: 'a' }],
    ['apart over two zones', { larvae: 2, apart: true }],
    ['all nullable fields left out', { breeds: undefined, grove: undefined, duskS: undefined }],
    ['an unknown field', { more: { of: 'it' } }],
  ];
  for (const [at, [name, change]] of acceptable.entries()) {
    const ref = `j-10000${at}`;
    const reply = await submit(world, { ...SUBMISSION, ...change, ref });
    assert.equal(reply.status, 201, `${name}: ${JSON.stringify(reply.body)}`);
  }
});

test('gang submission: undecidable jobs get 503 until the machine types are known', async () => {
  const world = new World(1);
  world.cloudHasCatalog = false;
  await world.run(7);
  const undecided: [string, Record<string, unknown>][] = [
    ['a valid job', {}],
    ['a machine type that the catalogue may contain', { breeds: ['g99'] }],
    ['a task that may fit a machine type', { cores: 5, larvae: 1 }],
    ['apart and samePlace', { apart: true, samePlace: true }],
  ];
  for (const [node] of world.members) {
    for (const [name, change] of undecided) {
      const reply = await submit(world, { ...SUBMISSION, ...change }, node);
      assert.equal(reply.status, 503, `${name} at ${node}`);
      assert.ok((reply.retryAfterS ?? 0) >= 1, `${name} at ${node}`);
    }
    // These are refused whatever the machine types are.
    assert.equal((await submit(world, { ...SUBMISSION, larvae: 0 }, node)).status, 400);
    assert.equal((await submit(world, { ...SUBMISSION, larvae: 9 }, node)).status, 422);
  }
  world.cloudHasCatalog = true;
  await world.run(70);
  assert.equal((await submit(world, SUBMISSION)).status, 201);
});

test('HTTP server: a response that is to be retried has the header Retry-After', async () => {
  const handle = (): HttpReply => ({ status: 503, body: { error: 'not yet' }, retryAfterS: 2 });
  const limits = {
    maxBodyBytes: 65_536,
    maxConnections: 10,
    softConnectionLimit: 10,
    hardConnectionLimit: 10,
    keepAliveMs: 1000,
  };
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

/**
 * The last line of a section in the file, after which further lines of the section can be inserted.
 */
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

const INVALID_VALUES = ['0', '-1.0', '"8"', 'true', 'nan', 'inf', '[8.0]'];
const INVALID_SETTINGS: { place: 'workers' | 'state'; lines: string; field: string }[] = [
  ...['gang_wait_s', 'gang_peer_s'].flatMap((name) =>
    INVALID_VALUES.map((value) => ({
      place: 'workers' as const,
      lines: `${name} = ${value}`,
      field: `params.workers.${name}`,
    })),
  ),
  ...['rps', 'write_rps', 'value_kb', 'txn_ops'].flatMap((name) =>
    INVALID_VALUES.map((value) => ({
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

test('settings: invalid gang times and store limits are reported with file and field', () => {
  for (const { place, lines, field } of INVALID_SETTINGS) {
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

test('settings: a start with invalid settings prints one line and exits with code 2', () => {
  const examples = INVALID_SETTINGS.filter(({ lines }) =>
    /gang_\w+ = (0|"8")$|next = 5|value_kb = -1/.test(lines),
  );
  assert.equal(examples.length, 6);
  for (const { place, lines, field } of examples) {
    const file = settingsWith(place, lines);
    const run = spawnSync(process.execPath, [MAIN, '--config', file], {
      encoding: 'utf8',
      timeout: 20_000,
    });
    assert.equal(run.status, 2, `${lines}: ${run.stderr}`);
    assert.equal(run.stdout, '', lines);
    const messageLines = run.stderr.split('\n');
    assert.equal(messageLines.length, 2, `one line for ${lines}: ${run.stderr}`);
    assert.ok(messageLines[0]?.startsWith(`mothbank: ${file}: ${field}: `), messageLines[0]);
  }
});

test('settings: a file without gang times and announced store limits is valid', () => {
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
