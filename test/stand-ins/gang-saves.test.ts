/**
 * Simulated gangs: stops, saved progress, and what the invariant checker reports of them. Guards the
 * gang tests of the cluster, which would miss faults of the controllers if the simulated gangs saved
 * progress that real ones lose, or if the checker overlooked a violation.
 */
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
    name: 'all tasks stopped with enough grace: they save and exit together, and the next attempt resumes',
    job: { checkpointS: 5, saveS: 3, runS: 12 },
    act: async ({
      world,
      reportedStates,
      savedProgressS,
      startAndRun,
      stopAll,
      startSecondAttempt,
    }) => {
      await startAndRun(7);
      stopAll(3);
      await world.run(2);
      assert.deepEqual(reportedStates(), allThree('running'));
      await world.run(1.5);
      assert.deepEqual(reportedStates(), allThree('exited stopped stored'));
      assert.ok(savedProgressS() >= 6.5 && savedProgressS() <= 7.5, String(savedProgressS()));
      startSecondAttempt(0, 1, 2);
      await world.run(1 + 4);
      assert.deepEqual(reportedStates(), allThree('running'));
      await world.run(1.5);
      assert.deepEqual(reportedStates(), allThree('exited done'));
    },
  },
  {
    name: 'last task stopped late but in time: the progress at the first stop is saved',
    job: { checkpointS: 5, saveS: 3, runS: 30 },
    act: async ({ world, call, reportedStates, savedProgressS, startAndRun }) => {
      await startAndRun(7);
      call(0, 'halt', 0, 1, 10);
      call(1, 'halt', 1, 1, 10);
      await world.run(GANG_PEER_S - 1);
      assert.deepEqual(reportedStates(), allThree('running'));
      call(2, 'halt', 2, 1, 10);
      await world.run(4);
      assert.deepEqual(reportedStates(), allThree('exited stopped stored'));
      assert.ok(savedProgressS() >= 6.5 && savedProgressS() <= 7.5, String(savedProgressS()));
    },
  },
  {
    name: 'one task not stopped in time: it exits with mates_gone and the save fails',
    job: { checkpointS: 5, saveS: 3, runS: 30 },
    act: async ({ world, call, reportedStates, savedProgressS, startAndRun }) => {
      await startAndRun(7);
      call(0, 'halt', 0, 1, 10);
      call(1, 'halt', 1, 1, 10);
      await world.run(GANG_PEER_S + 0.5);
      assert.deepEqual(reportedStates(), ['exited stopped', 'exited stopped', 'exited mates_gone']);
      assert.equal(savedProgressS(), 5);
    },
  },
  {
    name: 'too little grace for one task: nothing is saved',
    job: { checkpointS: 5, saveS: 3, runS: 30 },
    act: async ({ world, call, reportedState, savedProgressS, startAndRun }) => {
      await startAndRun(7);
      call(0, 'halt', 0, 1, 2);
      call(1, 'halt', 1, 1, 3);
      assert.equal(reportedState(0), 'exited stopped');
      await world.run(GANG_PEER_S + 0.5);
      assert.deepEqual(
        [reportedState(1), reportedState(2)],
        ['exited stopped', 'exited mates_gone'],
      );
      assert.equal(savedProgressS(), 5);
    },
  },
  {
    name: 'a second stop without grace while a task saves: the task exits and the save fails',
    job: { checkpointS: 5, saveS: 3, runS: 30 },
    act: async ({ world, call, reportedState, savedProgressS, startAndRun, stopAll }) => {
      await startAndRun(7);
      stopAll(5);
      await world.run(1);
      call(1, 'halt', 1, 1, 0);
      assert.equal(reportedState(1), 'exited stopped');
      await world.run(GANG_PEER_S);
      assert.deepEqual([reportedState(0), reportedState(2)], ['exited stopped', 'exited stopped']);
      assert.equal(savedProgressS(), 5);
    },
  },
  {
    name: 'a gang without checkpoints is stopped: all progress is lost, whatever the grace',
    act: async ({ reportedStates, savedProgressS, startAndRun, stopAll }) => {
      await startAndRun(7);
      stopAll(60);
      assert.deepEqual(reportedStates(), allThree('exited stopped'));
      assert.equal(savedProgressS(), 0);
    },
  },
  {
    name: 'saved progress is never replaced by an older checkpoint',
    job: { checkpointS: 5, saveS: 3, runS: 30 },
    act: async ({ world, worker, savedProgressS, startAndRun, stopAll, startSecondAttempt }) => {
      await startAndRun(7);
      stopAll(5);
      await world.run(4);
      const saved = savedProgressS();
      startSecondAttempt(0, 1, 2);
      await world.run(2);
      worker(0).die();
      await world.run(GANG_PEER_S + 1);
      assert.ok(saved > 5);
      assert.equal(savedProgressS(), saved);
    },
  },
  {
    name: 'a done task that is started again exits with done without its gang',
    act: async ({ world, worker, call, start, reportedState }) => {
      start(0, 1, 2);
      await world.run(13);
      worker(0).die();
      call(3, 'launch', 0, 2);
      await world.run(1.5);
      assert.equal(reportedState(3), 'exited done');
    },
  },
  {
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
    name: 'the invariant checker reports a gang that a controller reports as done too early',
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
