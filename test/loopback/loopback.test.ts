/** Real controllers on loopback: frozen, thawed and cut from the key-value store, with failure detection. */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { nodeKey } from '../../src/storage/keys.js';
import { stageOf } from '../world/jobs.js';
import { LoopbackCluster } from './cluster.js';

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
    await cluster.until('all are ready', LIMIT_S, async () => {
      const ready = await Promise.all(MEMBERS.map(([name]) => cluster.isReady(name)));
      return ready.every(Boolean) && cluster.tenure('leader') !== null;
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
    await cluster.until(`${id} is accepted`, LIMIT_S, async () =>
      [200, 201].includes((await cluster.submit(id, { ...job, spot: false }, at)).status),
    );
  }
  await cluster.until('all tasks run', LIMIT_S, () => cluster.starts.length >= TASKS + 2);
}

const holdsNothing = (cluster: LoopbackCluster, node: string): boolean =>
  ['leader', ...MEMBERS.map(([name]) => `part-${name}`)].every(
    (role) => cluster.tenure(role)?.owner !== node,
  );

const logged = (cluster: LoopbackCluster, node: string, text: string): boolean =>
  cluster.log(node).some(({ msg }) => msg === text);

/** All work ends, each task ran once, and no machine is left that nobody knows. */
async function endsWell(cluster: LoopbackCluster, at: string): Promise<void> {
  await cluster.until('the array is done', LIMIT_S, async () => {
    return stageOf(await cluster.poll('j-000001', at)) === 'done';
  });
  await cluster.until('no machine is an orphan', LIMIT_S, async () => {
    return (await cluster.orphans()).length === 0;
  });
  assert.deepEqual(cluster.broken, []);
  const tasks = cluster.starts.map(({ task }) => task);
  assert.equal(new Set(tasks).size, tasks.length, 'a task started twice');
  assert.ok(tasks.length >= TASKS + 2);
}

async function frozenLeader(t: TestContext): Promise<void> {
  await withCluster(async (cluster) => {
    const leader = cluster.tenure('leader')?.owner ?? '';
    const other = MEMBERS.find(([name]) => name !== leader)?.[0] ?? '';
    await startWork(cluster, other);
    // Its next transaction and all direct commands are on their way for longer than a takeover takes.
    cluster.state.late.set(leader, LATE_MS);
    for (const worker of cluster.workers.values()) worker.holdDirectMs = LATE_MS;
    void cluster.submit('j-000003', { tasks: 2, runS: 2, spot: false, team: 'blue' }, other);
    await cluster.until('a transaction is held', LIMIT_S, () => !cluster.state.late.has(leader));
    cluster.process(leader).freeze();
    await cluster.until('its roles are taken', LIMIT_S, () => holdsNothing(cluster, leader));
    await cluster.until('its late transaction is refused', LIMIT_S, () => {
      return cluster.state.lateRefusals > 0;
    });
    cluster.process(leader).thaw();
    for (const worker of cluster.workers.values()) worker.holdDirectMs = 0;
    await cluster.until('it sees that', LIMIT_S, () =>
      logged(cluster, leader, 'leadership given up'),
    );
    await cluster.until('its shard returns', LIMIT_S, () => {
      return cluster.tenure(`part-${leader}`)?.owner === leader;
    });
    const why = MEMBERS.flatMap(([name]) => cluster.log(name)).filter(({ detection }) => {
      return (detection as { action?: string } | undefined)?.action === 'take';
    });
    assert.ok(why.length > 0, 'no decision was logged');
    await endsWell(cluster, other);
    t.diagnostic(`late transactions refused: ${cluster.state.lateRefusals}`);
    t.diagnostic(`stale orders refused by workers: ${cluster.staleOrders}`);
  });
}

async function pausedLeader(): Promise<void> {
  await withCluster(async (cluster) => {
    const leader = cluster.tenure('leader')?.owner ?? '';
    const other = MEMBERS.find(([name]) => name !== leader)?.[0] ?? '';
    await startWork(cluster, other);
    const before = cluster.tenure('leader')?.term;
    const from = cluster.state.log.length;
    cluster.process(leader).freeze();
    const thawAt = cluster.clock.now() + 2_000;
    await cluster.until('two seconds are over', LIMIT_S, () => cluster.clock.now() >= thawAt);
    cluster.process(leader).thaw();
    await endsWell(cluster, other);
    const lapsed = cluster.state.log
      .slice(from)
      .some(({ key, removed }) => removed && key === nodeKey(leader));
    if (!lapsed) assert.equal(cluster.tenure('leader')?.term, before);
  });
}

async function refusedLeader(): Promise<void> {
  await withCluster(async (cluster) => {
    const leader = cluster.tenure('leader')?.owner ?? '';
    const other = MEMBERS.find(([name]) => name !== leader)?.[0] ?? '';
    await startWork(cluster, other);
    cluster.state.refused.add(leader);
    await cluster.until('its roles are taken', LIMIT_S, () => holdsNothing(cluster, leader));
    assert.ok(logged(cluster, leader, 'stood down'));
    cluster.state.refused.clear();
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
