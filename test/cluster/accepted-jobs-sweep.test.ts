/**
 * Guards against accepted jobs that a controller reports as unknown: users poll all controllers
 * right after each answer, during each kind of fault.
 */
import { test } from 'node:test';
import { SMALL_CLUSTER, SWEEP_FAULTS, playSweep } from '../world/fault-sweep.js';

const SEEDS = [1, 2];

for (const fault of SWEEP_FAULTS) {
  for (const seed of SEEDS) {
    test(`accepted jobs stay known to all controllers: ${fault.name} (seed ${seed})`, () =>
      playSweep(fault, seed, SMALL_CLUSTER));
  }
}
