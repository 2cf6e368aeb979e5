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
 * What heartbeats prove and what not. Each row tells what comes from machine m-1, whose task 0 of JOB
 * is to run, and what must follow. `m-2` is an idle machine where a row calls `other`.
 */
const ROWS: { name: string; placed?: boolean; check: (world: ShardFixture) => Promise<void> }[] = [
  {
    name: 'a machine that never shows our fencing token gets no work',
    check: async (world) => {
      for (let turn = 0; turn < 4; turn++) {
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
    name: 'one that stops receiving answers gets no more work until it shows the newest fencing token',
    check: async (world) => {
      world.heartbeat();
      await world.reconcile();
      world.sent[0]?.fail();
      await world.reconcile();
      // Its next agent epoch shows that its lease ran out although it was answered.
      world.heartbeat({ agentEpoch: 2 });
      world.heartbeat({ machine: 'm-2' });
      await world.reconcile();
      assert.equal(placed(world), 'm-2');
    },
  },
  {
    name: 'one whose agent epoch ended although it was answered gets no work until it shows a new fencing token',
    check: async (world) => {
      world.heartbeat();
      world.heartbeat({ agentEpoch: 2 });
      await world.reconcile();
      assert.equal(placed(world), undefined);
      world.heartbeat({ agentEpoch: 2, fencingToken: FENCING_TOKEN + 1 });
      await world.reconcile();
      assert.equal(placed(world), 'm-1');
    },
  },
  {
    name: 'one that sends heartbeats for long without receiving answers is no longer answered, and its tasks move',
    placed: true,
    check: async (world) => {
      let answered = 0;
      for (let turn = 0; turn < 40; turn++) {
        if (world.answer({ fencingToken: 3 }, [running(77)]).ok) answered++;
        world.heartbeat({ machine: 'm-2' });
        await world.reconcile(3000);
      }
      assert.ok(answered < 20, `answered ${answered} times`);
      assert.equal(placed(world), 'm-2');
    },
  },
  {
    name: 'a duplicate heartbeat of a returned machine brings nothing back',
    check: async (world) => {
      const value: MachineRecord = { state: 'gone', type: 'small', zone: 'a', spot: false, at: 0 };
      world.state.change([{ key: machineKey('m-1'), value }]);
      await world.clock.run(world.clock.now() + 300);
      assert.equal(world.answer().ok, false);
      await world.reconcile();
      assert.equal(world.shard.counts().machines, 0);
    },
  },
  {
    name: 'a duplicate heartbeat of a machine forgotten meanwhile is no proof that it receives answers',
    check: async (world) => {
      world.heartbeat({ sequence: 50 });
      await world.reconcile(0);
      world.state.hasOutage = true;
      await world.clock.run(world.clock.now() + 120_000);
      world.state.endOutage();
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
      // What waited was given back meanwhile; the leader assigns it anew.
      world.state.change([
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
    name: 'duplicates of older heartbeats renew no liveness',
    check: async (world) => {
      world.heartbeat({ sequence: 50 });
      await world.reconcile();
      const attempt = world.stored()?.live['0']?.[1] ?? 0;
      world.heartbeat({ sequence: 51 }, [running(attempt)]);
      for (let turn = 0; turn < 9; turn++) {
        await world.reconcile(3000);
        world.heartbeat({ sequence: 40 + turn });
        world.heartbeat({ machine: 'm-2', sequence: 100 + turn });
      }
      await world.reconcile(3000);
      assert.equal(placed(world), 'm-2');
    },
  },
  {
    name: 'a machine restarted at once, with sequence numbers from one, is accepted again, and its task starts again',
    check: async (world) => {
      world.heartbeat({ sequence: 500 });
      await world.reconcile();
      const attempt = world.stored()?.live['0']?.[1] ?? 0;
      world.heartbeat({ sequence: 501 }, [running(attempt)]);
      let fencingToken = 0;
      let started = 0;
      for (let turn = 1; turn <= 10; turn++) {
        const answer = world.answer({ sequence: turn, fencingToken });
        if (answer.ok) fencingToken = answer.fencingToken;
        if (answer.ok && ops(answer.commands).includes('start')) started = turn;
        await world.reconcile(3000);
      }
      assert.ok(started > 0, 'ignored for ever');
      assert.ok(fencingToken > FENCING_TOKEN);
    },
  },
  {
    name: 'forgetting an attempt fences every earlier direct start, without a new uncertainty',
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
    name: 'commands in the answer to a late copy do not count as delivered',
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

// Answers to calls renew no lease: a machine that reaches no controller loses its tasks though it
// answers every call, and what was started there went on being lost.
test('heartbeats: a machine whose heartbeats do not arrive counts as silent though it answers direct calls', async () => {
  const world = await shardFixture();
  world.heartbeat();
  await world.reconcile();
  const attempt = world.stored()?.live['0']?.[1] ?? 0;
  const machine = world.shard.machines.all.get('m-1');
  assert.ok(machine);
  for (let turn = 0; turn < 5; turn++) {
    await world.clock.run(world.clock.now() + 3000);
    machine.acknowledgedAt = world.clock.now();
  }
  assert.equal(world.shard.machines.health(machine), 'silent');
  // What must end there is told to it all the same.
  world.sent[0]?.done(heartbeatOf({ sequence: 500, tasks: [running(attempt)] }));
  await world.reconcile();
  await world.cancel();
  await world.reconcile();
  assert.deepEqual(ops(world.sent.at(-1)?.commands ?? []), ['stop']);
});
