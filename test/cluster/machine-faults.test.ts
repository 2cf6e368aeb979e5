/** The invariants hold and all work is completed after faults of machines, heartbeats and commands. */
import { test } from 'node:test';
import { playFaultCase, type FaultCase } from '../world/fault-case.js';
import { cutOffMachine, restartController, setOnAllWorkers } from '../world/fault-steps.js';

const CASES: FaultCase[] = [
  {
    name: 'a controller that no worker reaches',
    fault: async (world) => {
      for (const name of world.workers.keys()) world.cutLinks.add(`n0>${name}`);
      await world.run(50);
      world.cutLinks.clear();
      await world.run(5);
    },
  },
  {
    name: 'machines that lose the network for longer than their lease',
    fault: async (world) => {
      const [first, second] = world.workers.keys();
      for (const machine of [first, second]) cutOffMachine(world, machine ?? '');
      await world.run(45);
      world.cutLinks.clear();
      await world.run(30);
    },
  },
  {
    name: 'direct commands that arrive late',
    fault: async (world) => {
      setOnAllWorkers(world, { directDelayMs: 9000 });
      await world.run(25);
      setOnAllWorkers(world, { directDelayMs: 0 });
      await world.run(30);
    },
  },
  {
    name: 'heartbeats that arrive late',
    fault: async (world) => {
      setOnAllWorkers(world, { heartbeatDelayMs: 6000 });
      await world.run(12);
      setOnAllWorkers(world, { heartbeatDelayMs: 0 });
      await world.run(30);
    },
  },
  {
    name: 'a machine whose heartbeats arrive but that receives no answers',
    fault: async (world) => {
      const [first] = world.workers.values();
      if (first) first.losesAnswers = true;
      await world.run(80);
      if (first) first.losesAnswers = false;
      await world.run(20);
    },
  },
  {
    name: 'duplicate heartbeats that arrive late, also after a machine died and a controller restarted',
    fault: async (world) => {
      setOnAllWorkers(world, { heartbeatDuplicatesAfterMs: [3000, 17_000, 41_000] });
      await world.run(20);
      const [first] = world.workers.values();
      first?.die();
      await restartController(world, 'n0', 1);
      await world.run(60);
      setOnAllWorkers(world, { heartbeatDuplicatesAfterMs: [] });
    },
  },
  {
    // A shard raises the machine's fencing token with the command `forget`. Otherwise a repeated start
    // would run next to the task's later attempt, or after its job was cancelled.
    name: 'direct calls that were carried out and arrive again, 4 s and 70 s later',
    fault: async (world) => {
      setOnAllWorkers(world, { directDuplicatesAfterMs: [4000, 70_000] });
      for (let round = 0; round < 4; round++) {
        void world.submit(`j-10000${round}`, {
          service: true,
          spot: false,
          urgent: true,
          tasks: 2,
        });
        await world.run(6);
        void world.cancel(`j-10000${round}`);
        await world.run(2);
      }
      await world.run(60);
      setOnAllWorkers(world, { directDuplicatesAfterMs: [] });
    },
  },
  {
    name: 'machines that hang and resume, within their lease and after it, with late commands',
    fault: async (world) => {
      // No machine is returned meanwhile, so that only expired leases prove that the tasks on
      // hanging machines have ended.
      for (let at = 0; at < 3; at++) world.addMachine('small', at < 2 ? 'a' : 'b', false, 500);
      void world.submit('j-100009', { service: true, spot: false, urgent: true, tasks: 5 });
      await world.run(8);
      world.cloudRefusesReturns = true;
      for (const [at, worker] of [...world.workers.values()].entries()) {
        if (at < 4) worker.hang([12, 21, 40, 18][at] ?? 12);
      }
      for (let round = 0; round < 4; round++) {
        void world.submit(`j-10000${round}`, { tasks: 3, runS: 5 });
        await world.run(12);
      }
      world.cloudRefusesReturns = false;
      void world.cancel('j-100009');
      await world.run(30);
    },
  },
  {
    name: 'machines restarted at once, with sequence numbers from one',
    fault: async (world) => {
      await world.run(10);
      for (const worker of [...world.workers.values()].slice(0, 2)) worker.restart();
      await world.run(40);
    },
  },
];

for (const one of CASES) {
  for (const seed of [1, 2]) {
    test(`invariants hold and all work is completed: ${one.name} (seed ${seed})`, () =>
      playFaultCase(one, seed));
  }
}
