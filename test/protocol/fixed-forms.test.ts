/**
 * Guards against changes of stored records and wire messages that controllers of another version
 * could not read, for example after a rename. `test/fixtures/forms-12c6284.json` holds examples
 * that commit 12c6284 encoded. This version must encode the same values to the same bytes, and
 * decode the examples and encode them to the same bytes again. The file never changes; a later
 * version may add another one.
 */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { Bandit, type ArmRecord } from '../../src/coordination/scheduling/bandit.js';
import { createAssignment, readTasks } from '../../src/coordination/shard-state/assignment.js';
import { splitAssignment } from '../../src/coordination/shard-state/assignment-pieces.js';
import { decodeDetectorMessage, encodeDetectorMessage } from '../../src/protocol/detector-codec.js';
import { decodePeerMessage, encodePeerMessage } from '../../src/protocol/peer-messages.js';
import { parseSubmission } from '../../src/protocol/user-codec.js';
import { parseHeartbeat } from '../../src/protocol/worker-codec.js';
import { readCatalog, writeCatalog } from '../../src/storage/catalog.js';
import { CATALOG, readAssignmentKey } from '../../src/storage/keys.js';
import type { AssignmentRecord } from '../../src/storage/records.js';
import { FrameReader } from '../../src/transport/peer-link.js';
import { stageOf } from '../world/jobs.js';
import { replicaOf, type Records } from '../world/older-records.js';
import { awaitReply } from '../world/await-reply.js';
import { World } from '../world/world.js';
import { valuesOf, writtenForms } from '../world/written-forms.js';
import type { Forms } from '../world/written-records.js';

const FIXTURE = new URL('../../../test/fixtures/forms-12c6284.json', import.meta.url);
const FORMS = JSON.parse(readFileSync(FIXTURE, 'utf8')) as Forms;
const written = await writtenForms();

const bytesOf = (form: string | undefined): Uint8Array => Buffer.from(form ?? '', 'hex');
const hexOf = (bytes: Uint8Array): string => Buffer.from(bytes).toString('hex');

/** The key and the value, as text, of an example of a record. */
function recordOf(name: string): { key: string; text: string } {
  const form = FORMS[name] ?? '';
  const space = form.indexOf(' ');
  return { key: form.slice(0, space), text: form.slice(space + 1) };
}

test('this version encodes exactly the forms of which the file has an example', () => {
  assert.deepEqual(Object.keys(written).sort(), Object.keys(FORMS).sort());
});

for (const [name, form] of Object.entries(FORMS)) {
  test(`encoded to the same bytes as by commit 12c6284: ${name}`, () =>
    assert.equal(written[name], form));
}

for (const name of Object.keys(FORMS).filter((one) => one.startsWith('peer: '))) {
  test(`decoded and encoded again to the same bytes: ${name}`, () => {
    const [frame] = new FrameReader(10_000).push(Buffer.from(bytesOf(FORMS[name])));
    const message = decodePeerMessage(frame ?? new Uint8Array());
    assert.ok(message);
    assert.equal(hexOf(encodePeerMessage(message)), FORMS[name]);
  });
}

for (const name of Object.keys(FORMS).filter((one) => one.startsWith('detector: '))) {
  test(`decoded and encoded again to the same bytes: ${name}`, () => {
    const message = decodeDetectorMessage(bytesOf(FORMS[name]));
    assert.ok(message);
    assert.equal(hexOf(encodeDetectorMessage(message)), FORMS[name]);
  });
}

for (const name of ['', ' with placed tasks', ' of a gang'].map((one) => `record: chunk${one}`)) {
  test(`decoded and encoded again to the same bytes: ${name}`, () => {
    const { key, text } = recordOf(name);
    const identity = readAssignmentKey(key);
    assert.ok(identity);
    const assignment = createAssignment({ key, ...identity }, JSON.parse(text) as AssignmentRecord);
    for (const slot of readTasks(assignment.committedRecord, 0))
      assignment.tasks.set(slot.index, slot);
    const limits = { newMachines: new Set<string>(), maxBytes: 8192, isKeyTaken: () => false };
    const pieces = splitAssignment(assignment, limits);
    assert.deepEqual(
      pieces.map((piece) => [piece.key, JSON.stringify(piece.record)]),
      [[key, text]],
    );
  });
}

test('decoded and encoded again to the same bytes: record: catalog', async () => {
  const { key, text } = recordOf('record: catalog');
  assert.equal(key, CATALOG);
  const types = readCatalog(await replicaOf({ [key]: JSON.parse(text) as unknown }));
  assert.ok(types);
  const [change] = writeCatalog(await replicaOf({}), types, 8192);
  assert.deepEqual(change, { key, value: JSON.parse(text) as unknown });
  assert.equal(JSON.stringify(types), text);
});

for (const [name, type, maxBytes, stamp] of [
  ['record: arm', 'small', 8192, 0],
  ['record: arm in pieces', 'large', 400, 3],
] as const) {
  test(`decoded and encoded again to the same bytes: ${name}`, () => {
    const records = JSON.parse(FORMS[name] ?? '[]') as ArmRecord[];
    const [main] = records;
    assert.ok(main);
    const bandit = new Bandit(['small', 'large'], 2, 2);
    bandit.restore(type, main, (at) => records[at]);
    assert.equal(JSON.stringify(bandit.records(type, maxBytes, stamp)), FORMS[name]);
  });
}

test("a submission is decoded to the job's stored form", () => {
  const body = {
    ref: 'j-000412',
    lane: 'train',
    crew: 'vision',
    shape: 'group',
    rank: 'best_effort',
    larvae: 16,
    cores: 8,
    gpus: 1,
    memGb: 64,
    cocoon: 'img-07',
    imageGb: 6.2,
    breeds: ['g8'],
    grove: 'a',
    samePlace: true,
    apart: false,
    windfall: true,
    guessS: 240,
    moltS: 30,
    spinS: 4,
    duskS: 900,
  };
  const parsed = parseSubmission(body);
  assert.ok(parsed.ok);
  assert.equal(
    JSON.stringify(parsed.value),
    '{"id":"j-000412","class":"train","team":"vision","kind":"gang","priority":"low","tasks":16,' +
      '"cpus":8,"gpus":1,"memoryGb":64,"image":"img-07","imageGb":6.2,"types":["g8"],"zone":"a",' +
      '"oneZone":true,"spread":false,"spot":true,"estimateS":240,"checkpointS":30,"saveS":4,' +
      '"deadlineS":900}',
  );
});

test("all fields, states and causes of a worker's heartbeat are decoded", () => {
  const parsed = parseHeartbeat({
    moth: 'm-000231',
    endpoint: '10.1.0.232:9000',
    breed: 'g8',
    grove: 'a',
    windfall: true,
    flight: 1,
    wingbeat: 88,
    mandate: 41,
    warningS: 12.5,
    larvae: [
      { larva: 'j-000412/3', try: 2, stage: 'pulling' },
      { larva: 'j-000412/4', try: 2, stage: 'gathering' },
      { larva: 'j-000412/5', try: 2, stage: 'running' },
      { larva: 'j-000412/6', try: 2, stage: 'saving' },
      ...['done', 'stopped', 'error', 'full', 'busy', 'unknown', 'mates_gone', 'alone', 'new'].map(
        (cause, at) => ({ larva: `j-000398/${at}`, try: 1, stage: 'exited', cause }),
      ),
    ],
  });
  assert.ok(parsed.ok);
  const causes = [
    'done',
    'stopped',
    'error',
    'noCapacity',
    'busy',
    'unknown',
    'peerLost',
    'timedOut',
  ];
  assert.deepEqual(valuesOf(parsed.value), [
    'm-000231',
    '10.1.0.232:9000',
    'g8',
    'a',
    true,
    1,
    88,
    41,
    12.5,
    [
      ...['fetching', 'gathering', 'running', 'saving'].map((state, at) => [
        ['j-000412', at + 3],
        2,
        state,
        null,
      ]),
      ...[...causes, 'error'].map((cause, at) => [['j-000398', at], 1, 'exited', cause]),
    ],
  ]);
});

test('a cluster started with the records of commit 12c6284 serves and cancels their jobs', async () => {
  const stored = JSON.parse(FORMS['all records'] ?? '[]') as [string, unknown][];
  const records: Records = Object.fromEntries(stored);
  const world = new World(11, undefined, { suspicion: null });
  for (const [name] of world.members) world.kill(name);
  world.store.change(Object.entries(records).map(([key, value]) => ({ key, value })));
  for (const [name] of world.members) world.boot(name);
  await world.run(90);
  const stageNow = async (id: string): Promise<string> =>
    stageOf(await awaitReply(world, world.poll(id)));
  assert.equal(await stageNow('j-000001'), 'done');
  assert.equal(await stageNow('j-000005'), 'withdrawn');
  for (const id of ['j-000002', 'j-000003', 'j-000004']) {
    assert.ok(['queued', 'running'].includes(await stageNow(id)), id);
    assert.equal(stageOf(await awaitReply(world, world.cancel(id))), 'withdrawn');
  }
  await world.run(30);
  const remaining = [...world.store.entries.keys()].filter((key) =>
    /live\/(job|chunk)\//.test(key),
  );
  assert.deepEqual(remaining, []);
});
