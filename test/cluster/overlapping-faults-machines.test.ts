/** Overlapping faults: machines that are lost, mute or cut off, with limits, bounds and cancellations. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  SERVICE,
  URGENT,
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
      // Those with the most tasks: what can't be asked counts against the quota until its lease ends.
      const full = [...world.workers.values()].sort((x, y) => y.tasks.size - x.tasks.size);
      cutOff(
        world,
        controllerNames(world),
        full.slice(0, 2).map((one) => one.machine.name),
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
        'waits for ever',
      );
    },
  },
  ...[{ oneZone: true }, { spread: true }, { zone: 'a' }].map((bound) => ({
    name: `a job bound by ${JSON.stringify(bound)} loses machines, not proven gone`,
    zones: ['a', 'a', 'a', 'b', 'b'],
    seeds: [1, 2],
    restS: 240,
    script: async (world: World) => {
      world.cloudRefusesReturns = true;
      await submit(world, 'j-000001', { ...bound, tasks: 8, runS: 40, team: 'blue' });
      await submit(world, 'j-000002', { ...SERVICE, ...bound, tasks: 6 });
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
    name: 'mute machines: leases end, tasks restart elsewhere, direct stops arrive',
    seeds: [1, 2],
    zones: ['a', 'a', 'a', 'b'],
    script: async (world) => {
      await submit(world, 'j-000001', { ...URGENT, tasks: 6 });
      await submit(world, 'j-000002', { ...SERVICE, team: 'blue', tasks: 6 });
      await world.run(16);
      const mute = [...world.workers.values()].filter((one) => one.tasks.size > 0).slice(0, 2);
      const lost = new Set(mute.map((one) => one.machine.name));
      const on = (id: string): string[] =>
        mute.flatMap((one) => [...one.tasks.keys()].filter((task) => task.startsWith(id)));
      const restart = on('j-000001').filter((task) => task.startsWith('j-000001/'));
      assert.ok(mute.length === 2 && on('j-00000').length > 0);
      for (const worker of mute) worker.losesHeartbeats = true;
      // Only the ends of their leases prove that their tasks are gone.
      world.cloudRefusesReturns = true;
      await world.run(1);
      const mutedAt = world.clock.now();
      await cancel(world, 'j-000002', controllerNames(world));
      await world.run(3);
      const ended = mute.flatMap((one) =>
        [...one.onMachine()].filter(([task]) => task.startsWith('j-000002/')),
      );
      assert.deepEqual(ended, [], 'direct stops did not arrive');
      await world.run(70);
      const late = world.starts.filter((one) => lost.has(one.machine) && one.at > mutedAt + 12_000);
      assert.deepEqual(late, [], 'new work on a mute machine');
      for (const task of restart) {
        assert.ok(
          world.starts.some((one) => one.task === task && !lost.has(one.machine)),
          `${task} did not start elsewhere`,
        );
      }
      for (const worker of mute) worker.losesHeartbeats = false;
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
