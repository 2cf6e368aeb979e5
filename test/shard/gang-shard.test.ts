import assert from 'node:assert/strict';
import { test } from 'node:test';
import { assignmentKey } from '../../src/storage/keys.js';
import type { AssignmentRecord } from '../../src/storage/records.js';
import type { Command, TaskStatus } from '../../src/protocol/model.js';
import { JOB, shardFixture } from '../world/shard-fixture.js';

const ATTEMPT = 900;
const SAVE_S = 2;
const LIVE: AssignmentRecord['live'] = { '0': ['m-1', ATTEMPT], '1': ['m-1', ATTEMPT] };

/** A shard that takes over its assignment of a gang, as a former owner stored it. */
async function takeOver(
  change: Partial<AssignmentRecord>,
  tasks = 2,
  other?: Partial<AssignmentRecord>,
) {
  const share: AssignmentRecord = {
    ...{ ids: '0-1', done: '', live: LIVE, team: 'red', cpus: 1, gpus: 0, memoryGb: 1 },
    ...{ zone: 'a', attempt: ATTEMPT },
  };
  const world = await shardFixture({
    spec: { kind: 'gang', tasks, checkpointS: 5, saveS: SAVE_S },
  });
  world.state.change([{ key: assignmentKey('p', JOB, 1), remove: true }]);
  await world.clock.run(world.clock.now() + 300);
  const live: AssignmentRecord['live'] = { '2': ['m-8', ATTEMPT], '3': ['m-9', ATTEMPT] };
  world.state.change([
    { key: assignmentKey('p', JOB, 1), value: { ...share, ...change } },
    ...(other
      ? [{ key: assignmentKey('q', JOB, 2), value: { ...share, ids: '2-3', live, ...other } }]
      : []),
  ]);
  await world.clock.run(world.clock.now() + 300);
  return world;
}

type TakenOver = Awaited<ReturnType<typeof takeOver>>;

const task = (index: number, state: TaskStatus['state'], cause: TaskStatus['cause'] = null) => ({
  ...{ task: { job: JOB, index }, attempt: ATTEMPT, state, cause },
});
const wire = (commands: Command[]): string[] =>
  commands.map((one) =>
    one.op === 'stop'
      ? `stop ${one.task.index} ${one.graceS}`
      : `${one.op} ${one.task.index} of ${one.attempt === ATTEMPT ? 'the old' : 'another'} attempt`,
  );
/** All direct commands of the shard to its machine. */
const sent = (world: TakenOver): string[] => world.sent.flatMap(({ commands }) => wire(commands));

const ROWS: { name: string; check: () => Promise<void> }[] = [
  {
    // The former owner knew that task 1 had ended: its attempt can be placed no more.
    name: 'an assignment of which one task has lost its placement ends, and is returned',
    check: async () => {
      const world = await takeOver({ live: { '0': ['m-1', ATTEMPT] } });
      world.heartbeat({}, [task(0, 'running')]);
      await world.reconcile(500);
      assert.deepEqual(wire(world.heartbeat({}, [task(0, 'running')])), [`stop 0 ${SAVE_S}`]);
      world.heartbeat({}, [task(0, 'exited', 'stopped')]);
      await world.reconcile(6000);
      assert.equal(world.stored(), undefined);
      assert.ok(!sent(world).some((one) => one.startsWith('start')), sent(world).join());
    },
  },
  {
    name: 'an assignment whose stop has begun is stopped completely, with the time to save',
    check: async () => {
      const world = await takeOver({ stopping: true }, 4, {});
      const both = [task(0, 'running'), task(1, 'running')];
      world.heartbeat({}, both);
      await world.reconcile(500);
      assert.deepEqual(wire(world.heartbeat({}, both)), [`stop 0 ${SAVE_S}`, `stop 1 ${SAVE_S}`]);
    },
  },
  {
    // Placed on a machine that has lost it, it would start beside peers that are gone.
    name: 'nothing starts in an assignment whose stop has begun elsewhere',
    check: async () => {
      const world = await takeOver({}, 4, { stopping: true });
      const commands = wire(world.heartbeat());
      await world.reconcile(1000);
      assert.deepEqual([...commands, ...sent(world)], []);
    },
  },
  ...(['timedOut', 'peerLost', 'error', 'noRoom', 'stopped'] as const).map((cause) => ({
    name: `a task exits with ${cause}: the other is stopped, nothing starts again, all is returned`,
    check: async () => {
      const world = await takeOver({});
      world.heartbeat({}, [task(0, 'gathering'), task(1, 'gathering')]);
      world.heartbeat({}, [task(0, 'exited', cause), task(1, 'gathering')]);
      await world.reconcile(500);
      const told = wire(world.heartbeat({}, [task(0, 'exited', cause), task(1, 'gathering')]));
      assert.ok(told.includes(`stop 1 ${SAVE_S}`), told.join());
      world.heartbeat({}, [task(0, 'exited', cause), task(1, 'exited', 'stopped')]);
      await world.reconcile(6000);
      assert.equal(world.stored(), undefined);
      assert.ok(!sent(world).some((one) => one.startsWith('start')), sent(world).join());
    },
  })),
  {
    // Mates that have saved wait only some seconds for the last halt.
    name: 'other shards are notified of a stop at once, before ends are gathered',
    check: async () => {
      const world = await takeOver({}, 4, {});
      world.heartbeat({}, [task(0, 'running'), task(1, 'running')]);
      await world.reconcile(250);
      world.heartbeat({}, [task(0, 'exited', 'peerLost'), task(1, 'running')]);
      await world.reconcile(500);
      assert.equal(world.stored()?.stopping, true);
    },
  },
  {
    name: 'a task that is done is stored as done, and nothing starts again',
    check: async () => {
      const world = await takeOver({});
      world.heartbeat({}, [task(0, 'running'), task(1, 'running')]);
      world.heartbeat({}, [task(0, 'exited', 'done'), task(1, 'running')]);
      await world.reconcile(6000);
      assert.equal(world.stored()?.done, '0');
      assert.ok(!sent(world).some((one) => one.startsWith('start')), sent(world).join());
    },
  },
];

for (const { name, check } of ROWS) test(`gang in a shard: ${name}`, check);
