/** Overlapping faults: transactions that are applied late, while assignments are created and removed. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ASSIGNMENTS } from '../../src/storage/keys.js';
import type { SimJob } from '../world/jobs.js';
import {
  URGENT_SERVICE,
  restartLeader,
  playOverlappingFaults,
  submit,
  workersIn,
  type OverlappingFaultsCase,
} from '../world/overlapping-faults.js';
import type { World } from '../world/world.js';

const SHORT: Partial<SimJob> = { tasks: 40, runS: 3 };

const ROWS: OverlappingFaultsCase[] = [
  ...[false, true].map((killsLeaders) => ({
    name: `late writes: short tasks in many assignments${killsLeaders ? ', leaders killed' : ''}`,
    seeds: [1, 2],
    restS: 200,
    script: async (world: World) => {
      world.store.lateTransactionFraction = 0.3;
      for (let round = 0; round < 6; round++) {
        const job = round % 2 ? { ...SHORT, team: 'blue', urgent: true } : SHORT;
        void world.submit(`j-00000${round}`, { ...job, spread: round === 3 }, `n${round % 3}`);
        await world.run(5);
        if (killsLeaders && round % 2) await restartLeader(world, round === 3 ? 8 : 0.3);
        await world.run(5);
      }
      world.store.lateTransactionFraction = 0;
    },
  })),
  ...[false, true].map((killsLeaders) => ({
    name: `late writes: tasks returned for lack of capacity${killsLeaders ? ', leaders killed' : ''}`,
    zones: ['a', 'b'],
    seeds: [1, 2],
    restS: 200,
    script: async (world: World) => {
      // A machine that receives no answers gets no tasks, so that its shard returns its assignments,
      // urgent ones sooner.
      world.store.lateTransactionFraction = 0.3;
      for (let round = 0; round < 5; round++) {
        const [worker] = workersIn(world, round % 2 ? 'b' : 'a');
        if (worker) worker.losesAnswers = true;
        void world.submit(`j-00000${round}`, { tasks: 6, runS: 15, urgent: true });
        await world.run(10);
        if (killsLeaders && round % 2) await restartLeader(world, 0.3);
        if (worker) worker.losesAnswers = false;
        await world.run(2);
      }
      world.store.lateTransactionFraction = 0;
    },
  })),
  {
    // The first copy of the transaction that creates an assignment is delayed. Its repeat is applied,
    // the assignment is returned and removed, and its task runs elsewhere when the first copy arrives.
    name: 'late writes: the creation of an assignment that was returned meanwhile',
    members: [
      ['n0', 'a'],
      ['n1', 'b'],
    ],
    zones: ['a'],
    script: async (world) => {
      world.capacity = 0;
      await submit(world, 'j-000001', { ...URGENT_SERVICE, tasks: 1 });
      await world.run(10);
      const [first] = world.workers.values();
      assert.ok(first);
      first.losesAnswers = true;
      // The machine does not confirm this start, so that the shard places no further task on it until
      // it is acknowledged again.
      await submit(world, 'j-000002', { ...URGENT_SERVICE, tasks: 1 });
      await world.run(2.6);
      let delayedKey = '';
      let wasRemoved: boolean | null = null;
      world.store.transactionDelayMs = (_node, changes) => {
        const created = changes.find((one) => one.key.includes('/j-000003/') && 'value' in one);
        if (delayedKey !== '' || !created?.key.startsWith(ASSIGNMENTS)) return null;
        delayedKey = created.key;
        world.clock.after(11_999, () => {
          wasRemoved = !world.store.entries.has(delayedKey);
        });
        return 12_000;
      };
      await submit(world, 'j-000003', { tasks: 1, runS: 60, urgent: true });
      // Adds capacity in the other shard, and, once the task runs there, in the shard of the
      // delayed assignment.
      world.addMachine('small', 'b', false, 5500);
      world.addMachine('small', 'a', false, 11_400);
      await world.run(13);
      first.losesAnswers = false;
      await world.run(5);
      assert.ok(delayedKey !== '', 'no creation was delayed');
      assert.equal(wasRemoved, true, 'the assignment was still there');
    },
  },
];

for (const row of ROWS) {
  for (const seed of row.seeds ?? [1]) {
    test(`overlapping faults: ${row.name} (seed ${seed})`, (t) =>
      playOverlappingFaults(t, row, seed));
  }
}
