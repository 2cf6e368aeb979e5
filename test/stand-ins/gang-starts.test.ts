/** Simulated gangs: waiting, the common start, and tasks that are lost. */
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
    name: 'two wait, the third completes them: common start and common end',
    act: async ({ world, start, all }) => {
      start(0, 1);
      assert.deepEqual(all(), ['pulling', 'pulling', 'none']);
      await world.run(5);
      assert.deepEqual(all(), ['gathering', 'gathering', 'none']);
      assert.equal(world.gangStarts.length, 0);
      start(2);
      await world.run(2);
      assert.deepEqual(all(), allThree('running'));
      assert.deepEqual(
        world.gangStarts.map(({ job, attempt }) => [job, attempt]),
        [[JOB, 1]],
      );
      await world.run(8);
      assert.deepEqual(all(), allThree('running'));
      await world.run(2);
      assert.deepEqual(all(), allThree('exited done'));
      assert.equal(world.completed.size, 3);
    },
  },
  {
    name: 'waiting tasks are on their machines, and count against quotas',
    job: { cpus: 4, team: 'blue', tasks: 4 },
    act: async ({ world, worker, start }) => {
      start(0, 1, 2, 3);
      await world.run(0.5);
      assert.equal([...worker(0).onMachine()].length, 0);
      await world.run(1);
      assert.equal([...worker(0).onMachine()].length, 1);
      // The team's quota is 12.
      assert.deepEqual(world.violations, ['quota blue 16']);
      world.violations.length = 0;
    },
  },
  {
    name: 'a waiting task occupies its machine: another start there is refused',
    job: { cpus: 3 },
    act: async ({ world, worker, call, start, seen }) => {
      start(0);
      await world.run(2);
      call(0, 'launch', 1);
      await world.run(2);
      assert.equal(seen(0), 'gathering');
      assert.equal(worker(0).tasks.get(`${JOB}/1`)?.cause, 'full');
    },
  },
  {
    name: 'never complete: each exits as `alone` after its own wait',
    act: async ({ world, call, start, all }) => {
      start(0);
      await world.run(10);
      call(1, 'launch', 1);
      await world.run(GANG_WAIT_S - 10);
      assert.deepEqual(all(), ['gathering', 'gathering', 'none']);
      await world.run(2);
      assert.deepEqual(all(), ['exited alone', 'gathering', 'none']);
      await world.run(10);
      assert.deepEqual(all(), ['exited alone', 'exited alone', 'none']);
    },
  },
  {
    name: 'other attempts do not complete a gang',
    act: async ({ world, call, start, all }) => {
      start(0, 1);
      call(2, 'launch', 2, 2);
      await world.run(5);
      assert.deepEqual(all(), allThree('gathering'));
      assert.equal(world.gangStarts.length, 0);
    },
  },
  {
    name: 'a waiting task that is stopped exits at once, whatever its grace',
    job: { checkpointS: 5, saveS: 3 },
    act: async ({ world, call, start, all }) => {
      start(0, 1);
      await world.run(2);
      call(0, 'halt', 0, 1, 60);
      assert.deepEqual(all(), ['exited stopped', 'gathering', 'none']);
      await world.run(10);
      assert.deepEqual(all(), ['exited stopped', 'gathering', 'none']);
    },
  },
  {
    name: 'a waiting task disappears: the rest go on waiting, a replacement of the attempt completes them',
    act: async ({ world, worker, call, start, seen }) => {
      start(0, 1);
      await world.run(3);
      worker(1).die();
      await world.run(10);
      assert.equal(seen(0), 'gathering');
      start(2);
      call(3, 'launch', 1);
      await world.run(2);
      assert.deepEqual([seen(0), seen(2), seen(3)], allThree('running'));
    },
  },
  {
    name: 'a machine that hangs while the last image comes joins when it resumes',
    act: async ({ world, worker, start, all }) => {
      start(0, 1);
      await world.run(2);
      worker(0).hang(8);
      start(2);
      await world.run(5);
      assert.deepEqual(all(), allThree('gathering'));
      await world.run(4);
      assert.deepEqual(all(), allThree('running'));
    },
  },
  {
    name: 'a task of a running gang disappears: mates_gone in time, back to the last checkpoint',
    job: { checkpointS: 4, runS: 30 },
    act: async ({ world, worker, seen, progress, startAndRun }) => {
      await startAndRun(7);
      worker(1).die();
      await world.run(1);
      assert.deepEqual([seen(0), seen(2)], ['running', 'running']);
      await world.run(GANG_PEER_S - 1);
      assert.deepEqual([seen(0), seen(2)], ['exited mates_gone', 'exited mates_gone']);
      assert.equal(progress(), 4);
    },
  },
  {
    name: 'a machine hangs for 12 s: its peers exit in time, it follows when it resumes',
    act: async ({ world, worker, start, all, progress }) => {
      start(0, 1, 2);
      await world.run(4);
      worker(2).hang(12);
      await world.run(GANG_PEER_S + 0.5);
      assert.deepEqual(all(), ['exited mates_gone', 'exited mates_gone', 'running']);
      await world.run(4);
      assert.deepEqual(all(), allThree('exited mates_gone'));
      assert.equal(progress(), 0);
    },
  },
  {
    name: 'a machine that hangs for a second only delays its gang',
    act: async ({ world, worker, start, all }) => {
      start(0, 1, 2);
      await world.run(4);
      worker(2).hang(1);
      await world.run(7);
      assert.deepEqual(all(), allThree('running'));
      await world.run(2);
      assert.deepEqual(all(), allThree('exited done'));
    },
  },
  {
    name: 'a machine cut from the controllers stays a peer',
    act: async ({ world, worker, start, all }) => {
      start(0, 1, 2);
      await world.run(2);
      world.cutLinks.add(`n0>${worker(1).machine.name}`);
      await world.run(11);
      assert.deepEqual(all(), allThree('exited done'));
    },
  },
];

for (const row of ROWS) {
  test(`simulated gangs: ${row.name}`, () => playCommandedGang(row));
}
