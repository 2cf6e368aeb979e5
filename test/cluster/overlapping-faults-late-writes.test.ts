/** Overlapping faults: transactions that are carried out late, as assignments come and go. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ASSIGNMENTS } from '../../src/storage/keys.js';
import type { SimJob } from '../world/jobs.js';
import {
  URGENT,
  restartLeader,
  playOverlappingFaults,
  submit,
  workersIn,
  type OverlappingFaultsCase,
} from '../world/overlapping-faults.js';
import type { World } from '../world/world.js';

const SHORT: Partial<SimJob> = { tasks: 40, runS: 3 };

const ROWS: OverlappingFaultsCase[] = [
  ...[false, true].map((killed) => ({
    name: `late writes: short tasks in many assignments${killed ? ', leaders killed' : ''}`,
    seeds: [1, 2],
    restS: 200,
    script: async (world: World) => {
      world.store.lateTransactionShare = 0.3;
      for (let turn = 0; turn < 6; turn++) {
        const job = turn % 2 ? { ...SHORT, team: 'blue', urgent: true } : SHORT;
        void world.submit(`j-00000${turn}`, { ...job, spread: turn === 3 }, `n${turn % 3}`);
        await world.run(5);
        if (killed && turn % 2) await restartLeader(world, turn === 3 ? 8 : 0.3);
        await world.run(5);
      }
      world.store.lateTransactionShare = 0;
    },
  })),
  ...[false, true].map((killed) => ({
    name: `late writes: tasks returned for lack of capacity${killed ? ', leaders killed' : ''}`,
    zones: ['a', 'b'],
    seeds: [1, 2],
    restS: 200,
    script: async (world: World) => {
      // Machines that get no answers get no work: what their shard was assigned is returned, soon if urgent.
      world.store.lateTransactionShare = 0.3;
      for (let turn = 0; turn < 5; turn++) {
        const [worker] = workersIn(world, turn % 2 ? 'b' : 'a');
        if (worker) worker.losesAnswers = true;
        void world.submit(`j-00000${turn}`, { tasks: 6, runS: 15, urgent: true });
        await world.run(10);
        if (killed && turn % 2) await restartLeader(world, 0.3);
        if (worker) worker.losesAnswers = false;
        await world.run(2);
      }
      world.store.lateTransactionShare = 0;
    },
  })),
  {
    // The first copy of an assignment's creation is held; its repeat is carried out, the assignment is handed
    // back and removed, and its task runs elsewhere when the first copy arrives.
    name: 'late writes: the creation of an assignment that was returned meanwhile',
    members: [
      ['n0', 'a'],
      ['n1', 'b'],
    ],
    zones: ['a'],
    script: async (world) => {
      world.capacity = 0;
      await submit(world, 'j-000001', { ...URGENT, tasks: 1 });
      await world.run(10);
      const [first] = world.workers.values();
      assert.ok(first);
      first.losesAnswers = true;
      // Its start goes unanswered: from then on the shard waits for a proof before it places more.
      await submit(world, 'j-000002', { ...URGENT, tasks: 1 });
      await world.run(2.6);
      let held = '';
      let absent: boolean | null = null;
      world.store.transactionDelayMs = (_node, changes) => {
        const made = changes.find((one) => one.key.includes('/j-000003/') && 'value' in one);
        if (held !== '' || !made?.key.startsWith(ASSIGNMENTS)) return null;
        held = made.key;
        world.clock.after(11_999, () => {
          absent = !world.store.entries.has(held);
        });
        return 12_000;
      };
      await submit(world, 'j-000003', { tasks: 1, runS: 60, urgent: true });
      // Capacity for it elsewhere, and, once it runs there, capacity in the shard of the held assignment.
      world.addMachine('small', 'b', false, 5500);
      world.addMachine('small', 'a', false, 11_400);
      await world.run(13);
      first.losesAnswers = false;
      await world.run(5);
      assert.ok(held !== '', 'no creation was held');
      assert.equal(absent, true, 'the assignment was still there');
    },
  },
];

for (const row of ROWS) {
  for (const seed of row.seeds ?? [1]) {
    test(`overlapping faults: ${row.name} (seed ${seed})`, (t) =>
      playOverlappingFaults(t, row, seed));
  }
}
