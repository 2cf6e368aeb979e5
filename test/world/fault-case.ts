/** Cases of one fault in the simulated cluster, and their final checks. */
import assert from 'node:assert/strict';
import type { Settings } from '../../src/protocol/settings.js';
import { stageOf as stage } from './jobs.js';
import { settled } from './requests.js';
import { World } from './world.js';

/** A world with some machines, jobs of both teams and a fault; the rules must hold throughout. */
export interface RuleCase {
  name: string;
  trouble: (world: World) => Promise<void>;
}

/** Plays a case by this seed; the rules must hold, and all work must get done. */
export async function playCase(
  { trouble }: RuleCase,
  seed: number,
  overrides: Partial<Settings> = {},
): Promise<void> {
  const world = new World(seed, undefined, overrides);
  for (const zone of ['a', 'a', 'b']) world.addMachine('small', zone, false, 500);
  await world.run(6);
  assert.equal(
    (await settled(world, world.submit('j-000001', { tasks: 20, cpus: 1 }))).status,
    201,
  );
  await settled(
    world,
    world.submit('j-000002', {
      team: 'blue',
      tasks: 2,
      service: true,
      spot: false,
      urgent: true,
    }),
  );
  await settled(
    world,
    world.submit('j-000003', { team: 'blue', tasks: 6, spread: true, runS: 30 }),
  );
  await settled(world, world.submit('j-000004', { tasks: 6, oneZone: true, runS: 15 }));
  await settled(
    world,
    world.submit('j-000005', { tasks: 2, service: true, zone: 'b', spot: false }),
  );
  await world.run(6);
  await settled(world, world.cancel('j-000005'));
  await trouble(world);
  const cancelled = await settled(world, world.cancel('j-000002'));
  assert.equal(stage(cancelled), 'withdrawn');
  world.faultsOver();
  await world.run(150);
  assert.deepEqual(world.broken, []);
  for (const id of ['j-000001', 'j-000003', 'j-000004']) {
    for (const [node] of world.members) {
      assert.equal(stage(await settled(world, world.poll(id, node))), 'done', `${id} at ${node}`);
    }
  }
  for (const [node] of world.members) {
    assert.equal(stage(await settled(world, world.poll('j-000002', node))), 'withdrawn');
  }
}
