/** Plays one fault in the simulated cluster beside a fixed workload, and checks how all jobs end. */
import assert from 'node:assert/strict';
import type { Settings } from '../../src/protocol/settings.js';
import { stageOf as stage } from './jobs.js';
import { awaitReply } from './await-reply.js';
import { World } from './world.js';

/** One fault in a simulated cluster of three machines that runs five jobs of two teams. */
export interface FaultCase {
  name: string;
  /** Injects the fault and lets simulated time run for as long as it takes. */
  fault: (world: World) => Promise<void>;
}

/**
 * Plays a case with this seed. The invariants must hold throughout. Afterwards each controller must
 * answer that the arrays are done and that the service cancelled after the fault is withdrawn.
 */
export async function playFaultCase(
  { fault }: FaultCase,
  seed: number,
  overrides: Partial<Settings> = {},
): Promise<void> {
  const world = new World(seed, undefined, overrides);
  for (const zone of ['a', 'a', 'b']) world.addMachine('small', zone, false, 500);
  await world.run(6);
  assert.equal(
    (await awaitReply(world, world.submit('j-000001', { tasks: 20, cpus: 1 }))).status,
    201,
  );
  await awaitReply(
    world,
    world.submit('j-000002', {
      team: 'blue',
      tasks: 2,
      service: true,
      spot: false,
      urgent: true,
    }),
  );
  await awaitReply(
    world,
    world.submit('j-000003', { team: 'blue', tasks: 6, spread: true, runS: 30 }),
  );
  await awaitReply(world, world.submit('j-000004', { tasks: 6, oneZone: true, runS: 15 }));
  await awaitReply(
    world,
    world.submit('j-000005', { tasks: 2, service: true, zone: 'b', spot: false }),
  );
  await world.run(6);
  await awaitReply(world, world.cancel('j-000005'));
  await fault(world);
  const cancelled = await awaitReply(world, world.cancel('j-000002'));
  assert.equal(stage(cancelled), 'withdrawn');
  world.startChecksAfterFaults();
  await world.run(150);
  assert.deepEqual(world.violations, []);
  for (const id of ['j-000001', 'j-000003', 'j-000004']) {
    for (const [node] of world.members) {
      assert.equal(
        stage(await awaitReply(world, world.poll(id, node))),
        'done',
        `${id} at ${node}`,
      );
    }
  }
  for (const [node] of world.members) {
    assert.equal(stage(await awaitReply(world, world.poll('j-000002', node))), 'withdrawn');
  }
}
