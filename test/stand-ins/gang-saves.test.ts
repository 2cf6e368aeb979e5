/** Simulated gangs: halts, what they save, and what the invariant checker reports. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  JOB,
  playCommandedGang,
  allThree,
  type CommandedGangCase,
} from '../world/commanded-gang.js';
import { GANG_PEER_S } from '../world/gang.js';
import { awaitReply } from '../world/gang-steps.js';

const ROWS: CommandedGangCase[] = [
  {
    name: 'all stopped with grace: they save, exit together, and the next attempt resumes from there',
    job: { checkpointS: 5, saveS: 3, runS: 12 },
    act: async ({ world, all, progress, startAndRun, stopAll, startSecondAttempt }) => {
      await startAndRun(7);
      stopAll(3);
      await world.run(2);
      assert.deepEqual(all(), allThree('running'));
      await world.run(1.5);
      assert.deepEqual(all(), allThree('exited stopped stored'));
      assert.ok(progress() >= 6.5 && progress() <= 7.5, String(progress()));
      startSecondAttempt(0, 1, 2);
      await world.run(1 + 4);
      assert.deepEqual(all(), allThree('running'));
      await world.run(1.5);
      assert.deepEqual(all(), allThree('exited done'));
    },
  },
  {
    name: 'the last is stopped late but in time: saved, progress as at the first halt',
    job: { checkpointS: 5, saveS: 3, runS: 30 },
    act: async ({ world, call, all, progress, startAndRun }) => {
      await startAndRun(7);
      call(0, 'halt', 0, 1, 10);
      call(1, 'halt', 1, 1, 10);
      await world.run(GANG_PEER_S - 1);
      assert.deepEqual(all(), allThree('running'));
      call(2, 'halt', 2, 1, 10);
      await world.run(4);
      assert.deepEqual(all(), allThree('exited stopped stored'));
      assert.ok(progress() >= 6.5 && progress() <= 7.5, String(progress()));
    },
  },
  {
    name: 'one is not stopped in time: it exits with mates_gone and the save fails',
    job: { checkpointS: 5, saveS: 3, runS: 30 },
    act: async ({ world, call, all, progress, startAndRun }) => {
      await startAndRun(7);
      call(0, 'halt', 0, 1, 10);
      call(1, 'halt', 1, 1, 10);
      await world.run(GANG_PEER_S + 0.5);
      assert.deepEqual(all(), ['exited stopped', 'exited stopped', 'exited mates_gone']);
      assert.equal(progress(), 5);
    },
  },
  {
    name: 'too little grace for one: nothing is saved',
    job: { checkpointS: 5, saveS: 3, runS: 30 },
    act: async ({ world, call, seen, progress, startAndRun }) => {
      await startAndRun(7);
      call(0, 'halt', 0, 1, 2);
      call(1, 'halt', 1, 1, 3);
      assert.equal(seen(0), 'exited stopped');
      await world.run(GANG_PEER_S + 0.5);
      assert.deepEqual([seen(1), seen(2)], ['exited stopped', 'exited mates_gone']);
      assert.equal(progress(), 5);
    },
  },
  {
    name: 'a second halt without grace ends a task that saves, and the save fails',
    job: { checkpointS: 5, saveS: 3, runS: 30 },
    act: async ({ world, call, seen, progress, startAndRun, stopAll }) => {
      await startAndRun(7);
      stopAll(5);
      await world.run(1);
      call(1, 'halt', 1, 1, 0);
      assert.equal(seen(1), 'exited stopped');
      await world.run(GANG_PEER_S);
      assert.deepEqual([seen(0), seen(2)], ['exited stopped', 'exited stopped']);
      assert.equal(progress(), 5);
    },
  },
  {
    name: 'a gang without checkpoints loses all when stopped, with any grace',
    act: async ({ all, progress, startAndRun, stopAll }) => {
      await startAndRun(7);
      stopAll(60);
      assert.deepEqual(all(), allThree('exited stopped'));
      assert.equal(progress(), 0);
    },
  },
  {
    name: 'what was saved is never lost to an older checkpoint',
    job: { checkpointS: 5, saveS: 3, runS: 30 },
    act: async ({ world, worker, progress, startAndRun, stopAll, startSecondAttempt }) => {
      await startAndRun(7);
      stopAll(5);
      await world.run(4);
      const saved = progress();
      startSecondAttempt(0, 1, 2);
      await world.run(2);
      worker(0).die();
      await world.run(GANG_PEER_S + 1);
      assert.ok(saved > 5);
      assert.equal(progress(), saved);
    },
  },
  {
    name: 'a done task that is started again exits with done, alone',
    act: async ({ world, worker, call, start, seen }) => {
      start(0, 1, 2);
      await world.run(13);
      worker(0).die();
      call(3, 'launch', 0, 2);
      await world.run(1.5);
      assert.equal(seen(3), 'exited done');
    },
  },
  {
    // The invariant checker of the gang tests must see what it is there for.
    name: 'the invariant checker reports two machines with one task, and waiting tasks in two zones',
    job: { oneZone: true },
    act: async ({ world, call, start }) => {
      start(0, 1);
      await world.run(2);
      call(3, 'launch', 1, 1);
      await world.run(2);
      assert.deepEqual(world.violations.sort(), [
        `ran_twice ${JOB}/1`,
        `wrong_place ${JOB}/1 (one zone)`,
      ]);
      world.violations.length = 0;
    },
  },
  {
    name: 'the invariant checker reports two attempts that run at once',
    act: async ({ world, worker, call, start, startSecondAttempt }) => {
      start(0, 1, 2);
      await world.run(2);
      worker(2).hang(20);
      await world.run(GANG_PEER_S + 0.5);
      startSecondAttempt(0, 1);
      call(3, 'launch', 2, 2);
      await world.run(2);
      assert.deepEqual(world.violations, [`ran_twice ${JOB}/2`, `two_attempts ${JOB}/2: 1 and 2`]);
      world.violations.length = 0;
    },
  },
  {
    name: 'the invariant checker reports a gang that is called done before it is',
    act: async ({ world, start }) => {
      start(0, 1, 2);
      await world.run(5);
      const node = {
        handleUserRequest: () => Promise.resolve({ status: 200, body: { stage: 'done' } }),
      };
      world.nodes.set('n0', { node: node as never, kill: () => undefined });
      await awaitReply(world, world.poll(JOB));
      const missing = [0, 1, 2].map((index) => `not_done ${JOB}/${index}`);
      assert.deepEqual(world.violations, missing);
      world.violations.length = 0;
    },
  },
];

for (const row of ROWS) {
  test(`simulated gangs: ${row.name}`, () => playCommandedGang(row));
}
