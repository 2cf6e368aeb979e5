/** Parts that must stay correct at scale: the machine list, the leader's totals, and connections. */
import assert from 'node:assert/strict';
import http from 'node:http';
import net, { type AddressInfo } from 'node:net';
import { test } from 'node:test';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { GuardedWriter } from '../../src/coordination/election/guarded-writer.js';
import { CATALOG, assignmentKey, jobKey } from '../../src/storage/keys.js';
import type { StoreReplica } from '../../src/storage/store-replica.js';
import { Autoscaler } from '../../src/coordination/autoscaling/autoscaler.js';
import { CapacityAccounting } from '../../src/coordination/capacity/capacity-accounting.js';
import type { Change } from '../../src/protocol/key-value-store.js';
import type { ListedMachine } from '../../src/protocol/model.js';
import { HttpWorkerApi } from '../../src/protocol/worker-api.js';
import { systemClock } from '../../src/transport/clock.js';
import { listenHttp } from '../../src/transport/http-server.js';
import { SimClock } from '../world/clock.js';
import { SPEC } from '../world/shard-fixture.js';
import { followingReplica } from '../world/replica.js';
import { SimKeyValueStore } from '../world/key-value-store.js';
import { TYPES, silentLog } from '../world/settings.js';

async function followedReplica(clock: SimClock, store: SimKeyValueStore): Promise<StoreReplica> {
  const { replica } = followingReplica(clock, store, 1e6);
  await clock.run(500);
  return replica;
}

// Guards against machines that are never adopted because a later page of the cloud's list is not
// read. With 606 machines the list has two pages, and a limit of 1.8 requests a second allowed one
// request at a time: the second page was never read, so that no machine beyond the first 500 was
// adopted.
test('a machine list of several pages is read to its end although the cloud allows one request at a time', async () => {
  const clock = new SimClock();
  const store = new SimKeyValueStore(clock);
  store.change([{ key: CATALOG, value: TYPES }]);
  const replica = await followedReplica(clock, store);
  const all: ListedMachine[] = Array.from({ length: 7 }, (_, at) => ({
    name: `m-00000${at}`,
    address: '10.0.0.1:9',
    type: 'small',
    zone: 'a',
    spot: false,
    state: 'running',
    ageS: 1,
  }));
  const adopted: string[] = [];
  const commit = (_purpose: string, _guards: unknown, changes: Change[]) => {
    for (const change of changes) adopted.push(change.key.split('/').at(-1) ?? '');
    return Promise.resolve({ kind: 'done' as const });
  };
  const autoscaler = new Autoscaler({
    term: 1,
    writer: { alive: () => true, commit } as unknown as GuardedWriter,
    transactionOps: 32,
    valueBytes: 8192,
    cloudRps: 1.5,
    listLagS: 12,
    leaseS: 24,
    idleMs: 1e9,
    headroomCpus: 0,
    isSpotAllowed: true,
    maxMachines: 100,
    members: [],
    replica,
    cloud: {
      types: () => Promise.resolve(TYPES),
      rent: () => Promise.resolve({ kind: 'noCapacity' }),
      returnMachines: () => Promise.resolve(true),
      list: (after) => {
        const page = all.filter((one) => one.name > after).slice(0, 3);
        return Promise.resolve({ machines: page, more: page.at(-1) !== all.at(-1) });
      },
    },
    clock,
    log: silentLog,
    random: () => 0.5,
  });
  for (let round = 0; round < 20; round++) {
    void autoscaler.reconcile({
      machines: [],
      unmetDemand: [],
      expectedCpus: 0,
      lastArray: null,
      recentGangs: [],
    });
    await clock.run(clock.now() + 500);
  }
  assert.deepEqual(
    [...new Set(adopted)].sort(),
    all.map((one) => one.name),
  );
});

// The leader updates its totals with each change of an assignment or a job. After hundreds of random
// changes they must equal totals that are computed from all records.
test('the totals of the leader match its records after random changes', async () => {
  const clock = new SimClock();
  const store = new SimKeyValueStore(clock);
  const replica = await followedReplica(clock, store);
  const accounting = new CapacityAccounting(replica, clock);
  accounting.refresh();
  replica.onChange((keys) => keys.forEach((key) => accounting.onKeyChanged(key)));
  const random = xoroshiro128plus(4);
  const draw = (most: number): number => uniformInt(random, 0, most - 1);
  const roundedTotals = (of: CapacityAccounting): unknown => {
    const round = (map: ReadonlyMap<string, object | number>): unknown =>
      [...map]
        .map(([key, value]) => [
          key,
          JSON.stringify(value, (_, one: unknown) =>
            typeof one === 'number' ? Math.round(one * 1e6) / 1e6 + 0 : one,
          ),
        ])
        .filter(([, text]) => text !== '0' && text !== '{"cpus":0,"gpus":0}')
        .sort();
    return [of.machines, of.teams, of.jobs, of.endingCpusPerS, of.waiting].map(round);
  };
  for (let round = 0; round < 400; round++) {
    const job = `j-00000${draw(6)}`;
    if (draw(4) === 0) {
      const kind = draw(2) === 0 ? 'array' : 'service';
      const priority = draw(2) === 0 ? 'high' : 'normal';
      const spec = { ...SPEC, id: job, kind, priority, tasks: 6, estimateS: 7 };
      const key = jobKey(job);
      store.change([draw(2) === 0 ? { key, remove: true } : { key, value: { spec, at: 0 } }]);
    } else {
      const key = assignmentKey(`p${draw(2)}`, job, draw(3));
      const live = Object.fromEntries(
        Array.from({ length: draw(3) }, (_, at) => [String(at + 1), [`m-${draw(5)}`, 7]]),
      );
      const value = { ids: '0-5', done: '0', live, team: `t${draw(2)}`, cpus: 1.3, gpus: 0 };
      const whole = { ...value, memoryGb: 3.7, zone: 'a' };
      store.change([draw(5) === 0 ? { key, remove: true } : { key, value: whole }]);
    }
    if (round % 40 !== 39) continue;
    await clock.run(clock.now() + 300);
    const recomputed = new CapacityAccounting(replica, clock);
    recomputed.refresh();
    assert.deepEqual(
      roundedTotals(accounting),
      roundedTotals(recomputed),
      `after ${round} changes`,
    );
    assert.deepEqual([...accounting.waiting.keys()].sort(), [...recomputed.waiting.keys()].sort());
  }
});

// After a restart of all controllers, all workers and users connect to the few that are up already.
test('beyond the soft limit connections of users close with their answer, those of workers stay open', async (t) => {
  const server = await listenHttp(
    '127.0.0.1:0',
    [
      { method: 'GET', path: '/user', handle: () => ({ status: 200, body: {} }) },
      {
        method: 'GET',
        path: '/worker',
        keepsConnection: true,
        handle: () => ({ status: 200, body: {} }),
      },
    ],
    {
      maxBodyBytes: 1000,
      maxConnections: 10,
      softConnectionLimit: 1,
      hardConnectionLimit: 2,
      keepAliveMs: 20_000,
    },
    () => undefined,
  );
  const { port } = server.address() as AddressInfo;
  const agents = [1, 2, 3].map(() => new http.Agent({ keepAlive: true }));
  t.after(() => {
    for (const agent of agents) agent.destroy();
    server.close();
  });
  const connectionOf = (at: number, path: string): Promise<string | undefined> =>
    new Promise((resolve, reject) => {
      http
        .get({ host: '127.0.0.1', port, path, agent: agents[at] }, (response) => {
          response.resume();
          response.on('end', () => resolve(response.headers.connection));
        })
        .on('error', reject);
    });
  assert.equal(await connectionOf(0, '/user'), 'keep-alive');
  assert.equal(await connectionOf(1, '/worker'), 'keep-alive');
  assert.equal(await connectionOf(0, '/user'), 'close');
  assert.equal(await connectionOf(1, '/worker'), 'keep-alive');
  // One user connection has been closed, so that two are open. A third is beyond the hard limit, so
  // that also a worker's connection is closed with its answer.
  assert.equal(await connectionOf(0, '/worker'), 'keep-alive');
  assert.equal(await connectionOf(2, '/worker'), 'close');
  assert.equal(await connectionOf(1, '/worker'), 'keep-alive');
});

test('direct calls: the limit is reported as reached until pending calls have timed out', async () => {
  const open = new Set<net.Socket>();
  const machine = net.createServer((socket) => {
    open.add(socket);
    socket.on('error', () => undefined);
  });
  await new Promise<void>((resolve) => machine.listen(0, '127.0.0.1', resolve));
  const { port } = machine.address() as AddressInfo;
  const workers = new HttpWorkerApi(systemClock, 50, 2, 2);
  assert.equal(workers.isAtCallLimit, false);
  const calls = [1, 2].map((at) =>
    assert.rejects(workers.command(`127.0.0.${at}:${port}`, 1, 1, [])),
  );
  assert.equal(workers.isAtCallLimit, true);
  await Promise.all(calls);
  assert.equal(workers.isAtCallLimit, false);
  workers.close();
  for (const socket of open) socket.destroy();
  machine.close();
});
