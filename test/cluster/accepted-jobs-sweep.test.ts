/** Users look at all nodes right after each answer, under all kinds of trouble: nothing is forgotten. */
import { test } from 'node:test';
import { SMALL, FAULTS, sweep } from '../world/fault-sweep.js';

const SEEDS = [1, 2];

for (const trouble of FAULTS) {
  for (const seed of SEEDS) {
    test(`forgotten: close looks: ${trouble.name} (seed ${seed})`, () =>
      sweep(trouble, seed, SMALL));
  }
}
