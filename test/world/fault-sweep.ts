/** Faults of all kinds, played while users poll all controllers right after each answer. */
import assert from 'node:assert/strict';
import { stageOf } from './jobs.js';
import { awaitReply } from './await-reply.js';
import { Users } from './users.js';
import { World, type Members } from './world.js';

/** A fault that begins and ends while users submit, poll and cancel jobs. */
export interface SweepFault {
  name: string;
  /** Schedules the start of the fault, and its end at most `FAULT_END_S` later. */
  begin: (world: World) => void;
}

/** s from the start of the users to a fault that has no start time of its own. */
const FAULT_START_S = 10;
/** s from the start of the users until every fault has ended and all jobs have been submitted. */
const FAULT_END_S = 55;
/** Schedules the start of a fault after `FAULT_START_S` and its end after `FAULT_END_S`. */
const duringFault = (world: World, begin: () => void, end: () => void): void => {
  world.clock.after(FAULT_START_S * 1000, begin);
  world.clock.after(FAULT_END_S * 1000, end);
};
/** Schedules a step of a fault after so many seconds. */
const runAfter = (world: World, seconds: number, run: () => void): void =>
  void world.clock.after(seconds * 1000, run);

/**
 * All faults. The tests on accepted jobs play them, and so does test/trace.ts, which prints their
 * names: a changed name makes its output differ between versions.
 */
export const SWEEP_FAULTS: SweepFault[] = [
  { name: 'none', begin: () => undefined },
  {
    name: 'watches of one node lag',
    begin: (world) => {
      world.store.watchAnswerDelayMs = (node) => (node === 'n0' ? 1500 : 0);
      runAfter(world, FAULT_END_S, () => {
        world.store.watchAnswerDelayMs = () => 0;
      });
    },
  },
  {
    name: 'all watches lag, and answers are slow',
    begin: (world) => {
      world.store.watchAnswerDelayMs = () => 200 + world.randomBelow(900);
      world.store.transactionAnswerDelayMs = () => world.randomBelow(700);
      runAfter(world, FAULT_END_S, () => {
        world.store.watchAnswerDelayMs = () => 0;
        world.store.transactionAnswerDelayMs = () => 0;
      });
    },
  },
  {
    name: 'answers are lost',
    begin: (world) =>
      duringFault(
        world,
        () => (world.store.lostAnswerFraction = 0.3),
        () => (world.store.lostAnswerFraction = 0),
      ),
  },
  {
    name: 'transactions are late',
    begin: (world) =>
      duringFault(
        world,
        () => (world.store.lateTransactionFraction = 0.3),
        () => (world.store.lateTransactionFraction = 0),
      ),
  },
  {
    name: 'an outage',
    begin: (world) => {
      runAfter(world, 20, () => (world.store.hasOutage = true));
      runAfter(world, 40, () => world.store.endOutage());
    },
  },
  {
    name: 'one node is refused while its first peer stands still',
    begin: (world) => {
      runAfter(world, 15, () => {
        world.store.refusedControllers.add('n0');
        world.pause('n1', 25);
      });
      runAfter(world, FAULT_END_S, () => world.store.refusedControllers.clear());
    },
  },
  {
    name: 'one node loses the state service and its peers',
    begin: (world) => {
      runAfter(world, 15, () => {
        world.store.refusedControllers.add('n0');
        for (const peer of ['n1', 'n2']) world.lossyLinks.add(`n0>${peer}`);
      });
      runAfter(world, FAULT_END_S, () => {
        world.store.refusedControllers.clear();
        world.lossyLinks.clear();
      });
    },
  },
  {
    name: 'all end, and one after the other, back at once',
    begin: (world) => {
      for (const [name] of world.members) {
        runAfter(world, 15, () => world.kill(name));
        runAfter(world, 15.3 + world.randomBelow(4), () => world.boot(name));
      }
      for (const [number, [name]] of world.members.entries()) {
        runAfter(world, 30 + number * 6, () => {
          world.kill(name);
          world.boot(name);
        });
      }
    },
  },
  {
    name: 'all end in an outage, with lost answers and lagging watches after it',
    begin: (world) => {
      runAfter(world, 15, () => (world.store.hasOutage = true));
      for (const [name] of world.members) {
        runAfter(world, 18, () => world.kill(name));
        runAfter(world, 19, () => world.boot(name));
      }
      runAfter(world, 30, () => {
        world.store.endOutage();
        world.store.lostAnswerFraction = 0.3;
        world.store.watchAnswerDelayMs = () => world.randomBelow(1200);
        world.store.refusesListing = (listing) => listing % 2 === 0;
      });
      runAfter(world, FAULT_END_S, () => {
        world.store.lostAnswerFraction = 0;
        world.store.watchAnswerDelayMs = () => 0;
        world.store.refusesListing = () => false;
      });
    },
  },
];

/** The size of a simulated cluster, its limits and its load. */
export interface SweepSize {
  members?: Members;
  /** Limits of the key-value store: requests, and writes among them, per second. */
  rps: number;
  writeRps: number;
  machines: number;
  jobs: number;
  /** ms between two submissions. */
  everyMs: number;
  /** s from the end of all faults to the final checks. */
  recoveryS: number;
}

/** Five controllers and the largest fleet that operators run. */
export const LARGE_CLUSTER: SweepSize = {
  members: [
    ['n0', 'a'],
    ['n1', 'a'],
    ['n2', 'b'],
    ['n3', 'a'],
    ['n4', 'b'],
  ],
  rps: 200,
  writeRps: 80,
  machines: 1500,
  jobs: 80,
  everyMs: 500,
  recoveryS: 80,
};
/** The default three controllers and a few machines. */
export const SMALL_CLUSTER: SweepSize = {
  rps: 80,
  writeRps: 25,
  machines: 4,
  jobs: 80,
  everyMs: 600,
  recoveryS: 100,
};

/**
 * Plays a fault with this seed. The invariants must hold, more than 90% of the jobs must be accepted,
 * and each job whose end was sent to its user must still be reported with that end.
 */
export async function playSweep(
  { begin }: SweepFault,
  seed: number,
  size: SweepSize,
): Promise<void> {
  const world = new World(seed, size.members, {
    storeRps: size.rps,
    storeWriteRps: size.writeRps,
  });
  world.capacity = size.machines + 10;
  world.store.limits = { rps: size.rps, writeRps: size.writeRps };
  for (let machine = 0; machine < size.machines; machine++) {
    world.addMachine('small', machine % 2 === 0 ? 'a' : 'b', false, 500);
  }
  await world.run(7);
  const { jobs, everyMs } = size;
  const users = new Users(world, {
    jobs,
    everyMs,
    jobOf: (number) => ({
      tasks: 1,
      runS: 1 + (number % 5),
      team: ['red', 'blue', 'wide'][number % 3] ?? 'red',
      service: number % 7 === 0,
      spot: number % 7 !== 0,
    }),
  });
  begin(world);
  users.start();
  await world.run(FAULT_END_S + 5);
  world.startChecksAfterFaults();
  await world.run(size.recoveryS);
  assert.deepEqual(world.violations, []);
  assert.ok(users.accepted.length > jobs * 0.9, `${users.accepted.length} of ${jobs} accepted`);
  for (const id of users.accepted) {
    const end = world.answeredEnds.get(id)?.stage ?? '';
    if (end === '') continue;
    const node = world.members[world.randomBelow(world.members.length)]?.[0];
    assert.equal(stageOf(await awaitReply(world, world.poll(id, node))), end, id);
  }
}
