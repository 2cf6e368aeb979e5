/** The invariants hold and all work is completed after faults of controllers and of the key-value store. */
import { test } from 'node:test';
import { playFaultCase, type FaultCase } from '../world/fault-case.js';
import { WITH_FAILURE_DETECTION } from '../world/failure-detection-case.js';
import { restartController } from '../world/fault-steps.js';

const CASES: FaultCase[] = [
  { name: 'no fault', fault: (world) => world.run(20) },
  {
    name: 'a controller killed and started again',
    fault: async (world) => {
      await restartController(world, 'n1', 4);
      await world.run(20);
    },
  },
  {
    name: 'a controller killed and started again at once',
    fault: async (world) => {
      await restartController(world, 'n0', 0.2);
      await world.run(20);
    },
  },
  {
    name: 'a controller that is restarted only after 70 s',
    fault: async (world) => {
      await restartController(world, 'n2', 70);
      await world.run(10);
    },
  },
  {
    name: 'all controllers killed in an outage of the key-value store',
    fault: async (world) => {
      world.store.hasOutage = true;
      await world.run(10);
      for (const [name] of world.members) world.kill(name);
      await world.run(4);
      for (const [name] of world.members) world.boot(name);
      await world.run(10);
      world.store.endOutage();
      await world.run(30);
    },
  },
  {
    name: 'a controller that reaches its peers and workers but is refused by the key-value store',
    fault: async (world) => {
      world.store.refusedControllers.add('n1');
      await world.run(60);
      world.store.refusedControllers.delete('n1');
      await world.run(10);
    },
  },
  {
    name: 'a transaction that is applied late',
    fault: async (world) => {
      for (const [node] of world.members) world.store.delayNextTransactionMs.set(node, 9000);
      await world.run(40);
    },
  },
  {
    name: 'a controller that reaches its workers but neither the key-value store nor its peers',
    fault: async (world) => {
      world.store.refusedControllers.add('n0');
      for (const [peer] of world.members) if (peer !== 'n0') world.cutLinks.add(`n0>${peer}`);
      await world.run(70);
      world.store.refusedControllers.clear();
      world.cutLinks.clear();
      await world.run(10);
    },
  },
  {
    name: 'controllers that are paused for 6 s, for most of their grace period and for longer than it',
    fault: async (world) => {
      for (const [at, seconds] of [6, 18, 40].entries()) {
        void world.submit(`j-10000${at}`, { service: true, spot: false, tasks: 2 });
        await world.run(5);
        world.pause(`n${at}`, seconds);
        await world.run(4);
        void world.cancel(`j-10000${at}`, `n${(at + 1) % 3}`);
        await world.run(seconds + 6);
      }
    },
  },
  {
    name: 'controllers killed and started again at once during an election, with late transactions',
    fault: async (world) => {
      world.store.delayNextTransactionMs.set('n0', 4000);
      world.kill('n2');
      await world.run(6.5);
      for (let round = 0; round < 4; round++) {
        for (const [name] of world.members) {
          world.store.delayNextTransactionMs.set(name, 3000);
          await restartController(world, name, 0.2);
        }
        await world.run(0.7);
      }
      await world.run(20);
    },
  },
];

for (const one of CASES) {
  for (const seed of [1, 2]) {
    test(`invariants hold and all work is completed: ${one.name} (seed ${seed})`, () =>
      playFaultCase(one, seed));
  }
  test(`invariants hold with failure detection: ${one.name}`, () =>
    playFaultCase(one, 3, WITH_FAILURE_DETECTION));
}
