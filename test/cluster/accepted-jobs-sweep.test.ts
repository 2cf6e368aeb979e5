/** Users poll all controllers right after each answer, under all kinds of faults: nothing is forgotten. */
import { test } from 'node:test';
import { SMALL, FAULTS, playSweep } from '../world/fault-sweep.js';

const SEEDS = [1, 2];

for (const trouble of FAULTS) {
  for (const seed of SEEDS) {
    test(`forgotten: close polling: ${trouble.name} (seed ${seed})`, () =>
      playSweep(trouble, seed, SMALL));
  }
}
