/** Gangs: where they start, how they wait for capacity, and how they are stopped. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  GANG,
  OTHER_JOB,
  WITH_CHECKPOINTS,
  awaitGangStart,
  gangStartsOf,
  cancel,
  assertAllEnded,
  machineOf,
  playGang,
  awaitReply,
  hasTaskInState,
  submit,
  runUntil,
  type GangCase,
} from '../world/gang-steps.js';

const ROWS: GangCase[] = [
  {
    name: 'three tasks in one zone start together',
    act: async (world) => {
      await submit(world, GANG, { tasks: 3, cpus: 2, oneZone: true });
      await awaitGangStart(world, GANG, 10);
    },
  },
  {
    name: 'a gang that needs machines which must be rented',
    zones: ['a'],
    act: async (world) => {
      await submit(world, GANG, { tasks: 6, cpus: 2 });
      await awaitGangStart(world, GANG, 60);
      assert.equal(new Set(world.starts.map((one) => one.machine)).size, 3);
    },
  },
  {
    // All tasks must receive the stop within the time that they wait for each other, otherwise their
    // progress is lost.
    name: 'a gang that is stopped for an urgent one saves its progress, and resumes from there',
    zones: ['a', 'a', 'b', 'b'],
    maxMachines: 4,
    done: [GANG, OTHER_JOB],
    act: async (world) => {
      await submit(world, GANG, {
        ...{ team: 'blue', tasks: 6, cpus: 2, runS: 60 },
        ...{ checkpointS: 50, saveS: 3 },
      });
      await awaitGangStart(world, GANG, 20);
      await world.run(20);
      await submit(world, OTHER_JOB, { tasks: 4, cpus: 2, urgent: true, runS: 15 });
      await awaitGangStart(world, OTHER_JOB, 30);
      const savedMs = world.gangs.savedProgressMs.get(GANG) ?? 0;
      assert.ok(savedMs >= 15_000, `saved ${savedMs} ms`);
    },
  },
  ...(['accepted', 'pulling', 'gathering', 'running'] as const).map((moment): GangCase => ({
    name: `cancelled when ${moment}: all tasks end in time`,
    zones: moment === 'accepted' ? [] : ['a', 'a', 'a'],
    done: [OTHER_JOB],
    act: async (world) => {
      await submit(world, GANG, { tasks: 4, cpus: 2, runS: 200, ...WITH_CHECKPOINTS });
      if (moment !== 'accepted') {
        await runUntil(world, 'a task fetches its image', 20, () =>
          hasTaskInState(world, GANG, 'pulling'),
        );
      }
      if (moment === 'gathering') machineOf(world, GANG).hang(12);
      if (moment === 'running') await awaitGangStart(world, GANG, 20);
      else if (moment !== 'accepted') {
        await runUntil(world, moment, 20, () => hasTaskInState(world, GANG, moment));
      }
      await cancel(world, GANG, 'n1');
      await assertAllEnded(world, [GANG], 'withdrawn', 55);
      // The capacity that was reserved for it is free again.
      await submit(world, OTHER_JOB, { tasks: 4, cpus: 2 });
      await awaitGangStart(world, OTHER_JOB, 60);
    },
  })),
  {
    // If each reserved half of the capacity that it needs, both would wait for ever (a deadlock).
    name: 'two gangs compete for the same capacity, each needing more than half of it',
    zones: ['a', 'a', 'b', 'b'],
    maxMachines: 4,
    done: [GANG, OTHER_JOB],
    act: async (world) => {
      const submissions = [
        world.submit(GANG, { gang: true, tasks: 5, cpus: 2, runS: 20 }, 'n0'),
        world.submit(OTHER_JOB, { gang: true, team: 'blue', tasks: 5, cpus: 2, runS: 20 }, 'n1'),
      ];
      for (const one of submissions) assert.equal((await awaitReply(world, one)).status, 201);
      await awaitGangStart(world, GANG, 100);
      await awaitGangStart(world, OTHER_JOB, 100);
    },
  },
  {
    name: 'a gang that needs more machines than any one shard has',
    zones: ['a', 'a', 'a', 'a', 'a', 'a', 'a', 'a'],
    act: async (world) => {
      await submit(world, GANG, { team: 'wide', tasks: 16, cpus: 2, oneZone: true });
      await awaitGangStart(world, GANG, 30);
      assert.equal(new Set(world.starts.map((one) => one.machine)).size, 8);
    },
  },
  {
    name: 'a gang that is not bound to one zone uses the machines of both zones',
    zones: ['a', 'a', 'b', 'b'],
    maxMachines: 4,
    act: async (world) => {
      await submit(world, GANG, { tasks: 8, cpus: 2 });
      await awaitGangStart(world, GANG, 30);
      assert.equal(new Set(world.starts.map((one) => one.machine)).size, 4);
    },
  },
  {
    // The simulated key-value store refuses a transaction of more than 8 changes.
    name: 'a gang whose placements exceed one transaction, over many machines and all shards',
    zones: ['a', 'b', 'a', 'b', 'a', 'b', 'a', 'b', 'a', 'b'],
    maxMachines: 10,
    act: async (world) => {
      await submit(world, GANG, { team: 'wide', tasks: 20, cpus: 2, runS: 20 });
      await awaitGangStart(world, GANG, 30);
      assert.equal(new Set(world.starts.map((one) => one.machine)).size, 10);
    },
  },
  {
    name: 'a gang that exceeds its team quota or is malformed is refused',
    act: async (world) => {
      const body = {
        ...{ ref: GANG, lane: 'work', crew: 'red', shape: 'group', rank: 'normal', larvae: 8 },
        ...{ cores: 2, gpus: 0, memGb: 1, cocoon: 'img-1', imageGb: 1, breeds: null, grove: null },
        ...{ samePlace: false, apart: false, windfall: true, guessS: 10, moltS: 0, spinS: 0 },
        duskS: null,
      };
      const cases: [string, object, number][] = [
        ['one task more than the limit', { ...body, larvae: 9 }, 422],
        ['no task', { ...body, larvae: 0 }, 400],
        ['tasks missing', { ...body, larvae: undefined }, 400],
        ['cores missing', { ...body, cores: undefined }, 400],
      ];
      for (const [name, sent, status] of cases) {
        const reply = await awaitReply(world, world.post(sent));
        assert.equal(reply.status, status, `${name}: ${JSON.stringify(reply.body)}`);
      }
      await submit(world, GANG, { tasks: 8, cpus: 2 });
    },
  },
  {
    name: 'other jobs use up its team quota: it waits, then runs',
    zones: ['a', 'a', 'a', 'b', 'b', 'b'],
    done: [GANG, OTHER_JOB],
    act: async (world) => {
      await submit(world, OTHER_JOB, { gang: false, tasks: 16, runS: 30 });
      await runUntil(world, 'the array runs', 30, () => world.starts.length >= 16);
      await submit(world, GANG, { tasks: 4, cpus: 2 });
      await world.run(15);
      assert.equal(gangStartsOf(world, GANG).length, 0);
      await awaitGangStart(world, GANG, 60);
    },
  },
  {
    name: 'an urgent gang preempts lower-priority arrays',
    zones: ['a', 'a', 'b', 'b'],
    maxMachines: 4,
    done: [GANG, OTHER_JOB, 'j-000003'],
    act: async (world) => {
      await submit(world, OTHER_JOB, { gang: false, team: 'blue', tasks: 12, runS: 100 });
      await submit(world, 'j-000003', { gang: false, tasks: 4, runS: 100 });
      await runUntil(world, 'the arrays run', 30, () => world.starts.length >= 16);
      await submit(world, GANG, { tasks: 4, cpus: 2, urgent: true });
      await awaitGangStart(world, GANG, 15);
    },
  },
  {
    // Capacity that becomes free in small amounts must be reserved for the gang, otherwise short
    // tasks use each amount at once.
    name: 'waits for capacity while short arrays keep arriving, and starts within 60 s',
    zones: ['a', 'a', 'b', 'b'],
    maxMachines: 4,
    done: [GANG],
    act: async (world) => {
      let arrays = 0;
      const submitArray = async (): Promise<void> => {
        const job = { gang: false, team: arrays % 2 ? 'blue' : 'red', tasks: 8, runS: 8 };
        await submit(world, `j-1000${10 + arrays++}`, job);
      };
      for (let at = 0; at < 4; at++) await submitArray();
      await runUntil(world, 'the arrays run', 30, () => world.starts.length >= 12);
      await submit(world, GANG, { tasks: 4, cpus: 2 });
      const since = world.clock.now();
      while (gangStartsOf(world, GANG).length === 0) {
        assert.ok(world.clock.now() - since < 60_000, 'waits for more than 60 s');
        await world.run(3);
        await submitArray();
      }
      await assertAllEnded(world, [GANG], 'done', 60);
    },
  },
  {
    // Capacity must not stay reserved for a gang that cannot start, because other jobs could use it.
    name: 'arrays are completed although a gang that cannot start was submitted before them',
    zones: ['a', 'a', 'b', 'b'],
    maxMachines: 4,
    done: [GANG, 'j-000010', 'j-000011', 'j-000012'],
    act: async (world) => {
      const service = { gang: false, service: true, spot: false, urgent: true, spread: true };
      await submit(world, OTHER_JOB, { ...service, tasks: 2, cpus: 2 });
      await runUntil(world, 'the service runs', 20, () => world.starts.length >= 2);
      // The service leaves 6 CPUs in each zone, and the cloud has no further machine.
      world.cloudRefusesReturns = true;
      world.capacity = 0;
      await submit(world, GANG, { tasks: 4, cpus: 2, oneZone: true });
      await world.run(5);
      const arrays = ['j-000010', 'j-000011', 'j-000012'];
      for (const id of arrays) {
        await submit(world, id, { gang: false, team: 'blue', tasks: 12, runS: 10 });
      }
      await assertAllEnded(world, arrays, 'done', 120);
      assert.equal(gangStartsOf(world, GANG).length, 0);
      world.cloudRefusesReturns = false;
      world.capacity = 4;
      await cancel(world, OTHER_JOB);
      await awaitGangStart(world, GANG, 60);
    },
  },
];

for (const row of ROWS) {
  test(`gang: ${row.name}`, () => playGang(row));
}
