/**
 * Prints a digest of everything that simulated clusters write and start under all kinds of faults. Not a test: a
 * refactoring whose digests equal those of the version before it has not changed the behaviour in these clusters.
 * Run it with `node target/test/trace.js [SEED...]` after a build.
 */
import { createHash } from 'node:crypto';
import { SWEEP_FAULTS } from './world/fault-sweep.js';
import { WITH_FAILURE_DETECTION } from './world/failure-detection-case.js';
import { Users } from './world/users.js';
import { World } from './world/world.js';
import type { SimJob } from './world/jobs.js';

const MACHINES = 6;
const JOBS = 60;
/** ms between two submissions. */
const JOB_EVERY_MS = 900;
/** s from the start of the controllers to the first submission. */
const WARM_UP_S = 7;
/** s from the first submission to the digest. */
const PLAY_S = 150;
const LIMITS = { rps: 80, writeRps: 25 };

/** Arrays, services, gangs and urgent jobs with different placement constraints; the tasks of some fail. */
function jobOf(number: number): Partial<SimJob> {
  return {
    tasks: 1 + (number % 6),
    runS: 1 + (number % 17),
    team: ['red', 'blue', 'wide'][number % 3] ?? 'red',
    service: number % 7 === 0,
    gang: number % 7 === 3,
    urgent: number % 5 === 1,
    spot: number % 4 !== 0,
    zone: number % 11 === 0 ? 'b' : null,
    oneZone: number % 6 === 2,
    spread: number % 9 === 4,
    broken: number % 23 === 9,
    checkpointS: number % 2 === 0 ? 3 : 0,
    saveS: number % 2 === 0 ? 1 : 0,
    deadlineS: number % 3 === 0 ? 60 : null,
  };
}

/** Plays a fault in a simulated cluster and returns the digest. */
async function play(
  seed: number,
  begin: (world: World) => void,
  detects: boolean,
): Promise<string> {
  const world = new World(seed, undefined, {
    storeRps: LIMITS.rps,
    storeWriteRps: LIMITS.writeRps,
    suspicion: detects ? (WITH_FAILURE_DETECTION.suspicion ?? null) : null,
  });
  world.capacity = MACHINES + 10;
  world.store.limits = LIMITS;
  for (let machine = 0; machine < MACHINES; machine++) {
    world.addMachine('small', machine % 2 === 0 ? 'a' : 'b', machine % 3 === 0, 500);
  }
  await world.run(WARM_UP_S);
  const users = new Users(world, { jobs: JOBS, everyMs: JOB_EVERY_MS, jobOf });
  begin(world);
  users.start();
  await world.run(PLAY_S);
  const digest = createHash('sha256');
  for (const change of world.store.log) digest.update(JSON.stringify(change));
  for (const start of world.starts) digest.update(JSON.stringify(start));
  for (const end of world.answeredEnds) digest.update(JSON.stringify(end));
  return `${digest.digest('hex').slice(0, 16)} changes ${world.store.log.length} starts ${world.starts.length}`;
}

const seeds = process.argv.length > 2 ? process.argv.slice(2).map(Number) : [1];
for (const seed of seeds) {
  for (const { name, begin } of SWEEP_FAULTS) {
    for (const detects of [false, true]) {
      const digest = await play(seed, begin, detects);
      process.stdout.write(`${digest} seed ${seed} detection ${detects}: ${name}\n`);
    }
  }
}
