import assert from 'node:assert/strict';
import { test } from 'node:test';
import { chunkKey, machineKey } from '../src/storage/keys.js';
import type { MachineRecord } from '../src/storage/records.js';
import {
  JOB,
  TOKEN,
  ended,
  lonePart,
  ops,
  reportOf,
  running,
  type LonePart,
} from './world/lone.js';

const placed = (world: LonePart): string | undefined => world.stored()?.live['0']?.[0];

/**
 * What reports prove and what not. Each row tells what comes from machine m-1, whose task 0 of JOB
 * is to run, and what must follow. `m-2` stands by with room where a row calls `other`.
 */
const ROWS: { name: string; placed?: boolean; check: (world: LonePart) => Promise<void> }[] = [
  {
    name: 'a machine that never shows our token gets no work',
    check: async (world) => {
      for (let turn = 0; turn < 4; turn++) {
        assert.deepEqual(ops(world.report({ token: 0 })), []);
        await world.round();
      }
      assert.equal(placed(world), undefined);
      world.report();
      await world.round();
      assert.equal(placed(world), 'm-1');
    },
  },
  {
    name: 'one that stops hearing gets no more work until it shows the newest token',
    check: async (world) => {
      world.report();
      await world.round();
      world.sent[0]?.fail();
      await world.round();
      // Its next session shows that its lease ran out although it was answered.
      world.report({ session: 2 });
      world.report({ machine: 'm-2' });
      await world.round();
      assert.equal(placed(world), 'm-2');
    },
  },
  {
    name: 'one whose session ended although it was answered gets no work until it shows a new token',
    check: async (world) => {
      world.report();
      world.report({ session: 2 });
      await world.round();
      assert.equal(placed(world), undefined);
      world.report({ session: 2, token: TOKEN + 1 });
      await world.round();
      assert.equal(placed(world), 'm-1');
    },
  },
  {
    name: 'one that reports for long without hearing is no longer answered, and its tasks move',
    placed: true,
    check: async (world) => {
      let answered = 0;
      for (let turn = 0; turn < 40; turn++) {
        if (world.answer({ token: 3 }, [running(77)]).ok) answered++;
        world.report({ machine: 'm-2' });
        await world.round(3000);
      }
      assert.ok(answered < 20, `answered ${answered} times`);
      assert.equal(placed(world), 'm-2');
    },
  },
  {
    name: 'a copy of a report of a returned machine brings nothing back',
    check: async (world) => {
      const value: MachineRecord = { state: 'gone', type: 'small', zone: 'a', spot: false, at: 0 };
      world.state.change([{ key: machineKey('m-1'), value }]);
      await world.clock.run(world.clock.now() + 300);
      assert.equal(world.answer().ok, false);
      await world.round();
      assert.equal(world.part.counts().machines, 0);
    },
  },
  {
    name: 'a copy of a report to a machine forgotten meanwhile is no proof that it hears us',
    check: async (world) => {
      world.report({ seq: 50 });
      await world.round(0);
      world.state.outage = true;
      await world.clock.run(world.clock.now() + 120_000);
      world.state.endOutage();
      const chunk = { ids: '0', done: '', live: {}, team: 'red', cpus: 1, gpus: 0, memoryGb: 1 };
      await world.round(3000);
      assert.equal(world.part.counts().machines, 0);
      // What waited was given back meanwhile; the leader assigns it anew.
      world.state.change([{ key: chunkKey('p', JOB, 1), value: { ...chunk, zone: 'a' } }]);
      await world.clock.run(world.clock.now() + 300);
      const copy = world.answer({ seq: 49 });
      await world.round();
      assert.equal(placed(world), undefined);
      world.report({ seq: 60, token: copy.ok ? copy.token : 0 });
      await world.round();
      assert.equal(placed(world), 'm-1');
    },
  },
  {
    name: 'copies of older reports renew no sign of life',
    check: async (world) => {
      world.report({ seq: 50 });
      await world.round();
      const attempt = world.stored()?.live['0']?.[1] ?? 0;
      world.report({ seq: 51 }, [running(attempt)]);
      for (let turn = 0; turn < 9; turn++) {
        await world.round(3000);
        world.report({ seq: 40 + turn });
        world.report({ machine: 'm-2', seq: 100 + turn });
      }
      await world.round(3000);
      assert.equal(placed(world), 'm-2');
    },
  },
  {
    name: 'a machine back at once that counts anew is heard again, and its task starts again',
    check: async (world) => {
      world.report({ seq: 500 });
      await world.round();
      const attempt = world.stored()?.live['0']?.[1] ?? 0;
      world.report({ seq: 501 }, [running(attempt)]);
      let token = 0;
      let started = 0;
      for (let turn = 1; turn <= 10; turn++) {
        const answer = world.answer({ seq: turn, token });
        if (answer.ok) token = answer.token;
        if (answer.ok && ops(answer.commands).includes('start')) started = turn;
        await world.round(3000);
      }
      assert.ok(started > 0, 'ignored for ever');
      assert.ok(token > TOKEN);
    },
  },
  {
    name: 'forgetting an attempt makes every earlier direct start powerless, without new doubt',
    check: async (world) => {
      world.report();
      await world.round();
      const attempt = world.stored()?.live['0']?.[1] ?? 0;
      const sent = world.sent[0];
      assert.ok(sent);
      assert.equal(sent.token, TOKEN);
      sent.done(reportOf({ seq: 50, tasks: [running(attempt)] }));
      await world.round();
      world.report({ seq: 51 }, [ended(attempt)]);
      await world.round(4000);
      const answer = world.answer({ seq: 52 }, [ended(attempt)]);
      assert.ok(answer.ok && ops(answer.commands).includes('forget'));
      assert.ok(answer.token > sent.token);
      assert.equal(world.part.machines.all.get('m-1')?.proven, true);
    },
  },
  {
    name: 'commands in the answer to a late copy do not count as delivered',
    placed: true,
    check: async (world) => {
      assert.deepEqual(ops(world.report({ token: 3, seq: 7 })), []);
      assert.deepEqual(ops(world.report({ seq: 8 })), ['start']);
    },
  },
];

for (const row of ROWS) {
  test(`hearing: ${row.name}`, async () => {
    const world = await lonePart({ placed: row.placed ?? false });
    assert.ok(world.stored(), JOB);
    await row.check(world);
  });
}

// Answers to calls renew no lease: a machine that reaches no controller loses its tasks though it
// answers every call, and what was started there went on being lost.
test('hearing: a machine whose reports don’t come counts as silent though it answers calls', async () => {
  const world = await lonePart();
  world.report();
  await world.round();
  const attempt = world.stored()?.live['0']?.[1] ?? 0;
  const machine = world.part.machines.all.get('m-1');
  assert.ok(machine);
  for (let turn = 0; turn < 5; turn++) {
    await world.clock.run(world.clock.now() + 3000);
    machine.provenAt = world.clock.now();
  }
  assert.equal(world.part.machines.health(machine), 'silent');
  // What must end there is told to it all the same.
  world.sent[0]?.done(reportOf({ seq: 500, tasks: [running(attempt)] }));
  await world.round();
  await world.cancel();
  await world.round();
  assert.deepEqual(ops(world.sent.at(-1)?.commands ?? []), ['stop']);
});
