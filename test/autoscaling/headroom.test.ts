/**
 * Guards against headroom that is never released. In a run of real processes, two idle machines
 * stayed rented as headroom although no job was open any more.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FLEET } from '../world/settings.js';
import { World } from '../world/world.js';

const HEADROOM_CPUS = 6;
const FLEET_WITH_HEADROOM = { ...FLEET, idleS: 12, headroomCpus: HEADROOM_CPUS };

test('headroom is kept while a job is open, and its machines are returned within 60 s after that', async () => {
  const world = new World(1, undefined, { fleet: FLEET_WITH_HEADROOM });
  await world.run(2);
  void world.submit('j-000001', { service: true, tasks: 1, cpus: 1, urgent: true });
  await world.run(120);
  const machines = (): number => world.workers.size;
  assert.ok(machines() * 4 - 1 >= HEADROOM_CPUS, `${machines()} machines while a service runs`);
  void world.cancel('j-000001');
  await world.run(60);
  assert.equal(machines(), 0);
});
