/** Gangs on machines that die, hang or are cut off, or that receive direct calls late or twice. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  GANG,
  OTHER_JOB,
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

/** Ends the machine of one of the gang's tasks, and removes it from the cloud's list if `isListedAsGone`. */
function loseMachine(world: World, isListedAsGone: boolean): void {
  const worker = machineOf(world, GANG);
  if (isListedAsGone) world.removeMachine(worker.machine.name);
  else worker.die();
}

const ROWS: GangCase[] = [
  ...[true, false].map((isListedAsGone): GangCase => ({
    // The other tasks must not wait for ever, and the lost task must not run twice.
    name: `the machine of one task dies before the start, ${isListedAsGone ? 'and the cloud no longer lists it' : 'but the cloud still lists it'}`,
    zones: ['a', 'a', 'a'],
    act: async (world) => {
      await submit(world, GANG, { tasks: 6, cpus: 2 });
      await runUntil(world, 'a task fetches its image', 20, () =>
        hasTaskInState(world, GANG, 'pulling'),
      );
      loseMachine(world, isListedAsGone);
    },
  })),
  ...[true, false].map((isListedAsGone): GangCase => ({
    name: `the machine of one task dies after the start, ${isListedAsGone ? 'and the cloud no longer lists it' : 'but the cloud still lists it'}`,
    zones: ['a', 'a', 'a'],
    act: async (world) => {
      await submit(world, GANG, { tasks: 6, cpus: 2, runS: 30, ...WITH_CHECKPOINTS });
      await awaitGangStart(world, GANG, 20);
      await world.run(12);
      loseMachine(world, isListedAsGone);
      await awaitGangStart(world, GANG, 120, 2);
    },
  })),
  {
    // When the machine resumes, its tasks belong to an attempt whose other tasks have ended.
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
      await runUntil(world, 'a task fetches its image', 20, () =>
        hasTaskInState(world, GANG, 'pulling'),
      );
      machineOf(world, GANG).hang(12);
      await awaitGangStart(world, GANG, 60);
    },
  },
  {
    // The gang runs until the machine's lease expires; then all tasks of the gang end.
    name: 'the machine of one task is cut off from all controllers for longer than its lease',
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
    // A repeated start must neither run next to the task's later attempt nor complete an attempt
    // that is over.
    name: 'direct calls arrive a second time, 4 s and 70 s later',
    zones: ['a', 'a', 'a', 'b'],
    done: [OTHER_JOB, 'j-000003'],
    act: async (world) => {
      setOnAllWorkers(world, { directDuplicatesAfterMs: [4000, 70_000] });
      await submit(world, GANG, { tasks: 4, cpus: 2, urgent: true, runS: 40, ...WITH_CHECKPOINTS });
      await awaitGangStart(world, GANG, 20);
      await submit(world, OTHER_JOB, {
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
    name: 'direct calls are delayed for 9 s',
    zones: ['a', 'a', 'a'],
    act: async (world) => {
      setOnAllWorkers(world, { directDelayMs: 9000 });
      await submit(world, GANG, { tasks: 4, cpus: 2 });
      await world.run(25);
      setOnAllWorkers(world, { directDelayMs: 0 });
    },
  },
  {
    // The gang must not start in another zone while the end of one of its tasks is not proven.
    name: 'a gang bound to one zone, its old tasks on machines whose heartbeats do not arrive',
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
