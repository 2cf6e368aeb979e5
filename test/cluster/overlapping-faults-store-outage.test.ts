/**
 * Overlapping faults: a controller that is refused alone, then an outage for all, with
 * cancellations between them.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { stageOf } from '../world/jobs.js';
import {
  URGENT,
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

interface Gap {
  /** s after the beginning of the outage; below 0: before it. */
  endsS: number;
  holdMs?: number;
  hangS?: number;
  restart?: boolean;
  /** Cancelled before the outage; the rest of the world's jobs go on. */
  jobs?: string[];
}

/** Refused alone, then jobs are cancelled through another controller, then out for all beyond cancel_s. */
const gap =
  ({ endsS, holdMs, hangS, restart, jobs = ['j-000001', 'j-000002', 'j-000003'] }: Gap) =>
  async (world: World): Promise<void> => {
    await submitWorkload(world);
    const old = world.leader;
    world.store.refusedControllers.add(old);
    const others = controllerNames(world).filter((name) => name !== old);
    if (holdMs) {
      // Sent just before: these starts are still on their way when their job is cancelled.
      world.store.refusedControllers.clear();
      setOnAllWorkers(world, { directDelayMs: holdMs });
      await submit(world, 'j-000009', { ...URGENT, tasks: 3 }, others[0]);
      await world.run(0.6);
      world.store.refusedControllers.add(old);
    }
    await world.run(1);
    if (hangS) for (const worker of world.workers.values()) worker.hang(hangS);
    for (const id of [...jobs, ...(holdMs ? ['j-000009'] : [])]) {
      const reply = await cancel(world, id, others, 2);
      assert.equal(stageOf(reply), 'withdrawn', id);
    }
    if (endsS < 0) world.store.refusedControllers.clear();
    const during: Record<number, () => void> = {};
    if (endsS >= 0 && endsS < 63) during[endsS] = () => world.store.refusedControllers.clear();
    if (restart) {
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
    { what: 'refusal ends before the outage', endsS: -1 },
    { what: 'refusal ends inside the outage', endsS: 25 },
    { what: 'refusal ends after the outage', endsS: 70 },
    { what: 'starts in flight', endsS: 70, holdMs: 9000 },
    { what: 'machines hang at the cancellation', endsS: 70, hangS: 20 },
    { what: 'machines hang, refusal ends inside', endsS: 30, hangS: 20 },
    { what: 'the old owner restarts inside', endsS: 70, restart: true },
    {
      what: 'the old owner restarts inside, starts in flight',
      endsS: 25,
      holdMs: 9000,
      restart: true,
    },
  ].map(({ what, ...options }) => ({ name: `gap: ${what}`, seeds: [1, 2], script: gap(options) })),
  {
    name: 'gap: two controllers, each the only one of its zone',
    members: [
      ['n0', 'a'],
      ['n1', 'b'],
    ],
    script: gap({ endsS: 70, hangS: 12 }),
  },
];

for (const row of ROWS) {
  for (const seed of row.seeds ?? [1]) {
    test(`overlapping faults: ${row.name} (seed ${seed})`, (t) =>
      playOverlappingFaults(t, row, seed));
  }
}
