/**
 * Simulated gangs: waiting, the common start, and lost tasks. Guards the gang tests of the cluster,
 * which would miss faults of the controllers if simulated gangs started without all their tasks, or ran
 * on without a lost one.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  JOB,
  playCommandedGang,
  allThree,
  type CommandedGangCase,
} from '../world/commanded-gang.js';
import { GANG_PEER_S, GANG_WAIT_S } from '../world/gang.js';

const ROWS: CommandedGangCase[] = [
  {
    name: 'the third task joins two that wait: common start and common end',
    act: async ({ world, start, reportedStates }) => {
      start(0, 1);
      assert.deepEqual(reportedStates(), ['pulling', 'pulling', 'none']);
      await world.run(5);
      assert.deepEqual(reportedStates(), ['gathering', 'gathering', 'none']);
      assert.equal(world.gangStarts.length, 0);
      start(2);
      await world.run(2);
      assert.deepEqual(reportedStates(), allThree('running'));
      assert.deepEqual(
        world.gangStarts.map(({ job, attempt }) => [job, attempt]),
        [[JOB, 1]],
      );
      await world.run(8);
      assert.deepEqual(reportedStates(), allThree('running'));
      await world.run(2);
      assert.deepEqual(reportedStates(), allThree('exited done'));
      assert.equal(world.completedTasks.size, 3);
    },
  },
  {
    name: 'waiting tasks are on their machines, and count against quotas',
    job: { cpus: 4, team: 'blue', tasks: 4 },
    act: async ({ world, worker, start }) => {
      start(0, 1, 2, 3);
      await world.run(0.5);
      assert.equal([...worker(0).tasksOnMachine()].length, 0);
      await world.run(1);
      assert.equal([...worker(0).tasksOnMachine()].length, 1);
      // The team's quota is 12.
      assert.deepEqual(world.violations, ['quota blue 16']);
      world.violations.length = 0;
    },
  },
  {
    name: 'a waiting task occupies its machine: another start there is refused',
    job: { cpus: 3 },
    act: async ({ world, worker, call, start, reportedState }) => {
      start(0);
      await world.run(2);
      call(0, 'launch', 1);
      await world.run(2);
      assert.equal(reportedState(0), 'gathering');
      assert.equal(worker(0).tasks.get(`${JOB}/1`)?.cause, 'full');
    },
  },
  {
    name: 'a gang is never complete: each task exits as `alone` after its own wait',
    act: async ({ world, call, start, reportedStates }) => {
      start(0);
      await world.run(10);
      call(1, 'launch', 1);
      await world.run(GANG_WAIT_S - 10);
      assert.deepEqual(reportedStates(), ['gathering', 'gathering', 'none']);
      await world.run(2);
      assert.deepEqual(reportedStates(), ['exited alone', 'gathering', 'none']);
      await world.run(10);
      assert.deepEqual(reportedStates(), ['exited alone', 'exited alone', 'none']);
    },
  },
  {
    name: 'a task of another attempt does not complete a gang',
    act: async ({ world, call, start, reportedStates }) => {
      start(0, 1);
      call(2, 'launch', 2, 2);
      await world.run(5);
      assert.deepEqual(reportedStates(), allThree('gathering'));
      assert.equal(world.gangStarts.length, 0);
    },
  },
  {
    name: 'a waiting task that is stopped exits at once, whatever its grace',
    job: { checkpointS: 5, saveS: 3 },
    act: async ({ world, call, start, reportedStates }) => {
      start(0, 1);
      await world.run(2);
      call(0, 'halt', 0, 1, 60);
      assert.deepEqual(reportedStates(), ['exited stopped', 'gathering', 'none']);
      await world.run(10);
      assert.deepEqual(reportedStates(), ['exited stopped', 'gathering', 'none']);
    },
  },
  {
    name: 'a waiting task disappears: the others wait until a replacement in the attempt joins them',
    act: async ({ world, worker, call, start, reportedState }) => {
      start(0, 1);
      await world.run(3);
      worker(1).die();
      await world.run(10);
      assert.equal(reportedState(0), 'gathering');
      start(2);
      call(3, 'launch', 1);
      await world.run(2);
      assert.deepEqual([reportedState(0), reportedState(2), reportedState(3)], allThree('running'));
    },
  },
  {
    name: 'a machine hangs while the last image arrives: its task joins once the machine resumes',
    act: async ({ world, worker, start, reportedStates }) => {
      start(0, 1);
      await world.run(2);
      worker(0).hang(8);
      start(2);
      await world.run(5);
      assert.deepEqual(reportedStates(), allThree('gathering'));
      await world.run(4);
      assert.deepEqual(reportedStates(), allThree('running'));
    },
  },
  {
    name: 'a task of a running gang disappears: the others exit with mates_gone, the last checkpoint stays',
    job: { checkpointS: 4, runS: 30 },
    act: async ({ world, worker, reportedState, savedProgressS, startAndRun }) => {
      await startAndRun(7);
      worker(1).die();
      await world.run(1);
      assert.deepEqual([reportedState(0), reportedState(2)], ['running', 'running']);
      await world.run(GANG_PEER_S - 1);
      assert.deepEqual(
        [reportedState(0), reportedState(2)],
        ['exited mates_gone', 'exited mates_gone'],
      );
      assert.equal(savedProgressS(), 4);
    },
  },
  {
    name: 'a machine hangs for 12 s: its peers exit in time, and its task exits once it resumes',
    act: async ({ world, worker, start, reportedStates, savedProgressS }) => {
      start(0, 1, 2);
      await world.run(4);
      worker(2).hang(12);
      await world.run(GANG_PEER_S + 0.5);
      assert.deepEqual(reportedStates(), ['exited mates_gone', 'exited mates_gone', 'running']);
      await world.run(4);
      assert.deepEqual(reportedStates(), allThree('exited mates_gone'));
      assert.equal(savedProgressS(), 0);
    },
  },
  {
    name: 'a machine that hangs for 1 s only delays its gang',
    act: async ({ world, worker, start, reportedStates }) => {
      start(0, 1, 2);
      await world.run(4);
      worker(2).hang(1);
      await world.run(7);
      assert.deepEqual(reportedStates(), allThree('running'));
      await world.run(2);
      assert.deepEqual(reportedStates(), allThree('exited done'));
    },
  },
  {
    name: 'a machine cut off from the controllers: its task stays a peer, and the gang gets done',
    act: async ({ world, worker, start, reportedStates }) => {
      start(0, 1, 2);
      await world.run(2);
      world.cutLinks.add(`n0>${worker(1).machine.name}`);
      await world.run(11);
      assert.deepEqual(reportedStates(), allThree('exited done'));
    },
  },
];

for (const row of ROWS) {
  test(`simulated gangs: ${row.name}`, () => playCommandedGang(row));
}
