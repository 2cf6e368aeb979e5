/**
 * Guards against accepted jobs that a controller reports as unknown, in a fleet of 1,500 machines:
 * their records take many pages of the key-value store, and their heartbeats arrive during each fault.
 */
import { test } from 'node:test';
import { LARGE_CLUSTER, SWEEP_FAULTS, playSweep } from '../world/fault-sweep.js';

for (const fault of SWEEP_FAULTS.filter(({ name }) => name.startsWith('all end in'))) {
  test(`accepted jobs stay known to all controllers, 1,500 machines: ${fault.name}`, () =>
    playSweep(fault, 3, LARGE_CLUSTER));
}
