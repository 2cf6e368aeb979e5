/** Headroom that is kept free for urgent work: while there is work, and not for ever after. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FLEET } from '../world/settings.js';
import { World } from '../world/world.js';

const HEADROOM_CPUS = 6;
const FOLLOWING = { ...FLEET, idleS: 12, headroomCpus: HEADROOM_CPUS };

// Two machines with nothing to do stayed rented for ever, as a run of real processes showed.
test('the headroom stays while a job is open, and its machines go within a minute of quiet', async () => {
  const world = new World(1, undefined, { fleet: FOLLOWING });
  await world.run(2);
  void world.submit('j-000001', { service: true, tasks: 1, cpus: 1, urgent: true });
  await world.run(120);
  const machines = (): number => world.workers.size;
  assert.ok(machines() * 4 - 1 >= HEADROOM_CPUS, `${machines()} machines while a service runs`);
  void world.cancel('j-000001');
  await world.run(60);
  assert.equal(machines(), 0);
});
