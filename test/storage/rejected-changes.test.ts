/** Tests transactions that the key-value store rejects as invalid. */
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

/**
 * Creates a controller's replica and committer on a simulated key-value store, and a list of
 * errors.
 */
async function controllerStorage() {
  const clock = new SimClock();
  const simulatedStore = new SimKeyValueStore(clock);
  simulatedStore.change([{ key: 'mb/live/catalog', value: TYPES }]);
  const errors: Record<string, unknown>[] = [];
  const log: Log = { ...silentLog, error: (fields) => void errors.push(fields as never) };
  const storage = followingReplica(clock, simulatedStore, 1000, log);
  await clock.run(500);
  return { ...storage, simulatedStore, errors, committer: new Committer(storage) };
}

// Guards against endless retries: a transaction that got a 400 was treated as a conflict and sent
// again unchanged.
test('an invalid transaction is logged once and not retried; an expired lease is a conflict', async () => {
  const put = (key: string, bytes = 10): Change => ({ key, value: 'x'.repeat(bytes) });
  const repeat = <T>(count: number, create: (at: number) => T): T[] =>
    Array.from({ length: count }, (_, at) => create(at));
  const guard = (at: number): Guard => ({ key: `mb/live/g${at}`, revision: 0 });
  const cases: [string, Guard[], Change[], 'done' | 'rejected' | 'conflict'][] = [
    ['a small transaction', [guard(0)], [put('mb/live/a')], 'done'],
    ['a value too large', [], [put('mb/live/b', 9000)], 'rejected'],
    ['too many changes', [], repeat(9, (at) => put(`mb/live/c${at}`)), 'rejected'],
    ['too many guards', repeat(33, guard), [put('mb/live/d')], 'rejected'],
    ['a transaction too large', [], repeat(8, (at) => put(`mb/live/e${at}`, 8190)), 'rejected'],
    ['an expired lease', [], [{ key: 'mb/live/f', value: 1, lease: 99 }], 'conflict'],
  ];
  for (const [name, guards, changes, expected] of cases) {
    const { clock, simulatedStore, errors, committer } = await controllerStorage();
    let attempts = 0;
    const commit = committer.commit('part', guards, changes, () => ++attempts < 5);
    await clock.run(5000);
    const result = await commit;
    assert.equal(result.kind, expected, name);
    assert.equal(attempts, 1, name);
    assert.equal(errors.length, expected === 'rejected' ? 1 : 0, name);
    if (expected !== 'rejected') continue;
    assert.deepEqual(simulatedStore.rejectedTransactions.length, 1, name);
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

test('changes of a rejected transaction are paused longer each time and then sent alone', async () => {
  const clock = new SimClock();
  const rejectedChangeBackoff = new RejectedChangeBackoff(clock);
  assert.equal(rejectedChangeBackoff.batchSize(['a', 'b', 'c'], 2), 2);
  rejectedChangeBackoff.recordRejection('b');
  assert.ok(rejectedChangeBackoff.isPaused('b') && !rejectedChangeBackoff.isPaused('a'));
  await clock.run(2100);
  assert.ok(!rejectedChangeBackoff.isPaused('b'));
  assert.equal(rejectedChangeBackoff.batchSize(['a', 'b', 'c'], 3), 1);
  assert.equal(rejectedChangeBackoff.batchSize(['b', 'c'], 3), 1);
  rejectedChangeBackoff.recordRejection('b');
  await clock.run(clock.now() + 2100);
  assert.ok(rejectedChangeBackoff.isPaused('b'), 'twice as long');
  rejectedChangeBackoff.clear('b');
  assert.equal(rejectedChangeBackoff.batchSize(['a', 'b', 'c'], 3), 3);
});

/** Machine types of about so many bytes that a job allows; all but the first do not exist. */
const allowedMachineTypes = (bytes: number): string[] => [
  'small',
  ...Array.from({ length: Math.floor(bytes / 103) }, () => '界'.repeat(33) + 'x'),
];

const submissionBody = (id: number, bytes: number): string =>
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
    breeds: allowedMachineTypes(bytes),
    grove: null,
    samePlace: false,
    apart: false,
    windfall: true,
    guessS: 10,
    moltS: 0,
    spinS: 0,
    duskS: null,
  });

/** Creates the handler of users' requests of a controller that is configured with these limits. */
function userRequestsOn(
  {
    clock,
    log,
    keyValueStore,
    limiter,
    replica,
    committer,
  }: Awaited<ReturnType<typeof controllerStorage>>,
  limits: { transactionOps: number; valueBytes: number },
): UserRequests {
  return new UserRequests({
    teams: TEAMS,
    ...limits,
    checkIntervalMs: 100,
    replica,
    keyValueStore,
    limiter,
    committer,
    clock,
    log,
    onCommitted: () => undefined,
  });
}

test('submissions too large for a value get 422, and the others are accepted', async () => {
  // [maximum value size that the controller is configured with, that of the key-value store], in
  // bytes
  for (const [configuredBytes, actualBytes] of [
    [2048, 2048],
    [8192, 2048],
  ] as const) {
    const storage = await controllerStorage();
    const { clock, simulatedStore } = storage;
    simulatedStore.valueBytes = actualBytes;
    const userRequests = userRequestsOn(storage, {
      transactionOps: 8,
      valueBytes: configuredBytes,
    });
    const bodies = [
      submissionBody(1, 0),
      submissionBody(2, 2000),
      submissionBody(3, 0),
      submissionBody(4, 1000),
    ];
    const pendingReplies = bodies.map((body) => userRequests.submit(body));
    await clock.run(clock.now() + 4000);
    const replies = await Promise.all(pendingReplies);
    assert.deepEqual(
      replies.map((reply) => reply.status),
      [201, 422, 201, 201],
    );
    assert.deepEqual(
      [1, 2, 3, 4].map((id) => simulatedStore.entries.has(jobKey(`j-00000${id}`))),
      [true, false, true, true],
    );
  }
});

test('a batch of large submissions is split into transactions below the size limit', async () => {
  const storage = await controllerStorage();
  const { clock, simulatedStore } = storage;
  simulatedStore.transactionOps = 32;
  const userRequests = userRequestsOn(storage, { transactionOps: 32, valueBytes: 8192 });
  const pendingReplies = Array.from({ length: 16 }, (_, at) =>
    userRequests.submit(submissionBody(at, 7000)),
  );
  await clock.run(clock.now() + 4000);
  const replies = await Promise.all(pendingReplies);
  assert.ok(replies.every((reply) => reply.status === 201));
  assert.deepEqual(simulatedStore.rejectedTransactions, []);
  const storedJobs = [...simulatedStore.entries].filter(([key]) => key.startsWith('mb/live/job/'));
  assert.ok(
    Buffer.byteLength(JSON.stringify(storedJobs)) > 64 * 1024,
    'the stored jobs exceed the size limit of one transaction',
  );
});
