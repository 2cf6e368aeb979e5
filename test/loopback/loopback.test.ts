/** Real controllers on loopback: frozen, thawed and cut from the key-value store, with failure detection. */
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
/** s; invariants are checked, not speed: beside load all of this takes far longer. */
const LIMIT_S = 120;
const TASKS = 12;
/** ms for which commands of the leader are on their way. */
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

/** An array and a service, accepted and with tasks that run. */
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

const logged = (cluster: LoopbackCluster, node: string, text: string): boolean =>
  cluster.log(node).some(({ msg }) => msg === text);

/** All work ends, each task ran once, and no machine is left that nobody knows. */
async function endsWell(cluster: LoopbackCluster, at: string): Promise<void> {
  await cluster.waitUntil('the array is done', LIMIT_S, async () => {
    return stageOf(await cluster.poll('j-000001', at)) === 'done';
  });
  await cluster.waitUntil('no machine is an orphan', LIMIT_S, async () => {
    return (await cluster.orphanMachines()).length === 0;
  });
  assert.deepEqual(cluster.violations, []);
  const tasks = cluster.starts.map(({ task }) => task);
  assert.equal(new Set(tasks).size, tasks.length, 'a task started twice');
  assert.ok(tasks.length >= TASKS + 2);
}

async function frozenLeader(t: TestContext): Promise<void> {
  await withCluster(async (cluster) => {
    const leader = cluster.roleRecord('leader')?.owner ?? '';
    const other = MEMBERS.find(([name]) => name !== leader)?.[0] ?? '';
    await startWork(cluster, other);
    // Its next transaction and all direct commands are on their way for longer than a failover takes.
    cluster.store.delayNextTransactionMs.set(leader, LATE_MS);
    setOnAllWorkers(cluster, { directDelayMs: LATE_MS });
    void cluster.submit('j-000003', { tasks: 2, runS: 2, spot: false, team: 'blue' }, other);
    await cluster.waitUntil(
      'a transaction is held',
      LIMIT_S,
      () => !cluster.store.delayNextTransactionMs.has(leader),
    );
    cluster.process(leader).pause();
    await cluster.waitUntil('its roles are taken', LIMIT_S, () => holdsNothing(cluster, leader));
    await cluster.waitUntil('its late transaction is refused', LIMIT_S, () => {
      return cluster.store.lateConflicts > 0;
    });
    cluster.process(leader).resume();
    setOnAllWorkers(cluster, { directDelayMs: 0 });
    await cluster.waitUntil('it sees that', LIMIT_S, () =>
      logged(cluster, leader, 'leadership lost'),
    );
    await cluster.waitUntil('its shard returns', LIMIT_S, () => {
      return cluster.roleRecord(`part-${leader}`)?.owner === leader;
    });
    const why = MEMBERS.flatMap(([name]) => cluster.log(name)).filter(({ detection }) => {
      return (detection as { action?: string } | undefined)?.action === 'take';
    });
    assert.ok(why.length > 0, 'no decision was logged');
    await endsWell(cluster, other);
    t.diagnostic(`late transactions refused: ${cluster.store.lateConflicts}`);
    t.diagnostic(`stale orders refused by workers: ${cluster.staleCommands}`);
  });
}

async function pausedLeader(): Promise<void> {
  await withCluster(async (cluster) => {
    const leader = cluster.roleRecord('leader')?.owner ?? '';
    const other = MEMBERS.find(([name]) => name !== leader)?.[0] ?? '';
    await startWork(cluster, other);
    const before = cluster.roleRecord('leader')?.term;
    const from = cluster.store.log.length;
    cluster.process(leader).pause();
    const thawAt = cluster.clock.now() + 2_000;
    await cluster.waitUntil('two seconds are over', LIMIT_S, () => cluster.clock.now() >= thawAt);
    cluster.process(leader).resume();
    await endsWell(cluster, other);
    const lapsed = cluster.store.log
      .slice(from)
      .some(({ key, removed }) => removed && key === nodeKey(leader));
    if (!lapsed) assert.equal(cluster.roleRecord('leader')?.term, before);
  });
}

async function refusedLeader(): Promise<void> {
  await withCluster(async (cluster) => {
    const leader = cluster.roleRecord('leader')?.owner ?? '';
    const other = MEMBERS.find(([name]) => name !== leader)?.[0] ?? '';
    await startWork(cluster, other);
    cluster.store.refusedControllers.add(leader);
    await cluster.waitUntil('its roles are taken', LIMIT_S, () => holdsNothing(cluster, leader));
    assert.ok(logged(cluster, leader, 'stepped down'));
    cluster.store.refusedControllers.clear();
    await endsWell(cluster, other);
  });
}

test('loopback', { concurrency: true }, async (t) => {
  await Promise.all([
    t.test('a frozen leader is replaced; thawed, its commands are refused', frozenLeader),
    t.test('a controller that is paused for two seconds keeps its roles', pausedLeader),
    t.test('a controller that the key-value store alone refuses steps down', refusedLeader),
  ]);
});
