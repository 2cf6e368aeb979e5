/**
 * The same as the small sweep with 1,500 machines, whose records take many pages and whose
 * heartbeats never end.
 */
import { test } from 'node:test';
import { LARGE, FAULTS, playSweep } from '../world/fault-sweep.js';

for (const trouble of FAULTS.filter(({ name }) => name.startsWith('all end in'))) {
  test(`forgotten: close polling: 1,500 machines: ${trouble.name}`, () =>
    playSweep(trouble, 3, LARGE));
}
