/**
 * Guards against work on machines that do not receive the shard's answers, and against tasks that
 * are wrongly taken for running or ended. Both come about when a late duplicate of a heartbeat, or
 * a heartbeat without the required fencing token, is taken as proof that an answer has arrived.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { assignmentKey, machineKey } from '../../src/storage/keys.js';
import type { MachineRecord } from '../../src/storage/records.js';
import {
  JOB,
  FENCING_TOKEN,
  ended,
  shardFixture,
  ops,
  heartbeatOf,
  running,
  type ShardFixture,
} from '../world/shard-fixture.js';

const placed = (world: ShardFixture): string | undefined => world.stored()?.live['0']?.[0];

/**
 * Each row sends heartbeats of machine m-1, on which task 0 of JOB is to run, and checks what the
 * shard does. `placed`: a former holder has placed the task there. m-2 is a second, idle machine.
 */
const ROWS: { name: string; placed?: boolean; check: (world: ShardFixture) => Promise<void> }[] = [
  {
    name: "a machine that never shows this term's fencing token gets no tasks",
    check: async (world) => {
      for (let round = 0; round < 4; round++) {
        assert.deepEqual(ops(world.heartbeat({ fencingToken: 0 })), []);
        await world.reconcile();
      }
      assert.equal(placed(world), undefined);
      world.heartbeat();
      await world.reconcile();
      assert.equal(placed(world), 'm-1');
    },
  },
  {
    name: 'a machine that did not answer a direct call gets no tasks until it shows the newest fencing token',
    check: async (world) => {
      world.heartbeat();
      await world.reconcile();
      world.sent[0]?.fail();
      await world.reconcile();
      // A new worker epoch shows that the worker's lease expired although its heartbeat was
      // answered.
      world.heartbeat({ workerEpoch: 2 });
      world.heartbeat({ machine: 'm-2' });
      await world.reconcile();
      assert.equal(placed(world), 'm-2');
    },
  },
  {
    name: 'a machine whose worker epoch ended although it was answered gets no tasks until it shows a new fencing token',
    check: async (world) => {
      world.heartbeat();
      world.heartbeat({ workerEpoch: 2 });
      await world.reconcile();
      assert.equal(placed(world), undefined);
      world.heartbeat({ workerEpoch: 2, fencingToken: FENCING_TOKEN + 1 });
      await world.reconcile();
      assert.equal(placed(world), 'm-1');
    },
  },
  {
    name: 'a machine that is not acknowledged for a whole lease is no longer answered, and its task moves',
    placed: true,
    check: async (world) => {
      let answered = 0;
      for (let round = 0; round < 40; round++) {
        if (world.answer({ fencingToken: 3 }, [running(77)]).ok) answered++;
        world.heartbeat({ machine: 'm-2' });
        await world.reconcile(3000);
      }
      assert.ok(answered < 20, `answered ${answered} times`);
      assert.equal(placed(world), 'm-2');
    },
  },
  {
    name: 'a duplicate heartbeat of a machine that was returned to the cloud is not answered and adds no machine',
    check: async (world) => {
      const value: MachineRecord = { state: 'gone', type: 'small', zone: 'a', spot: false, at: 0 };
      world.store.change([{ key: machineKey('m-1'), value }]);
      await world.clock.run(world.clock.now() + 300);
      assert.equal(world.answer().ok, false);
      await world.reconcile();
      assert.equal(world.shard.counts().machines, 0);
    },
  },
  {
    name: 'a duplicate heartbeat of a machine whose entry was removed meanwhile does not acknowledge it',
    check: async (world) => {
      world.heartbeat({ sequence: 50 });
      await world.reconcile(0);
      world.store.hasOutage = true;
      await world.clock.run(world.clock.now() + 120_000);
      world.store.endOutage();
      const assignment = {
        ids: '0',
        done: '',
        live: {},
        team: 'red',
        cpus: 1,
        gpus: 0,
        memoryGb: 1,
      };
      await world.reconcile(3000);
      assert.equal(world.shard.counts().machines, 0);
      // The waiting task was returned to the leader meanwhile. The leader assigns it again.
      world.store.change([
        { key: assignmentKey('p', JOB, 1), value: { ...assignment, zone: 'a' } },
      ]);
      await world.clock.run(world.clock.now() + 300);
      const copy = world.answer({ sequence: 49 });
      await world.reconcile();
      assert.equal(placed(world), undefined);
      world.heartbeat({ sequence: 60, fencingToken: copy.ok ? copy.fencingToken : 0 });
      await world.reconcile();
      assert.equal(placed(world), 'm-1');
    },
  },
  {
    name: 'duplicates of older heartbeats do not extend the lease of a machine',
    check: async (world) => {
      world.heartbeat({ sequence: 50 });
      await world.reconcile();
      const attempt = world.stored()?.live['0']?.[1] ?? 0;
      world.heartbeat({ sequence: 51 }, [running(attempt)]);
      for (let round = 0; round < 9; round++) {
        await world.reconcile(3000);
        world.heartbeat({ sequence: 40 + round });
        world.heartbeat({ machine: 'm-2', sequence: 100 + round });
      }
      await world.reconcile(3000);
      assert.equal(placed(world), 'm-2');
    },
  },
  {
    name: 'a machine that restarts at once with sequence numbers from 1 is accepted, and its task is started again',
    check: async (world) => {
      world.heartbeat({ sequence: 500 });
      await world.reconcile();
      const attempt = world.stored()?.live['0']?.[1] ?? 0;
      world.heartbeat({ sequence: 501 }, [running(attempt)]);
      let fencingToken = 0;
      let started = 0;
      for (let round = 1; round <= 10; round++) {
        const answer = world.answer({ sequence: round, fencingToken });
        if (answer.ok) fencingToken = answer.fencingToken;
        if (answer.ok && ops(answer.commands).includes('start')) started = round;
        await world.reconcile(3000);
      }
      assert.ok(started > 0, 'the restarted machine is ignored');
      assert.ok(fencingToken > FENCING_TOKEN);
    },
  },
  {
    name: 'forgetting an attempt fences every earlier direct start, and the machine stays acknowledged',
    check: async (world) => {
      world.heartbeat();
      await world.reconcile();
      const attempt = world.stored()?.live['0']?.[1] ?? 0;
      const sent = world.sent[0];
      assert.ok(sent);
      assert.equal(sent.fencingToken, FENCING_TOKEN);
      sent.done(heartbeatOf({ sequence: 50, tasks: [running(attempt)] }));
      await world.reconcile();
      world.heartbeat({ sequence: 51 }, [ended(attempt)]);
      await world.reconcile(4000);
      const answer = world.answer({ sequence: 52 }, [ended(attempt)]);
      assert.ok(answer.ok && ops(answer.commands).includes('forget'));
      assert.ok(answer.fencingToken > sent.fencingToken);
      assert.equal(world.shard.machines.all.get('m-1')?.isAcknowledged, true);
    },
  },
  {
    name: 'the answer to a late duplicate contains no commands, so the next answer contains the start',
    placed: true,
    check: (world) => {
      assert.deepEqual(ops(world.heartbeat({ fencingToken: 3, sequence: 7 })), []);
      assert.deepEqual(ops(world.heartbeat({ sequence: 8 })), ['start']);
      return Promise.resolve();
    },
  },
];

for (const row of ROWS) {
  test(`heartbeats: ${row.name}`, async () => {
    const world = await shardFixture({ placed: row.placed ?? false });
    assert.ok(world.stored(), JOB);
    await row.check(world);
  });
}

// Direct calls renew no lease, so a machine whose heartbeats reach no controller loses its tasks
// although it answers every call. Tasks that were started there repeatedly were lost each time.
test('heartbeats: a machine whose heartbeats do not arrive counts as silent although it answers direct calls', async () => {
  const world = await shardFixture();
  world.heartbeat();
  await world.reconcile();
  const attempt = world.stored()?.live['0']?.[1] ?? 0;
  const machine = world.shard.machines.all.get('m-1');
  assert.ok(machine);
  for (let round = 0; round < 5; round++) {
    await world.clock.run(world.clock.now() + 3000);
    machine.acknowledgedAt = world.clock.now();
  }
  assert.equal(world.shard.machines.health(machine), 'silent');
  // A silent machine still gets stops.
  world.sent[0]?.done(heartbeatOf({ sequence: 500, tasks: [running(attempt)] }));
  await world.reconcile();
  await world.cancel();
  await world.reconcile();
  assert.deepEqual(ops(world.sent.at(-1)?.commands ?? []), ['stop']);
});
