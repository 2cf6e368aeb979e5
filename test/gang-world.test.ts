import assert from 'node:assert/strict';
import { test } from 'node:test';
import { GANG_PEER_S, GANG_WAIT_S } from './world/gang.js';
import type { SimWorker } from './world/worker.js';
import type { SimJob } from './world/jobs.js';
import { World } from './world/world.js';

const JOB = 'j-000001';

/** A gang of three on three machines, commanded by hand: the controllers answer reports and no more. */
async function byHand(job: Partial<SimJob>) {
  const world = new World(1, [['n0', 'a']]);
  world.kill('n0');
  await world.submit(JOB, { gang: true, tasks: 3, runS: 10, ...job });
  const answer = { status: 200, body: { mandate: 1, calls: [] } };
  const node = { report: () => Promise.resolve(answer) };
  world.nodes.set('n0', { node: node as never, kill: () => undefined });
  for (let at = 0; at < 4; at++) world.addMachine('small', at < 3 ? 'a' : 'b', false, 0);
  await world.run(1);
  const workers = [...world.workers.values()];
  const worker = (at: number): SimWorker => {
    const found = workers[at];
    assert.ok(found);
    return found;
  };
  const call = (at: number, verb: string, index: number, attempt = 1, settleS = 0): number =>
    worker(at).command(1, 1, [{ verb, larva: `${JOB}/${index}`, try: attempt, settleS }]).status;
  const start = (...indices: number[]): void => {
    for (const index of indices) assert.equal(call(index, 'launch', index), 200);
  };
  /** What machine `at` reports of its task: "state", with cause and "stored" if there are any. */
  const seen = (at: number): string => {
    const reply = JSON.parse(worker(at).command(1, 1, []).body) as {
      larvae: { stage: string; cause?: string; stored?: boolean }[];
    };
    const [one] = reply.larvae;
    if (!one) return 'none';
    return [one.stage, one.cause, one.stored ? 'stored' : ''].filter(Boolean).join(' ');
  };
  const all = (): string[] => [seen(0), seen(1), seen(2)];
  const progress = (): number => (world.gangs.saved.get(JOB) ?? 0) / 1000;
  return { world, worker, call, start, seen, all, progress };
}

type Hand = Awaited<ReturnType<typeof byHand>>;

const same = (state: string): string[] => [state, state, state];

const ROWS: { name: string; job?: Partial<SimJob>; act: (hand: Hand) => Promise<void> }[] = [
  {
    name: 'two wait, the third completes them: common start and common end',
    act: async ({ world, start, all }) => {
      start(0, 1);
      assert.deepEqual(all(), ['pulling', 'pulling', 'none']);
      await world.run(5);
      assert.deepEqual(all(), ['gathering', 'gathering', 'none']);
      assert.equal(world.gangStarts.length, 0);
      start(2);
      await world.run(2);
      assert.deepEqual(all(), same('running'));
      assert.deepEqual(
        world.gangStarts.map(({ job, attempt }) => [job, attempt]),
        [[JOB, 1]],
      );
      await world.run(8);
      assert.deepEqual(all(), same('running'));
      await world.run(2);
      assert.deepEqual(all(), same('exited done'));
      assert.equal(world.completed.size, 3);
    },
  },
  {
    name: 'waiting tasks are on their machines, and count for the limits',
    job: { cpus: 4, team: 'blue', tasks: 4 },
    act: async ({ world, worker, start }) => {
      start(0, 1, 2, 3);
      await world.run(0.5);
      assert.equal([...worker(0).onMachine()].length, 0);
      await world.run(1);
      assert.equal([...worker(0).onMachine()].length, 1);
      // The team's limit is 12.
      assert.deepEqual(world.broken, ['quota blue 16']);
      world.broken.length = 0;
    },
  },
  {
    name: 'a waiting task holds its place: another start on its machine is refused',
    job: { cpus: 3 },
    act: async ({ world, worker, call, start, seen }) => {
      start(0);
      await world.run(2);
      call(0, 'launch', 1);
      await world.run(2);
      assert.equal(seen(0), 'gathering');
      assert.equal(worker(0).tasks.get(`${JOB}/1`)?.cause, 'full');
    },
  },
  {
    name: 'never complete: alone, each after its own wait',
    act: async ({ world, call, start, all }) => {
      start(0);
      await world.run(10);
      call(1, 'launch', 1);
      await world.run(GANG_WAIT_S - 10);
      assert.deepEqual(all(), ['gathering', 'gathering', 'none']);
      await world.run(2);
      assert.deepEqual(all(), ['exited alone', 'gathering', 'none']);
      await world.run(10);
      assert.deepEqual(all(), ['exited alone', 'exited alone', 'none']);
    },
  },
  {
    name: 'other attempts do not complete a gang',
    act: async ({ world, call, start, all }) => {
      start(0, 1);
      call(2, 'launch', 2, 2);
      await world.run(5);
      assert.deepEqual(all(), same('gathering'));
      assert.equal(world.gangStarts.length, 0);
    },
  },
  {
    name: 'a waiting task that is stopped exits at once, whatever its grace',
    job: { checkpointS: 5, saveS: 3 },
    act: async ({ world, call, start, all }) => {
      start(0, 1);
      await world.run(2);
      call(0, 'halt', 0, 1, 60);
      assert.deepEqual(all(), ['exited stopped', 'gathering', 'none']);
      await world.run(10);
      assert.deepEqual(all(), ['exited stopped', 'gathering', 'none']);
    },
  },
  {
    name: 'a waiting task disappears: the rest wait on, a replacement of the attempt completes them',
    act: async ({ world, worker, call, start, seen }) => {
      start(0, 1);
      await world.run(3);
      worker(1).die();
      await world.run(10);
      assert.equal(seen(0), 'gathering');
      start(2);
      call(3, 'launch', 1);
      await world.run(2);
      assert.deepEqual([seen(0), seen(2), seen(3)], same('running'));
    },
  },
  {
    name: 'a machine that hangs while the last image comes joins when it goes on',
    act: async ({ world, worker, start, all }) => {
      start(0, 1);
      await world.run(2);
      worker(0).hang(8);
      start(2);
      await world.run(5);
      assert.deepEqual(all(), same('gathering'));
      await world.run(4);
      assert.deepEqual(all(), same('running'));
    },
  },
  {
    name: 'a task of a running gang disappears: mates_gone in time, back to the last checkpoint',
    job: { checkpointS: 4, runS: 30 },
    act: async ({ world, worker, start, seen, progress }) => {
      start(0, 1, 2);
      await world.run(1 + 7);
      worker(1).die();
      await world.run(1);
      assert.deepEqual([seen(0), seen(2)], ['running', 'running']);
      await world.run(GANG_PEER_S - 1);
      assert.deepEqual([seen(0), seen(2)], ['exited mates_gone', 'exited mates_gone']);
      assert.equal(progress(), 4);
    },
  },
  {
    name: 'a machine hangs for 12 s: its mates go in time, it follows when it goes on',
    act: async ({ world, worker, start, all, progress }) => {
      start(0, 1, 2);
      await world.run(4);
      worker(2).hang(12);
      await world.run(GANG_PEER_S + 0.5);
      assert.deepEqual(all(), ['exited mates_gone', 'exited mates_gone', 'running']);
      await world.run(4);
      assert.deepEqual(all(), same('exited mates_gone'));
      assert.equal(progress(), 0);
    },
  },
  {
    name: 'a machine that hangs for a second only delays its gang',
    act: async ({ world, worker, start, all }) => {
      start(0, 1, 2);
      await world.run(4);
      worker(2).hang(1);
      await world.run(7);
      assert.deepEqual(all(), same('running'));
      await world.run(2);
      assert.deepEqual(all(), same('exited done'));
    },
  },
  {
    name: 'a machine cut from the controllers stays a mate',
    act: async ({ world, worker, start, all }) => {
      start(0, 1, 2);
      await world.run(2);
      world.cuts.add(`n0>${worker(1).machine.name}`);
      await world.run(11);
      assert.deepEqual(all(), same('exited done'));
    },
  },
  {
    name: 'all told with grace: they save, exit together, and the next attempt goes on from there',
    job: { checkpointS: 5, saveS: 3, runS: 12 },
    act: async ({ world, call, start, all, progress }) => {
      start(0, 1, 2);
      await world.run(1 + 7);
      for (const index of [0, 1, 2]) call(index, 'halt', index, 1, 3);
      await world.run(2);
      assert.deepEqual(all(), same('running'));
      await world.run(1.5);
      assert.deepEqual(all(), same('exited stopped stored'));
      assert.ok(progress() >= 6.5 && progress() <= 7.5, String(progress()));
      for (const index of [0, 1, 2]) call(index, 'reap', index);
      for (const index of [0, 1, 2]) call(index, 'launch', index, 2);
      await world.run(1 + 4);
      assert.deepEqual(all(), same('running'));
      await world.run(1.5);
      assert.deepEqual(all(), same('exited done'));
    },
  },
  {
    name: 'the last is told late but in time: saved, progress as at the first halt',
    job: { checkpointS: 5, saveS: 3, runS: 30 },
    act: async ({ world, call, start, all, progress }) => {
      start(0, 1, 2);
      await world.run(1 + 7);
      call(0, 'halt', 0, 1, 10);
      call(1, 'halt', 1, 1, 10);
      await world.run(GANG_PEER_S - 1);
      assert.deepEqual(all(), same('running'));
      call(2, 'halt', 2, 1, 10);
      await world.run(4);
      assert.deepEqual(all(), same('exited stopped stored'));
      assert.ok(progress() >= 6.5 && progress() <= 7.5, String(progress()));
    },
  },
  {
    name: 'one is not told in time: it exits with mates_gone and the save fails',
    job: { checkpointS: 5, saveS: 3, runS: 30 },
    act: async ({ world, call, start, all, progress }) => {
      start(0, 1, 2);
      await world.run(1 + 7);
      call(0, 'halt', 0, 1, 10);
      call(1, 'halt', 1, 1, 10);
      await world.run(GANG_PEER_S + 0.5);
      assert.deepEqual(all(), ['exited stopped', 'exited stopped', 'exited mates_gone']);
      assert.equal(progress(), 5);
    },
  },
  {
    name: 'too little grace for one: nothing is saved',
    job: { checkpointS: 5, saveS: 3, runS: 30 },
    act: async ({ world, call, start, seen, progress }) => {
      start(0, 1, 2);
      await world.run(1 + 7);
      call(0, 'halt', 0, 1, 2);
      call(1, 'halt', 1, 1, 3);
      assert.equal(seen(0), 'exited stopped');
      await world.run(GANG_PEER_S + 0.5);
      assert.deepEqual([seen(1), seen(2)], ['exited stopped', 'exited mates_gone']);
      assert.equal(progress(), 5);
    },
  },
  {
    name: 'a second halt without grace ends a task that saves, and the save fails',
    job: { checkpointS: 5, saveS: 3, runS: 30 },
    act: async ({ world, call, start, seen, progress }) => {
      start(0, 1, 2);
      await world.run(1 + 7);
      for (const index of [0, 1, 2]) call(index, 'halt', index, 1, 5);
      await world.run(1);
      call(1, 'halt', 1, 1, 0);
      assert.equal(seen(1), 'exited stopped');
      await world.run(GANG_PEER_S);
      assert.deepEqual([seen(0), seen(2)], ['exited stopped', 'exited stopped']);
      assert.equal(progress(), 5);
    },
  },
  {
    name: 'a gang without checkpoints loses all when stopped, with any grace',
    act: async ({ world, call, start, all, progress }) => {
      start(0, 1, 2);
      await world.run(1 + 7);
      for (const index of [0, 1, 2]) call(index, 'halt', index, 1, 60);
      assert.deepEqual(all(), same('exited stopped'));
      assert.equal(progress(), 0);
    },
  },
  {
    name: 'what was saved is never lost to an older checkpoint',
    job: { checkpointS: 5, saveS: 3, runS: 30 },
    act: async ({ world, worker, call, start, progress }) => {
      start(0, 1, 2);
      await world.run(1 + 7);
      for (const index of [0, 1, 2]) call(index, 'halt', index, 1, 5);
      await world.run(4);
      const saved = progress();
      for (const index of [0, 1, 2]) call(index, 'reap', index);
      for (const index of [0, 1, 2]) call(index, 'launch', index, 2);
      await world.run(2);
      worker(0).die();
      await world.run(GANG_PEER_S + 1);
      assert.ok(saved > 5);
      assert.equal(progress(), saved);
    },
  },
  {
    name: 'a done task that is started again exits with done, alone',
    act: async ({ world, worker, call, start, seen }) => {
      start(0, 1, 2);
      await world.run(13);
      worker(0).die();
      call(3, 'launch', 0, 2);
      await world.run(1.5);
      assert.equal(seen(3), 'exited done');
    },
  },
  {
    // The judge of the gang tests must see what it is there for.
    name: 'the judge sees two machines with one task, and waiting tasks in two zones',
    job: { oneZone: true },
    act: async ({ world, call, start }) => {
      start(0, 1);
      await world.run(2);
      call(3, 'launch', 1, 1);
      await world.run(2);
      assert.deepEqual(world.broken.sort(), [
        `ran_twice ${JOB}/1`,
        `wrong_place ${JOB}/1 (one zone)`,
      ]);
      world.broken.length = 0;
    },
  },
  {
    name: 'the judge sees two attempts that run at once',
    act: async ({ world, worker, call, start }) => {
      start(0, 1, 2);
      await world.run(2);
      worker(2).hang(20);
      await world.run(GANG_PEER_S + 0.5);
      for (const index of [0, 1]) call(index, 'reap', index);
      for (const index of [0, 1]) call(index, 'launch', index, 2);
      call(3, 'launch', 2, 2);
      await world.run(2);
      assert.deepEqual(world.broken, [`ran_twice ${JOB}/2`, `two_attempts ${JOB}/2: 1 and 2`]);
      world.broken.length = 0;
    },
  },
  {
    name: 'the judge sees a gang that is called done before it is',
    act: async ({ world, start }) => {
      start(0, 1, 2);
      await world.run(5);
      const node = { serve: () => Promise.resolve({ status: 200, body: { stage: 'done' } }) };
      world.nodes.set('n0', { node: node as never, kill: () => undefined });
      await settle(world.poll(JOB), world);
      const missing = [0, 1, 2].map((index) => `not_done ${JOB}/${index}`);
      assert.deepEqual(world.broken, missing);
      world.broken.length = 0;
    },
  },
];

for (const { name, job, act } of ROWS) {
  test(`the stand-in for gangs: ${name}`, async () => {
    const hand = await byHand(job ?? {});
    await act(hand);
    assert.deepEqual(hand.world.broken, []);
  });
}

async function settle<T>(request: Promise<T>, world: World): Promise<T> {
  let done = false;
  void request.finally(() => {
    done = true;
  });
  for (let turn = 0; turn < 400 && !done; turn++) await world.clock.run(world.clock.now() + 50);
  return request;
}
