import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Committer } from '../../src/storage/committer.js';
import { jobKey } from '../../src/storage/keys.js';
import type { Log } from '../../src/storage/log.js';
import { RejectedChangeBackoff } from '../../src/storage/rejected-change-backoff.js';
import { UserRequests } from '../../src/coordination/api/user-requests.js';
import type { Change, Guard } from '../../src/protocol/key-value-store.js';
import { SimClock } from '../world/clock.js';
import { followingReplica } from '../world/replica.js';
import { SimKeyValueStore } from '../world/key-value-store.js';
import { TEAMS, TYPES, silentLog } from '../world/settings.js';

async function nodeStorage() {
  const clock = new SimClock();
  const state = new SimKeyValueStore(clock);
  state.change([{ key: 'mb/live/catalog', value: TYPES }]);
  const errors: Record<string, unknown>[] = [];
  const log: Log = { ...silentLog, error: (fields) => void errors.push(fields as never) };
  const store = followingReplica(clock, state, 1000, log);
  await clock.run(500);
  return { ...store, state, errors, committer: new Committer(store) };
}

// A 400 treated as a conflict was retried for ever, unchanged.
test('an invalid transaction is logged once and not retried; an expired lease is a conflict', async () => {
  const put = (key: string, bytes = 10): Change => ({ key, value: 'x'.repeat(bytes) });
  const many = <T>(count: number, make: (at: number) => T): T[] =>
    Array.from({ length: count }, (_, at) => make(at));
  const guard = (at: number): Guard => ({ key: `mb/live/g${at}`, revision: 0 });
  const cases: [string, Guard[], Change[], 'done' | 'rejected' | 'conflict'][] = [
    ['small', [guard(0)], [put('mb/live/a')], 'done'],
    ['a value too large', [], [put('mb/live/b', 9000)], 'rejected'],
    ['too many changes', [], many(9, (at) => put(`mb/live/c${at}`)), 'rejected'],
    ['too many guards', many(33, guard), [put('mb/live/d')], 'rejected'],
    ['too much at once', [], many(8, (at) => put(`mb/live/e${at}`, 8190)), 'rejected'],
    ['an ended lease', [], [{ key: 'mb/live/f', value: 1, lease: 99 }], 'conflict'],
  ];
  for (const [name, guards, changes, expected] of cases) {
    const { clock, state, errors, committer } = await nodeStorage();
    let tries = 0;
    const commit = committer.commit('part', guards, changes, () => ++tries < 5);
    await clock.run(5000);
    const result = await commit;
    assert.equal(result.kind, expected, name);
    assert.equal(tries, 1, name);
    assert.equal(errors.length, expected === 'rejected' ? 1 : 0, name);
    if (expected !== 'rejected') continue;
    assert.deepEqual(state.rejectedTransactions.length, 1, name);
    assert.equal(errors[0]?.['purpose'], 'part', name);
    assert.deepEqual(
      errors[0]?.['keys'],
      changes.map((one) => one.key),
      name,
    );
    const largest = Math.max(
      ...changes.map((one) => JSON.stringify('value' in one ? one.value : '').length),
    );
    assert.equal(errors[0]?.['largestValueBytes'], largest, name);
    assert.ok(Number(errors[0]?.['transactionBytes']) > largest, name);
  }
});

test('changes of an invalid transaction back off longer each time, and then go alone', async () => {
  const clock = new SimClock();
  const rejectedChangeBackoff = new RejectedChangeBackoff(clock);
  assert.equal(rejectedChangeBackoff.together(['a', 'b', 'c'], 2), 2);
  rejectedChangeBackoff.add('b');
  assert.ok(rejectedChangeBackoff.has('b') && !rejectedChangeBackoff.has('a'));
  await clock.run(2100);
  assert.ok(!rejectedChangeBackoff.has('b'));
  assert.equal(rejectedChangeBackoff.together(['a', 'b', 'c'], 3), 1);
  assert.equal(rejectedChangeBackoff.together(['b', 'c'], 3), 1);
  rejectedChangeBackoff.add('b');
  await clock.run(clock.now() + 2100);
  assert.ok(rejectedChangeBackoff.has('b'), 'twice as long');
  rejectedChangeBackoff.clear('b');
  assert.equal(rejectedChangeBackoff.together(['a', 'b', 'c'], 3), 3);
});

/** Machine types that the job allows, beside one that there is, of about so many bytes. */
const breeds = (bytes: number): string[] => [
  'small',
  ...Array.from({ length: Math.floor(bytes / 103) }, () => '界'.repeat(33) + 'x'),
];

const submission = (id: number, bytes: number): string =>
  JSON.stringify({
    ref: `j-${String(id).padStart(6, '0')}`,
    lane: 'work',
    crew: 'red',
    shape: 'sweep',
    rank: 'normal',
    larvae: 2,
    cores: 1,
    gpus: 0,
    memGb: 1,
    cocoon: 'img',
    imageGb: 1,
    breeds: breeds(bytes),
    grove: null,
    samePlace: false,
    apart: false,
    windfall: true,
    guessS: 10,
    moltS: 0,
    spinS: 0,
    duskS: null,
  });

/** The requests of users at a controller that believes in these limits. */
function userRequestsOn(
  {
    clock,
    log,
    keyValueStore,
    limiter,
    replica,
    committer,
  }: Awaited<ReturnType<typeof nodeStorage>>,
  limits: { transactionOps: number; valueBytes: number },
): UserRequests {
  return new UserRequests({
    teams: TEAMS,
    ...limits,
    checkMs: 100,
    replica,
    keyValueStore,
    limiter,
    committer,
    clock,
    log,
    onCommitted: () => undefined,
  });
}

test('submissions too large for a value get 422, and make none of the others fail', async () => {
  // Bytes that the controller takes a value for, and those that the key-value store takes.
  for (const [believed, real] of [
    [2048, 2048],
    [8192, 2048],
  ] as const) {
    const storage = await nodeStorage();
    const { clock, state } = storage;
    state.valueBytes = real;
    const userRequests = userRequestsOn(storage, { transactionOps: 8, valueBytes: believed });
    const bodies = [submission(1, 0), submission(2, 2000), submission(3, 0), submission(4, 1000)];
    const replies = bodies.map((body) => userRequests.submit(body));
    await clock.run(clock.now() + 4000);
    const found = await Promise.all(replies);
    assert.deepEqual(
      found.map((one) => one.status),
      [201, 422, 201, 201],
    );
    assert.deepEqual(
      [1, 2, 3, 4].map((id) => state.entries.has(jobKey(`j-00000${id}`))),
      [true, false, true, true],
    );
  }
});

test('a batch of large submissions stays below what one transaction may hold', async () => {
  const storage = await nodeStorage();
  const { clock, state } = storage;
  state.transactionOps = 32;
  const userRequests = userRequestsOn(storage, { transactionOps: 32, valueBytes: 8192 });
  const replies = Array.from({ length: 16 }, (_, at) => userRequests.submit(submission(at, 7000)));
  await clock.run(clock.now() + 4000);
  const found = await Promise.all(replies);
  assert.ok(found.every((one) => one.status === 201));
  assert.deepEqual(state.rejectedTransactions, []);
  const held = [...state.entries].filter(([key]) => key.startsWith('mb/live/job/'));
  assert.ok(Buffer.byteLength(JSON.stringify(held)) > 64 * 1024, 'more than one would hold');
});
