/**
 * Overlapping faults: machines that are cut off or whose heartbeats are lost, with quotas, zone
 * constraints and cancellations.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  SERVICE,
  URGENT_SERVICE,
  cancel,
  restartLeader,
  cutOff,
  submitWorkload,
  controllerNames,
  playOverlappingFaults,
  submit,
  workersIn,
  type OverlappingFaultsCase,
} from '../world/overlapping-faults.js';
import type { World } from '../world/world.js';

const ROWS: OverlappingFaultsCase[] = [
  {
    name: 'a team at its quota: leader killed, machines cut off, no machine returned, a cancellation',
    seeds: [1, 2],
    script: async (world) => {
      await submit(world, 'j-000001', { ...SERVICE, team: 'blue', tasks: 8 });
      await submit(world, 'j-000002', { ...SERVICE, team: 'blue', tasks: 4 });
      await world.run(30);
      assert.equal(world.starts.length, 12);
      await submit(world, 'j-000003', { team: 'blue', tasks: 6, runS: 10 });
      world.cloudRefusesReturns = true;
      // The machines with the most tasks: tasks on a machine that cannot be reached count against
      // the quota until its lease expires.
      const mostUsed = [...world.workers.values()].sort((x, y) => y.tasks.size - x.tasks.size);
      cutOff(
        world,
        controllerNames(world),
        mostUsed.slice(0, 2).map((one) => one.machine.name),
      );
      await world.run(1);
      const old = world.leader;
      world.kill(old);
      await world.run(3);
      await cancel(
        world,
        'j-000001',
        controllerNames(world).filter((name) => name !== old),
      );
      await world.run(60);
      world.boot(old);
      world.cutLinks.clear();
      world.cloudRefusesReturns = false;
      await world.run(90);
      assert.ok(
        world.starts.some((one) => one.task.startsWith('j-000003/')),
        'j-000003 did not start',
      );
    },
  },
  ...[{ oneZone: true }, { spread: true }, { zone: 'a' }].map((constraint) => ({
    name: `jobs with ${JSON.stringify(constraint)} lose machines whose tasks are not proven to have ended`,
    zones: ['a', 'a', 'a', 'b', 'b'],
    seeds: [1, 2],
    restS: 240,
    script: async (world: World) => {
      world.cloudRefusesReturns = true;
      await submit(world, 'j-000001', { ...constraint, tasks: 8, runS: 40, team: 'blue' });
      await submit(world, 'j-000002', { ...SERVICE, ...constraint, tasks: 6 });
      await world.run(16);
      const used = [...world.workers.values()].filter((one) => one.tasks.size > 0);
      cutOff(
        world,
        controllerNames(world),
        used.slice(0, 2).map((one) => one.machine.name),
      );
      await world.run(20);
      await restartLeader(world, 8);
      await world.run(30);
      world.cutLinks.clear();
      world.cloudRefusesReturns = false;
    },
  })),
  {
    name: 'heartbeats of machines are lost: leases expire, tasks restart elsewhere, direct stops arrive',
    seeds: [1, 2],
    zones: ['a', 'a', 'a', 'b'],
    script: async (world) => {
      await submit(world, 'j-000001', { ...URGENT_SERVICE, tasks: 6 });
      await submit(world, 'j-000002', { ...SERVICE, team: 'blue', tasks: 6 });
      await world.run(16);
      const silent = [...world.workers.values()].filter((one) => one.tasks.size > 0).slice(0, 2);
      const silentNames = new Set(silent.map((one) => one.machine.name));
      const tasksOf = (id: string): string[] =>
        silent.flatMap((one) => [...one.tasks.keys()].filter((task) => task.startsWith(id)));
      const toRestart = tasksOf('j-000001').filter((task) => task.startsWith('j-000001/'));
      assert.ok(silent.length === 2 && tasksOf('j-00000').length > 0);
      for (const worker of silent) worker.losesHeartbeats = true;
      // No machine is returned, so that only expired leases prove that its tasks have ended.
      world.cloudRefusesReturns = true;
      await world.run(1);
      const silentSince = world.clock.now();
      await cancel(world, 'j-000002', controllerNames(world));
      await world.run(3);
      const remaining = silent.flatMap((one) =>
        [...one.tasksOnMachine()].filter(([task]) => task.startsWith('j-000002/')),
      );
      assert.deepEqual(remaining, [], 'direct stops did not arrive');
      await world.run(70);
      const lateStarts = world.starts.filter(
        (one) => silentNames.has(one.machine) && one.at > silentSince + 12_000,
      );
      assert.deepEqual(lateStarts, [], 'new task on a machine whose heartbeats are lost');
      for (const task of toRestart) {
        assert.ok(
          world.starts.some((one) => one.task === task && !silentNames.has(one.machine)),
          `${task} did not start elsewhere`,
        );
      }
      for (const worker of silent) worker.losesHeartbeats = false;
      world.cloudRefusesReturns = false;
    },
  },
  {
    name: 'a zone with its controller and workers is cut off for longer than a lease',
    seeds: [1, 2],
    zones: ['a', 'a', 'b', 'b'],
    script: async (world) => {
      await submitWorkload(world);
      await submit(world, 'j-000006', { ...SERVICE, zone: 'b', tasks: 2 });
      await world.run(8);
      const inside = world.members.filter(([, zone]) => zone === 'b').map(([name]) => name);
      const outside = controllerNames(world).filter((name) => !inside.includes(name));
      for (const name of inside) world.store.refusedControllers.add(name);
      cutOff(world, inside, [...outside, ...workersIn(world, 'a').map((one) => one.machine.name)]);
      cutOff(
        world,
        outside,
        workersIn(world, 'b').map((one) => one.machine.name),
      );
      await world.run(1);
      await cancel(world, 'j-000006', outside);
      await cancel(world, 'j-000001', outside);
      await world.run(70);
      world.cutLinks.clear();
      world.store.refusedControllers.clear();
    },
  },
];

for (const row of ROWS) {
  for (const seed of row.seeds ?? [1]) {
    test(`overlapping faults: ${row.name} (seed ${seed})`, (t) =>
      playOverlappingFaults(t, row, seed));
  }
}
