/**
 * Overlapping faults: requests at the end of a job, more tasks than capacity, and a team that almost
 * uses up its quota.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { stageOf } from '../world/jobs.js';
import {
  URGENT_SERVICE,
  controllerNames,
  playOverlappingFaults,
  submit,
  type OverlappingFaultsCase,
} from '../world/overlapping-faults.js';
import { awaitReply } from '../world/await-reply.js';

const ROWS: OverlappingFaultsCase[] = [
  {
    name: 'cancellation, poll and repeated submission at the end of the last task',
    seeds: [1, 2],
    script: async (world) => {
      const ids = Array.from({ length: 12 }, (_, at) => `j-0000${at + 10}`);
      for (const [at, id] of ids.entries()) {
        const team = at % 2 ? 'red' : 'blue';
        await submit(world, id, { tasks: 1, runS: 20, team }, `n${at % 3}`);
      }
      await world.run(10);
      const startedAt = new Map(world.starts.map((one) => [one.task, one.at]));
      let answered = 0;
      for (const [at, id] of ids.entries()) {
        const start = startedAt.get(`${id}/0`);
        assert.ok(start !== undefined, `${id} has not started`);
        const moment = start + 20_000 - 900 + at * 300 - world.clock.now();
        world.clock.after(moment, () => {
          for (const node of controllerNames(world)) {
            void world.poll(id, node);
            void world.submit(id, { tasks: 1 }, node);
          }
          void world.cancel(id, `n${at % 3}`).then((reply) => {
            if (reply.status === 200) answered++;
          });
        });
      }
      await world.run(25);
      assert.equal(answered, ids.length);
      const ends = new Set([...world.answeredEnds.values()].map((one) => one.stage));
      assert.deepEqual([...ends].sort(), ['done', 'withdrawn']);
      for (const id of ids) {
        for (const node of controllerNames(world)) {
          const reply = await awaitReply(world, world.submit(id, {}, node));
          assert.deepEqual(
            [reply.status, stageOf(reply)],
            [200, world.answeredEnds.get(id)?.stage],
          );
        }
      }
    },
  },
  {
    name: 'more tasks than capacity, urgent and not, over slow links',
    recoveryS: 260,
    script: async (world) => {
      world.linkDelayMs = 600;
      for (let at = 0; at < 8; at++) {
        const urgent = at % 2 === 0;
        const job = { tasks: urgent ? 2 : 10, runS: 12, urgent, team: at % 4 < 2 ? 'red' : 'blue' };
        await submit(world, `j-00000${at}`, job);
      }
      await world.run(60);
      world.linkDelayMs = 1;
    },
  },
  {
    name: 'services that almost use up a quota, while an array of the team waits',
    script: async (world) => {
      await submit(world, 'j-000001', { ...URGENT_SERVICE, tasks: 7, cpus: 2 });
      await world.run(60);
      assert.equal(world.starts.length, 7);
      await submit(world, 'j-000002', { tasks: 2, runS: 10 });
      await world.run(90);
      assert.ok(
        world.starts.some((one) => one.task.startsWith('j-000002/')),
        'waits though its team is under its quota and machines have capacity',
      );
    },
  },
];

for (const row of ROWS) {
  for (const seed of row.seeds ?? [1]) {
    test(`overlapping faults: ${row.name} (seed ${seed})`, (t) =>
      playOverlappingFaults(t, row, seed));
  }
}
