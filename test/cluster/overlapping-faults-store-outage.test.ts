/**
 * Overlapping faults: the key-value store refuses the leader, then has an outage for all controllers,
 * with cancellations between the two.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { stageOf } from '../world/jobs.js';
import {
  URGENT_SERVICE,
  cancel,
  submitWorkload,
  controllerNames,
  outage,
  playOverlappingFaults,
  submit,
  type OverlappingFaultsCase,
} from '../world/overlapping-faults.js';
import type { World } from '../world/world.js';
import { setOnAllWorkers } from '../world/fault-steps.js';

interface RefusalThenOutage {
  /** End of the refusal, in s after the beginning of the outage; below 0: before the outage. */
  endsS: number;
  /** Delay of starts that are sent shortly before the cancellations. */
  directDelayMs?: number;
  /** Time that all machines hang, from the cancellations on. */
  hangS?: number;
  /** The refused leader restarts during the outage. */
  restartsLeader?: boolean;
  /** Jobs that are cancelled before the outage; the others keep running. */
  jobs?: string[];
}

/**
 * Refuses the leader, cancels jobs through another controller, then starts an outage for all that lasts
 * longer than cancel_s.
 */
const refusalThenOutage =
  ({
    endsS,
    directDelayMs,
    hangS,
    restartsLeader,
    jobs = ['j-000001', 'j-000002', 'j-000003'],
  }: RefusalThenOutage) =>
  async (world: World): Promise<void> => {
    await submitWorkload(world);
    const old = world.leader;
    world.store.refusedControllers.add(old);
    const others = controllerNames(world).filter((name) => name !== old);
    if (directDelayMs) {
      // These starts are sent shortly before, and have not arrived when their job is cancelled.
      world.store.refusedControllers.clear();
      setOnAllWorkers(world, { directDelayMs });
      await submit(world, 'j-000009', { ...URGENT_SERVICE, tasks: 3 }, others[0]);
      await world.run(0.6);
      world.store.refusedControllers.add(old);
    }
    await world.run(1);
    if (hangS) for (const worker of world.workers.values()) worker.hang(hangS);
    for (const id of [...jobs, ...(directDelayMs ? ['j-000009'] : [])]) {
      const reply = await cancel(world, id, others, 2);
      assert.equal(stageOf(reply), 'withdrawn', id);
    }
    if (endsS < 0) world.store.refusedControllers.clear();
    const during: Record<number, () => void> = {};
    if (endsS >= 0 && endsS < 63) during[endsS] = () => world.store.refusedControllers.clear();
    if (restartsLeader) {
      during[20] = () => world.kill(old);
      during[21] = () => world.boot(old);
    }
    await outage(world, 63, during);
    if (endsS >= 63) await world.run(endsS - 63);
    world.store.refusedControllers.clear();
    setOnAllWorkers(world, { directDelayMs: 0 });
    await world.run(5);
  };

const ROWS: OverlappingFaultsCase[] = [
  ...[
    { title: 'refusal ends before the outage', endsS: -1 },
    { title: 'refusal ends during the outage', endsS: 25 },
    { title: 'refusal ends after the outage', endsS: 70 },
    { title: 'starts in flight', endsS: 70, directDelayMs: 9000 },
    { title: 'machines hang at the cancellation', endsS: 70, hangS: 20 },
    { title: 'machines hang, refusal ends during the outage', endsS: 30, hangS: 20 },
    { title: 'the refused leader restarts during the outage', endsS: 70, restartsLeader: true },
    {
      title: 'the refused leader restarts during the outage, starts in flight',
      endsS: 25,
      directDelayMs: 9000,
      restartsLeader: true,
    },
  ].map(({ title, ...options }) => ({
    name: `refusal, then outage: ${title}`,
    seeds: [1, 2],
    script: refusalThenOutage(options),
  })),
  {
    name: 'refusal, then outage: two controllers, each the only one of its zone',
    members: [
      ['n0', 'a'],
      ['n1', 'b'],
    ],
    script: refusalThenOutage({ endsS: 70, hangS: 12 }),
  },
];

for (const row of ROWS) {
  for (const seed of row.seeds ?? [1]) {
    test(`overlapping faults: ${row.name} (seed ${seed})`, (t) =>
      playOverlappingFaults(t, row, seed));
  }
}
