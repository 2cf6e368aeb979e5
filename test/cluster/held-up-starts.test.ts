/**
 * Guards against tasks that run twice, or beside the limit of their team, because a start in an answer to a
 * heartbeat was on its way while the machine answered a direct call.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setOnAllWorkers } from '../world/fault-steps.js';
import type { SimJob } from '../world/jobs.js';
import { World } from '../world/world.js';

const OTHER_JOB = 'j-000001';
const MOVED_JOB = 'j-000002';
/** A job for which the team has room only once the tasks of the other two have ended. */
const NEXT_JOB = 'j-000003';
/** The team's limit, which OTHER_JOB and MOVED_JOB use up. */
const TEAMS = [{ name: 'wide', cpus: 0, cpusMax: 4, gpus: 0, gpusMax: 0 }];
const SERVICE: Partial<SimJob> = { service: true, urgent: true, team: 'wide', tasks: 2 };
const SEEDS = [1, 2, 3];
/** Range and step of the time from the first lost answer to the leaving of the machine, in s. */
const LEAVING_AFTER_S = { least: 0, most: 10, step: 0.25 };

/** Reasons for which a start on the machine of MOVED_JOB is no longer wanted. */
const REASONS: [name: string, begin: (world: World) => void][] = [
  [
    'the cloud takes the machine back',
    (world) => {
      for (const worker of world.workers.values())
        if (worker.hasTaskOf(OTHER_JOB)) worker.noticeS = 20;
    },
  ],
  [
    'the job is cancelled while the next one of its team waits',
    (world) => {
      void world.cancel(MOVED_JOB);
      void world.submit(NEXT_JOB, { ...SERVICE, tasks: 4, zone: 'b' });
    },
  ],
];

/**
 * Plays the start of MOVED_JOB on a machine with tasks of OTHER_JOB: the direct call is held up, the
 * first answer that repeats it is lost, and the next one is held up. Some time after that OTHER_JOB is
 * cancelled, so that its stops are sent directly.
 */
async function play(
  seed: number,
  leavingAfterS: number,
  begin: (world: World) => void,
): Promise<World> {
  const world = new World(seed, [['n0', 'a']], { teams: TEAMS });
  for (const zone of ['a', 'a', 'b']) world.addMachine('small', zone, false, 500);
  await world.run(6);
  setOnAllWorkers(world, { fetchMs: 0 });
  void world.submit(OTHER_JOB, { ...SERVICE, zone: 'a' });
  await world.run(7);
  setOnAllWorkers(world, { directDelayMs: 20_000, startAnswerDelayMs: 4500 });
  void world.submit(MOVED_JOB, SERVICE);
  await world.run(4);
  setOnAllWorkers(world, { directDelayMs: 0, startAnswerDelayMs: 3500 });
  await world.run(leavingAfterS);
  begin(world);
  void world.cancel(OTHER_JOB);
  await world.run(30);
  return world;
}

for (const [name, begin] of REASONS) {
  for (const seed of SEEDS) {
    test(`no rule is broken by a start that is held up if ${name} (seed ${seed})`, async () => {
      const { least, most, step } = LEAVING_AFTER_S;
      for (let leavingAfterS = least; leavingAfterS <= most; leavingAfterS += step) {
        const world = await play(seed, leavingAfterS, begin);
        assert.deepEqual(world.violations, [], `after ${leavingAfterS} s`);
      }
    });
  }
}
