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
  const wrong: string[] = [];
  const orders = REQUESTS.flatMap((first) =>
    REQUESTS.map((second): [UserRequestKind, UserRequestKind] => [first, second]),
  );
  for (const [first, second] of orders) {
    const node = await userRequestsFixture();
    // The check of another job delays the next transaction, so that both checks share it.
    const other = node.request('poll', 'j-000001');
    await node.clock.run(node.clock.now() + 50);
    node.state.change([{ key: jobKey(JOB), value: recordOf(JOB) }]);
    const { revision } = node.state;
    const before = node.request(first, JOB);
    await Promise.resolve();
    node.replica.applyOwnChanges([{ key: jobKey(JOB), value: recordOf(JOB), revision }]);
    const replies = await node.settle(before, node.request(second, JOB), other);
    for (const [at, { status }] of replies.slice(0, 2).entries()) {
      if (status !== 200) wrong.push(`${first} then ${second}: ${status} to request ${at + 1}`);
    }
    assert.equal(replies[2]?.status, 404);
  }
  assert.deepEqual(wrong, []);
});

type UserNode = Awaited<ReturnType<typeof userRequestsFixture>>;

/** A state or answer of the key-value store, and the status that each request must get. */
interface Answer {
  name: string;
  /** Prepares the store and the controller before the job is requested. */
  prepare: (node: UserNode) => void;
  expected: Record<UserRequestKind, number>;
  /** Whether a repeated submission logs an error for the operators. */
  isLogged?: true;
}

/** Lets another controller accept the job, while this one's replica no longer receives changes. */
function accept({ state, replica }: UserNode): void {
  replica.stop();
  state.change([{ key: jobKey(JOB), value: recordOf(JOB) }]);
}

const namesOnly =
  (names: (failed: string[]) => string[]) =>
  (result: CompareAndSwapResult): CompareAndSwapResult =>
    result.ok ? result : { ok: false, failed: names(result.failed) };

const KNOWN = { poll: 200, repeat: 200, malformed: 200, unfit: 200, cancel: 200 };
const UNSURE = { poll: 503, repeat: 503, malformed: 503, unfit: 503, cancel: 503 };

// Guards against statuses 404, 400 and 422, which each of these cases got in place of the 200 or
// 503 expected here.
const ANSWERS: Answer[] = [
  { name: 'an accepted job', prepare: accept, expected: KNOWN },
  {
    name: 'a conflict that names no key',
    prepare: (node) => {
      accept(node);
      node.state.alterTransactionAnswer = namesOnly(() => []);
    },
    expected: UNSURE,
  },
  {
    name: 'a conflict that names another key',
    prepare: (node) => {
      accept(node);
      node.state.alterTransactionAnswer = namesOnly(() => [jobKey('j-000009')]);
    },
    expected: UNSURE,
  },
  {
    name: 'a conflict that names one of two jobs',
    prepare: (node) => {
      accept(node);
      node.state.change([{ key: jobKey('j-000001'), value: recordOf('j-000001') }]);
      node.state.alterTransactionAnswer = namesOnly((failed) => failed.slice(0, 1));
    },
    expected: KNOWN,
  },
  {
    name: 'a record that is gone without an end',
    prepare: (node) => {
      accept(node);
      node.replica.applyOwnChanges([
        { key: jobKey(JOB), value: recordOf(JOB), revision: node.state.revision },
      ]);
      node.state.change([{ key: jobKey(JOB), remove: true }]);
    },
    expected: UNSURE,
  },
  {
    name: 'a limit on values that has become too small for it',
    prepare: (node) => {
      accept(node);
      // A final record still fits.
      node.state.valueBytes = 40;
    },
    expected: KNOWN,
    isLogged: true,
  },
  {
    name: 'a job that is over',
    prepare: (node) => {
      node.replica.stop();
      node.state.change([{ key: finalKey(JOB), value: { state: 'done', tasks: 1 } }]);
    },
    expected: KNOWN,
  },
];

test('accepted jobs: a job is reported as absent only after a transaction has proven it', async () => {
  const wrong: string[] = [];
  for (const { name, prepare, expected, isLogged } of ANSWERS) {
    for (const ask of REQUESTS) {
      const node = await userRequestsFixture();
      prepare(node);
      const other = node.request('poll', 'j-000001');
      const [, reply] = await node.settle(other, node.request(ask, JOB));
      assert.equal(node.errors.length, isLogged && ask === 'repeat' ? 1 : 0, `${name}: ${ask}`);
      if (reply?.status !== expected[ask]) wrong.push(`${name}: ${ask} ${reply?.status}`);
    }
  }
  assert.deepEqual(wrong, []);
});

// The replica of a restarted controller holds no final records. Each request about a finished job
// took a transaction and two reads, one job after the other, so that most of those that arrived
// together got 503.
test('accepted jobs: many polls of finished jobs that the replica lacks are all answered within 2 s', async () => {
  const jobs = Array.from({ length: 40 }, (_, number) => `j-${String(700_000 + number)}`);
  const node = await userRequestsFixture({ checkMs: 375, rps: 27 });
  node.replica.stop();
  node.state.answerMs = 150;
  node.state.change(jobs.map((id) => ({ key: finalKey(id), value: { state: 'done', tasks: 1 } })));
  const from = node.clock.now();
  const replies = jobs.map(async (id) => {
    const { status } = await node.request('poll', id);
    return { status, ms: node.clock.now() - from };
  });
  await node.clock.run(from + 5000);
  const answers = await Promise.all(replies);
  assert.deepEqual(new Set(answers.map(({ status }) => status)), new Set([200]));
  assert.ok(Math.max(...answers.map(({ ms }) => ms)) < 2000);
});

test('accepted jobs: a request that was rejected because of a full queue is answered when repeated', async () => {
  const node = await userRequestsFixture();
  node.state.answerMs = 1000;
  const ask = (): Promise<number[]> =>
    Promise.all(
      Array.from({ length: 600 }, async (_, number) => {
        const reply = await node.request('poll', `j-${String(800_000 + number)}`);
        return reply.status;
      }),
    );
  const first = ask();
  await node.clock.run(node.clock.now() + 1);
  assert.equal(node.answered(), 600 - MAX_WAITING_CHECKS);
  await node.clock.run(node.clock.now() + 5000);
  const turnedAway = (await first).flatMap((status, number) => (status === 404 ? [] : [number]));
  assert.ok(turnedAway.length > 0);
  node.state.answerMs = 5;
  const second = turnedAway
    .slice(0, 100)
    .map((number) => node.request('poll', `j-${String(800_000 + number)}`));
  for (const { status } of await node.settle(...second)) assert.equal(status, 404);
});

test('accepted jobs: checks that the store refused with 429 are retried together with later checks', async () => {
  const node = await userRequestsFixture();
  node.state.limits = { rps: 0.1, writeRps: 0.1 };
  const first = node.request('poll', JOB);
  await node.clock.run(node.clock.now() + 340);
  const second = node.request('poll', JOB);
  await node.clock.run(node.clock.now() + 300);
  node.state.limits = null;
  const replies = await node.settle(first, second);
  assert.deepEqual(
    replies.map(({ status }) => status),
    [404, 404],
  );
  assert.ok(node.state.rateLimitRejections > 0);
});

// The guards of the check hold, because the job is open when the transaction is executed. The job's
// final record reaches the replica before the delayed answer to the transaction.
test('accepted jobs: a cancellation that reaches the replica before the answer to a check is returned', async () => {
  for (const ask of ['repeat', 'malformed', 'unfit'] as const) {
    const node = await userRequestsFixture();
    node.state.change([{ key: jobKey(JOB), value: recordOf(JOB) }]);
    await node.clock.run(node.clock.now() + 500);
    node.state.transactionAnswerDelayMs = () => 1000;
    const reply = node.request(ask, JOB);
    await node.clock.run(node.clock.now() + 500);
    const over = { state: 'cancelled', tasks: 1 };
    node.state.change([
      { key: jobKey(JOB), remove: true },
      { key: finalKey(JOB), value: over },
    ]);
    const [{ status, body } = { status: 0, body: null }] = await node.settle(reply);
    assert.equal(status, 200, ask);
    assert.equal((body as { stage?: string }).stage, 'withdrawn', ask);
  }
});
