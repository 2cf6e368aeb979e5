/** An accepted job is never answered as absent, or refused, whatever this controller had seen of it. */
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

// Checks of one job shared a transaction with one guard: the last one's. Where the controller heard
// of the job between two checks, the guard said that the job is there, and the first was told that
// it is absent.
test('forgotten: a controller hears of an accepted job between two requests about it', async () => {
  const wrong: string[] = [];
  const orders = REQUESTS.flatMap((first) =>
    REQUESTS.map((second): [UserRequestKind, UserRequestKind] => [first, second]),
  );
  for (const [first, second] of orders) {
    const node = await userRequestsFixture();
    // The transaction of another job holds the next one back, so that both checks share it.
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

/** What the key-value store says, and what no controller may conclude from it. */
interface Answer {
  name: string;
  /** What is prepared before the job is asked about. */
  prepare: (node: UserNode) => void;
  expected: Record<UserRequestKind, number>;
  /** The operators are told of an error, by a repeated submission. */
  isLogged?: true;
}

/** Another controller accepted the job, and this one has not heard of it. */
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

// Each was answered 404, 400 or 422 where it is not 200 or 503 here.
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
      // An end still fits.
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

test('forgotten: a job counts as absent only if an answered transaction says so', async () => {
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

// A controller that was restarted knows no ends. Each question about one took a transaction and two
// reads, one job after the other: of those that came together most were answered 503.
test('forgotten: many questions about ended jobs at a controller that has heard of none', async () => {
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

test('forgotten: a request that a full queue rejects is answered the next time', async () => {
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

test('forgotten: checks that are refused for now are retried, with those that came since', async () => {
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

// The guard held before the end; the controller has heard of the end when the answer comes.
test('forgotten: an end that comes before the answer to a check is returned', async () => {
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
