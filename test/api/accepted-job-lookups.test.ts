/**
 * Guards against replies that an accepted job is absent, or is refused. They come about when a
 * controller's replica lacks the job, holds an older state of it, or gets an answer from the
 * key-value store that proves nothing.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MAX_WAITING_CHECKS } from '../../src/constants/api.js';
import type { JobSpec } from '../../src/protocol/model.js';
import type { CompareAndSwapResult } from '../../src/protocol/key-value-store.js';
import { finalKey, jobKey } from '../../src/storage/keys.js';
import { SPEC } from '../world/shard-fixture.js';
import {
  REQUESTS,
  userRequestsFixture,
  type UserRequestKind,
} from '../world/user-requests-fixture.js';

const JOB = 'j-000412';

/** The record of a job that another controller accepted. */
const recordOf = (id: string): { spec: JobSpec; at: number } => ({ spec: { ...SPEC, id }, at: 0 });

// Two checks of one job shared a transaction with the guard of the later check alone. If the job
// reached the replica between the two, this guard required the job's record and held, and the first
// check returned nevertheless that the job is absent.
test('accepted jobs: when a job reaches the replica between two requests about it, both get its state', async () => {
  const failures: string[] = [];
  const orders = REQUESTS.flatMap((first) =>
    REQUESTS.map((second): [UserRequestKind, UserRequestKind] => [first, second]),
  );
  for (const [first, second] of orders) {
    const fixture = await userRequestsFixture();
    // The check of another job delays the next transaction, so that both checks share it.
    const other = fixture.request('poll', 'j-000001');
    await fixture.clock.run(fixture.clock.now() + 50);
    fixture.store.change([{ key: jobKey(JOB), value: recordOf(JOB) }]);
    const { revision } = fixture.store;
    const before = fixture.request(first, JOB);
    await Promise.resolve();
    fixture.replica.applyOwnChanges([{ key: jobKey(JOB), value: recordOf(JOB), revision }]);
    const replies = await fixture.settle(before, fixture.request(second, JOB), other);
    for (const [index, { status }] of replies.slice(0, 2).entries()) {
      if (status !== 200)
        failures.push(`${first} then ${second}: ${status} to request ${index + 1}`);
    }
    assert.equal(replies[2]?.status, 404);
  }
  assert.deepEqual(failures, []);
});

type Fixture = Awaited<ReturnType<typeof userRequestsFixture>>;

/** A state or answer of the key-value store, and the status that each request must get. */
interface LookupCase {
  name: string;
  /** Prepares the store and the controller before the job is requested. */
  prepare: (fixture: Fixture) => void;
  expected: Record<UserRequestKind, number>;
  /** Whether a repeated submission logs an error for the operators. */
  isLogged?: true;
}

/** Lets another controller accept the job, while this one's replica no longer receives changes. */
function acceptElsewhere({ store: state, replica }: Fixture): void {
  replica.stop();
  state.change([{ key: jobKey(JOB), value: recordOf(JOB) }]);
}

const reportFailedKeys =
  (names: (failed: string[]) => string[]) =>
  (result: CompareAndSwapResult): CompareAndSwapResult =>
    result.ok ? result : { ok: false, failed: names(result.failed) };

const FOUND = { poll: 200, repeat: 200, malformed: 200, unfit: 200, cancel: 200 };
const UNAVAILABLE = { poll: 503, repeat: 503, malformed: 503, unfit: 503, cancel: 503 };

// Guards against statuses 404, 400 and 422, which each of these cases got in place of the 200 or
// 503 expected here.
const CASES: LookupCase[] = [
  { name: 'an accepted job', prepare: acceptElsewhere, expected: FOUND },
  {
    name: 'a conflict that names no key',
    prepare: (fixture) => {
      acceptElsewhere(fixture);
      fixture.store.alterTransactionAnswer = reportFailedKeys(() => []);
    },
    expected: UNAVAILABLE,
  },
  {
    name: 'a conflict that names another key',
    prepare: (fixture) => {
      acceptElsewhere(fixture);
      fixture.store.alterTransactionAnswer = reportFailedKeys(() => [jobKey('j-000009')]);
    },
    expected: UNAVAILABLE,
  },
  {
    name: 'a conflict that names one of two jobs',
    prepare: (fixture) => {
      acceptElsewhere(fixture);
      fixture.store.change([{ key: jobKey('j-000001'), value: recordOf('j-000001') }]);
      fixture.store.alterTransactionAnswer = reportFailedKeys((failed) => failed.slice(0, 1));
    },
    expected: FOUND,
  },
  {
    name: 'a job record that was removed without a final record',
    prepare: (fixture) => {
      acceptElsewhere(fixture);
      fixture.replica.applyOwnChanges([
        { key: jobKey(JOB), value: recordOf(JOB), revision: fixture.store.revision },
      ]);
      fixture.store.change([{ key: jobKey(JOB), remove: true }]);
    },
    expected: UNAVAILABLE,
  },
  {
    name: 'a limit on values that has become too small for it',
    prepare: (fixture) => {
      acceptElsewhere(fixture);
      // A final record still fits.
      fixture.store.valueBytes = 40;
    },
    expected: FOUND,
    isLogged: true,
  },
  {
    name: 'a finished job',
    prepare: (fixture) => {
      fixture.replica.stop();
      fixture.store.change([{ key: finalKey(JOB), value: { state: 'done', tasks: 1 } }]);
    },
    expected: FOUND,
  },
];

test('accepted jobs: a job is reported as absent only after a transaction has proven it', async () => {
  const failures: string[] = [];
  for (const { name, prepare, expected, isLogged } of CASES) {
    for (const kind of REQUESTS) {
      const fixture = await userRequestsFixture();
      prepare(fixture);
      const other = fixture.request('poll', 'j-000001');
      const [, reply] = await fixture.settle(other, fixture.request(kind, JOB));
      assert.equal(
        fixture.errors.length,
        isLogged && kind === 'repeat' ? 1 : 0,
        `${name}: ${kind}`,
      );
      if (reply?.status !== expected[kind]) failures.push(`${name}: ${kind} ${reply?.status}`);
    }
  }
  assert.deepEqual(failures, []);
});

// The replica of a restarted controller holds no final records. Each request about a finished job
// took a transaction and two reads, one job after the other, so that most of those that arrived
// together got 503.
test('accepted jobs: many polls of finished jobs that the replica lacks are all answered within 2 s', async () => {
  const jobs = Array.from({ length: 40 }, (_, number) => `j-${String(700_000 + number)}`);
  const fixture = await userRequestsFixture({ checkIntervalMs: 375, rps: 27 });
  fixture.replica.stop();
  fixture.store.answerMs = 150;
  fixture.store.change(
    jobs.map((id) => ({ key: finalKey(id), value: { state: 'done', tasks: 1 } })),
  );
  const startedAt = fixture.clock.now();
  const replies = jobs.map(async (id) => {
    const { status } = await fixture.request('poll', id);
    return { status, ms: fixture.clock.now() - startedAt };
  });
  await fixture.clock.run(startedAt + 5000);
  const answers = await Promise.all(replies);
  assert.deepEqual(new Set(answers.map(({ status }) => status)), new Set([200]));
  assert.ok(Math.max(...answers.map(({ ms }) => ms)) < 2000);
});

test('accepted jobs: a request that was rejected because of a full queue is answered when repeated', async () => {
  const fixture = await userRequestsFixture();
  fixture.store.answerMs = 1000;
  const pollAll = (): Promise<number[]> =>
    Promise.all(
      Array.from({ length: 600 }, async (_, number) => {
        const reply = await fixture.request('poll', `j-${String(800_000 + number)}`);
        return reply.status;
      }),
    );
  const first = pollAll();
  await fixture.clock.run(fixture.clock.now() + 1);
  assert.equal(fixture.answered(), 600 - MAX_WAITING_CHECKS);
  await fixture.clock.run(fixture.clock.now() + 5000);
  const rejected = (await first).flatMap((status, number) => (status === 404 ? [] : [number]));
  assert.ok(rejected.length > 0);
  fixture.store.answerMs = 5;
  const second = rejected
    .slice(0, 100)
    .map((number) => fixture.request('poll', `j-${String(800_000 + number)}`));
  for (const { status } of await fixture.settle(...second)) assert.equal(status, 404);
});

test('accepted jobs: checks that the store refused with 429 are retried together with later checks', async () => {
  const fixture = await userRequestsFixture();
  fixture.store.limits = { rps: 0.1, writeRps: 0.1 };
  const first = fixture.request('poll', JOB);
  await fixture.clock.run(fixture.clock.now() + 340);
  const second = fixture.request('poll', JOB);
  await fixture.clock.run(fixture.clock.now() + 300);
  fixture.store.limits = null;
  const replies = await fixture.settle(first, second);
  assert.deepEqual(
    replies.map(({ status }) => status),
    [404, 404],
  );
  assert.ok(fixture.store.rateLimitRejections > 0);
});

// The guards of the check hold, because the job is open when the transaction is executed. The job's
// final record reaches the replica before the delayed answer to the transaction.
test('accepted jobs: a cancellation that reaches the replica before the answer to a check is returned', async () => {
  for (const kind of ['repeat', 'malformed', 'unfit'] as const) {
    const fixture = await userRequestsFixture();
    fixture.store.change([{ key: jobKey(JOB), value: recordOf(JOB) }]);
    await fixture.clock.run(fixture.clock.now() + 500);
    fixture.store.transactionAnswerDelayMs = () => 1000;
    const reply = fixture.request(kind, JOB);
    await fixture.clock.run(fixture.clock.now() + 500);
    const finalRecord = { state: 'cancelled', tasks: 1 };
    fixture.store.change([
      { key: jobKey(JOB), remove: true },
      { key: finalKey(JOB), value: finalRecord },
    ]);
    const [{ status, body } = { status: 0, body: null }] = await fixture.settle(reply);
    assert.equal(status, 200, kind);
    assert.equal((body as { stage?: string }).stage, 'withdrawn', kind);
  }
});
