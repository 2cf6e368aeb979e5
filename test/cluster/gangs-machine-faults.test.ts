/** Gangs whose machines die, hang or are cut off, or get their calls late. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  GANG,
  OTHER,
  WITH_CHECKPOINTS,
  awaitGangStart,
  cancel,
  assertAllEnded,
  machineOf,
  playGang,
  hasTaskInState,
  submit,
  tasksOf,
  runUntil,
  type GangCase,
} from '../world/gang-steps.js';
import type { World } from '../world/world.js';
import { cutOffMachine, setOnAllWorkers } from '../world/fault-steps.js';

/** The machine of one of the gang's tasks dies; whether the cloud's list tells that it is gone. */
function loseMachine(world: World, isListedAsGone: boolean): void {
  const worker = machineOf(world, GANG);
  if (isListedAsGone) world.removeMachine(worker.machine.name);
  else worker.die();
}

const ROWS: GangCase[] = [
  ...[true, false].map((noticed): GangCase => ({
    // The tasks that wait must not be left to wait for ever, nor may the lost one run twice.
    name: `a member's machine dies before the start, ${noticed ? 'and the cloud knows' : 'silently'}`,
    zones: ['a', 'a', 'a'],
    act: async (world) => {
      await submit(world, GANG, { tasks: 6, cpus: 2 });
      await runUntil(world, 'a task fetches', 20, () => hasTaskInState(world, GANG, 'pulling'));
      loseMachine(world, noticed);
    },
  })),
  ...[true, false].map((noticed): GangCase => ({
    name: `a member's machine dies after the start, ${noticed ? 'and the cloud knows' : 'silently'}`,
    zones: ['a', 'a', 'a'],
    act: async (world) => {
      await submit(world, GANG, { tasks: 6, cpus: 2, runS: 30, ...WITH_CHECKPOINTS });
      await awaitGangStart(world, GANG, 20);
      await world.run(12);
      loseMachine(world, noticed);
      await awaitGangStart(world, GANG, 120, 2);
    },
  })),
  {
    // Its peers are gone when it goes on: what it holds is of an attempt that is over.
    name: 'a machine hangs for 12 s in a running gang',
    zones: ['a', 'a', 'a'],
    act: async (world) => {
      await submit(world, GANG, { tasks: 4, cpus: 2, runS: 30, ...WITH_CHECKPOINTS });
      await awaitGangStart(world, GANG, 20);
      await world.run(5);
      machineOf(world, GANG).hang(12);
      await awaitGangStart(world, GANG, 120, 2);
    },
  },
  {
    name: 'a machine hangs for 12 s while its peers gather',
    zones: ['a', 'a', 'a'],
    act: async (world) => {
      await submit(world, GANG, { tasks: 4, cpus: 2 });
      await runUntil(world, 'a task fetches', 20, () => hasTaskInState(world, GANG, 'pulling'));
      machineOf(world, GANG).hang(12);
      await awaitGangStart(world, GANG, 60);
    },
  },
  {
    // It stays a peer until its lease runs out: the gang runs on, and then ends for all.
    name: 'a member machine is cut from all controllers for longer than its lease',
    zones: ['a', 'a', 'a'],
    act: async (world) => {
      await submit(world, GANG, { tasks: 4, cpus: 2, runS: 60, ...WITH_CHECKPOINTS });
      await awaitGangStart(world, GANG, 20);
      await world.run(5);
      const { name } = machineOf(world, GANG).machine;
      cutOffMachine(world, name);
      await world.run(45);
      world.cutLinks.clear();
    },
  },
  {
    // A repeated start must neither run beside its successor nor complete an attempt that is over.
    name: 'direct calls come once more, soon and long after',
    zones: ['a', 'a', 'a', 'b'],
    done: [OTHER, 'j-000003'],
    act: async (world) => {
      setOnAllWorkers(world, { directDuplicatesAfterMs: [4000, 70_000] });
      await submit(world, GANG, { tasks: 4, cpus: 2, urgent: true, runS: 40, ...WITH_CHECKPOINTS });
      await awaitGangStart(world, GANG, 20);
      await submit(world, OTHER, {
        team: 'blue',
        tasks: 3,
        cpus: 2,
        runS: 30,
        ...WITH_CHECKPOINTS,
      });
      await cancel(world, GANG);
      await submit(world, 'j-000003', { tasks: 4, cpus: 2, urgent: true, runS: 20 });
      await awaitGangStart(world, 'j-000003', 60);
      await world.run(5);
      machineOf(world, 'j-000003').hang(12);
      await world.run(80);
      await assertAllEnded(world, [GANG], 'withdrawn', 5);
      setOnAllWorkers(world, { directDuplicatesAfterMs: [] });
    },
  },
  {
    name: 'direct calls are held for 9 s, unanswered',
    zones: ['a', 'a', 'a'],
    act: async (world) => {
      setOnAllWorkers(world, { directDelayMs: 9000 });
      await submit(world, GANG, { tasks: 4, cpus: 2 });
      await world.run(25);
      setOnAllWorkers(world, { directDelayMs: 0 });
    },
  },
  {
    // A task that nobody has heard the end of still holds its zone.
    name: 'one zone, its old tasks on machines whose heartbeats do not arrive',
    zones: ['a', 'a', 'b', 'b'],
    maxMachines: 4,
    act: async (world) => {
      await submit(world, GANG, {
        tasks: 4,
        cpus: 2,
        runS: 30,
        oneZone: true,
        ...WITH_CHECKPOINTS,
      });
      await awaitGangStart(world, GANG, 20);
      await world.run(7);
      world.cloudRefusesReturns = true;
      const [first, second] = new Set([...tasksOf(world, GANG)].map(({ worker }) => worker));
      assert.ok(first && second);
      first.hang(20);
      cutOffMachine(world, second.machine.name);
      await world.run(35);
      world.cutLinks.clear();
      world.cloudRefusesReturns = false;
    },
  },
];

for (const row of ROWS) {
  test(`gang: ${row.name}`, () => playGang(row));
}
