/** Gangs whose machines die, hang or are cut off, or get their calls late. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  GANG,
  OTHER,
  SAVING,
  begins,
  cancel,
  ends,
  holder,
  playGang,
  some,
  submit,
  tasksOf,
  until,
  type Row,
} from '../world/gang-script.js';

const ROWS: Row[] = [
  ...[true, false].map((noticed): Row => ({
    // The tasks that wait must not be left to wait for ever, nor may the lost one run twice.
    name: `a member's machine dies before the start, ${noticed ? 'and the cloud knows' : 'silently'}`,
    zones: ['a', 'a', 'a'],
    act: async (world) => {
      await submit(world, GANG, { tasks: 6, cpus: 2 });
      await until(world, 'a task fetches', 20, () => some(world, GANG, 'pulling'));
      const worker = holder(world, GANG);
      if (noticed) world.removeMachine(worker.machine.name);
      else worker.die();
    },
  })),
  ...[true, false].map((noticed): Row => ({
    name: `a member's machine dies after the start, ${noticed ? 'and the cloud knows' : 'silently'}`,
    zones: ['a', 'a', 'a'],
    act: async (world) => {
      await submit(world, GANG, { tasks: 6, cpus: 2, runS: 30, ...SAVING });
      await begins(world, GANG, 20);
      await world.run(12);
      const worker = holder(world, GANG);
      if (noticed) world.removeMachine(worker.machine.name);
      else worker.die();
      await begins(world, GANG, 120, 2);
    },
  })),
  {
    // Its peers are gone when it goes on: what it holds is of an attempt that is over.
    name: 'a machine hangs for 12 s in a running gang',
    zones: ['a', 'a', 'a'],
    act: async (world) => {
      await submit(world, GANG, { tasks: 4, cpus: 2, runS: 30, ...SAVING });
      await begins(world, GANG, 20);
      await world.run(5);
      holder(world, GANG).hang(12);
      await begins(world, GANG, 120, 2);
    },
  },
  {
    name: 'a machine hangs for 12 s while its peers gather',
    zones: ['a', 'a', 'a'],
    act: async (world) => {
      await submit(world, GANG, { tasks: 4, cpus: 2 });
      await until(world, 'a task fetches', 20, () => some(world, GANG, 'pulling'));
      holder(world, GANG).hang(12);
      await begins(world, GANG, 60);
    },
  },
  {
    // It stays a peer until its lease runs out: the gang runs on, and then ends for all.
    name: 'a member machine is cut from all controllers for longer than its lease',
    zones: ['a', 'a', 'a'],
    act: async (world) => {
      await submit(world, GANG, { tasks: 4, cpus: 2, runS: 60, ...SAVING });
      await begins(world, GANG, 20);
      await world.run(5);
      const { name } = holder(world, GANG).machine;
      for (const [node] of world.members) world.cuts.add(`${node}>${name}`);
      await world.run(45);
      world.cuts.clear();
    },
  },
  {
    // A repeated start must neither run beside its successor nor complete an attempt that is over.
    name: 'direct calls come once more, soon and long after',
    zones: ['a', 'a', 'a', 'b'],
    done: [OTHER, 'j-000003'],
    act: async (world) => {
      for (const worker of world.workers.values()) worker.repeatDirectMs = [4000, 70_000];
      await submit(world, GANG, { tasks: 4, cpus: 2, urgent: true, runS: 40, ...SAVING });
      await begins(world, GANG, 20);
      await submit(world, OTHER, { team: 'blue', tasks: 3, cpus: 2, runS: 30, ...SAVING });
      await cancel(world, GANG);
      await submit(world, 'j-000003', { tasks: 4, cpus: 2, urgent: true, runS: 20 });
      await begins(world, 'j-000003', 60);
      await world.run(5);
      holder(world, 'j-000003').hang(12);
      await world.run(80);
      await ends(world, [GANG], 'withdrawn', 5);
      for (const worker of world.workers.values()) worker.repeatDirectMs = [];
    },
  },
  {
    name: 'direct calls are held for 9 s, unanswered',
    zones: ['a', 'a', 'a'],
    act: async (world) => {
      for (const worker of world.workers.values()) worker.holdDirectMs = 9000;
      await submit(world, GANG, { tasks: 4, cpus: 2 });
      await world.run(25);
      for (const worker of world.workers.values()) worker.holdDirectMs = 0;
    },
  },
  {
    // A task that nobody has heard the end of still holds its zone.
    name: 'one zone, its old tasks on machines whose heartbeats do not arrive',
    zones: ['a', 'a', 'b', 'b'],
    maxMachines: 4,
    act: async (world) => {
      await submit(world, GANG, { tasks: 4, cpus: 2, runS: 30, oneZone: true, ...SAVING });
      await begins(world, GANG, 20);
      await world.run(7);
      world.cloudTrouble = true;
      const [first, second] = new Set([...tasksOf(world, GANG)].map(({ worker }) => worker));
      assert.ok(first && second);
      first.hang(20);
      for (const [node] of world.members) world.cuts.add(`${node}>${second.machine.name}`);
      await world.run(35);
      world.cuts.clear();
      world.cloudTrouble = false;
    },
  },
];

for (const row of ROWS) {
  test(`gang: ${row.name}`, () => playGang(row));
}
