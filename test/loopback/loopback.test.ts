/** Real controllers on loopback, with failure detection: paused, resumed, and refused by the key-value store. */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { nodeKey } from '../../src/storage/keys.js';
import { stageOf } from '../world/jobs.js';
import { LoopbackCluster } from './cluster.js';
import { setOnAllWorkers } from '../world/fault-steps.js';

const MEMBERS = [
  ['n0', 'a'],
  ['n1', 'a'],
  ['n2', 'b'],
] as const;
const OPERATORS = ['deploy/suspicion.toml'];
/** Limit of each wait, in s. The tests check invariants, not speed, and take far longer on a busy machine. */
const LIMIT_S = 120;
const TASKS = 12;
/** Delay of the leader's commands, in ms; longer than a failover takes. */
const LATE_MS = 20_000;

async function withCluster(play: (cluster: LoopbackCluster) => Promise<void>): Promise<void> {
  const cluster = await LoopbackCluster.start({ members: MEMBERS, operators: OPERATORS });
  try {
    await cluster.waitUntil('all are ready', LIMIT_S, async () => {
      const ready = await Promise.all(MEMBERS.map(([name]) => cluster.isReady(name)));
      return ready.every(Boolean) && cluster.roleRecord('leader') !== null;
    });
    await play(cluster);
  } finally {
    await cluster.stop();
  }
}

/** Submits an array and a service, and waits until their tasks run. */
async function startWork(cluster: LoopbackCluster, at: string): Promise<void> {
  const jobs = { 'j-000001': { tasks: TASKS, runS: 25 }, 'j-000002': { tasks: 2, service: true } };
  for (const [id, job] of Object.entries(jobs)) {
    await cluster.waitUntil(`${id} is accepted`, LIMIT_S, async () =>
      [200, 201].includes((await cluster.submit(id, { ...job, spot: false }, at)).status),
    );
  }
  await cluster.waitUntil('all tasks run', LIMIT_S, () => cluster.starts.length >= TASKS + 2);
}

const holdsNothing = (cluster: LoopbackCluster, node: string): boolean =>
  ['leader', ...MEMBERS.map(([name]) => `part-${name}`)].every(
    (role) => cluster.roleRecord(role)?.owner !== node,
  );

const hasLogged = (cluster: LoopbackCluster, node: string, text: string): boolean =>
  cluster.log(node).some(({ msg }) => msg === text);

/** Asserts that the array is completed, that each task started once and that no rented machine lacks a record. */
async function assertWorkCompletes(cluster: LoopbackCluster, at: string): Promise<void> {
  await cluster.waitUntil('the array is done', LIMIT_S, async () => {
    return stageOf(await cluster.poll('j-000001', at)) === 'done';
  });
  await cluster.waitUntil('each rented machine has a record', LIMIT_S, async () => {
    return (await cluster.orphanMachines()).length === 0;
  });
  assert.deepEqual(cluster.violations, []);
  const tasks = cluster.starts.map(({ task }) => task);
  assert.equal(new Set(tasks).size, tasks.length, 'a task started twice');
  assert.ok(tasks.length >= TASKS + 2);
}

/** Pauses the leader until its roles have moved, with its commands and a transaction delayed. */
async function leaderPausedUntilFailover(t: TestContext): Promise<void> {
  await withCluster(async (cluster) => {
    const leader = cluster.roleRecord('leader')?.owner ?? '';
    const other = MEMBERS.find(([name]) => name !== leader)?.[0] ?? '';
    await startWork(cluster, other);
    // The leader's next transaction and all direct calls arrive only after a failover.
    cluster.store.delayNextTransactionMs.set(leader, LATE_MS);
    setOnAllWorkers(cluster, { directDelayMs: LATE_MS });
    void cluster.submit('j-000003', { tasks: 2, runS: 2, spot: false, team: 'blue' }, other);
    await cluster.waitUntil(
      'a transaction is held',
      LIMIT_S,
      () => !cluster.store.delayNextTransactionMs.has(leader),
    );
    cluster.process(leader).pause();
    await cluster.waitUntil('its roles have moved', LIMIT_S, () => holdsNothing(cluster, leader));
    await cluster.waitUntil('its late transaction is refused', LIMIT_S, () => {
      return cluster.store.lateConflicts > 0;
    });
    cluster.process(leader).resume();
    setOnAllWorkers(cluster, { directDelayMs: 0 });
    await cluster.waitUntil('it logs that it lost the leadership', LIMIT_S, () =>
      hasLogged(cluster, leader, 'leadership lost'),
    );
    await cluster.waitUntil('it holds its shard again', LIMIT_S, () => {
      return cluster.roleRecord(`part-${leader}`)?.owner === leader;
    });
    const takeDecisions = MEMBERS.flatMap(([name]) => cluster.log(name)).filter(({ detection }) => {
      return (detection as { action?: string } | undefined)?.action === 'take';
    });
    assert.ok(takeDecisions.length > 0, 'no decision was logged');
    await assertWorkCompletes(cluster, other);
    t.diagnostic(`late transactions refused: ${cluster.store.lateConflicts}`);
    t.diagnostic(`stale commands rejected by workers: ${cluster.staleCommands}`);
  });
}

/** Pauses the leader for a shorter time than its roles take to move. */
async function leaderPausedBriefly(): Promise<void> {
  await withCluster(async (cluster) => {
    const leader = cluster.roleRecord('leader')?.owner ?? '';
    const other = MEMBERS.find(([name]) => name !== leader)?.[0] ?? '';
    await startWork(cluster, other);
    const before = cluster.roleRecord('leader')?.term;
    const from = cluster.store.log.length;
    cluster.process(leader).pause();
    const resumeAt = cluster.clock.now() + 2_000;
    await cluster.waitUntil('two seconds are over', LIMIT_S, () => cluster.clock.now() >= resumeAt);
    cluster.process(leader).resume();
    await assertWorkCompletes(cluster, other);
    const hasRegistrationExpired = cluster.store.log
      .slice(from)
      .some(({ key, removed }) => removed && key === nodeKey(leader));
    if (!hasRegistrationExpired) assert.equal(cluster.roleRecord('leader')?.term, before);
  });
}

/** Lets the key-value store refuse the leader until its roles have moved. */
async function leaderRefusedByStore(): Promise<void> {
  await withCluster(async (cluster) => {
    const leader = cluster.roleRecord('leader')?.owner ?? '';
    const other = MEMBERS.find(([name]) => name !== leader)?.[0] ?? '';
    await startWork(cluster, other);
    cluster.store.refusedControllers.add(leader);
    await cluster.waitUntil('its roles have moved', LIMIT_S, () => holdsNothing(cluster, leader));
    assert.ok(hasLogged(cluster, leader, 'stepped down'));
    cluster.store.refusedControllers.clear();
    await assertWorkCompletes(cluster, other);
  });
}

test('loopback', { concurrency: true }, async (t) => {
  await Promise.all([
    t.test(
      'a paused leader is replaced; after it resumes, its late commands are refused',
      leaderPausedUntilFailover,
    ),
    t.test('a controller that is paused for two seconds keeps its roles', leaderPausedBriefly),
    t.test('a controller that only the key-value store refuses steps down', leaderRefusedByStore),
  ]);
});
