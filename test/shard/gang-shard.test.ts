/**
 * Guards against a gang of which only some tasks run. This could happen when a new holder loads a
 * gang subset that is only partly placed or already stopping, or when one task exits and the shard
 * starts it again alone instead of stopping the others and returning all of them to the leader.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { assignmentKey } from '../../src/storage/keys.js';
import type { AssignmentRecord } from '../../src/storage/records.js';
import type { Command, TaskStatus } from '../../src/protocol/model.js';
import { JOB, shardFixture } from '../world/shard-fixture.js';

const ATTEMPT = 900;
const SAVE_S = 2;
const LIVE: AssignmentRecord['live'] = { '0': ['m-1', ATTEMPT], '1': ['m-1', ATTEMPT] };

/**
 * A shard that loads its gang subset as a former holder stored it; `change`: fields of the subset
 * that differ from the default; `otherSubset`: those of another shard's subset, if there is one.
 */
async function loadStoredSubset(
  change: Partial<AssignmentRecord>,
  tasks = 2,
  otherSubset?: Partial<AssignmentRecord>,
) {
  const subset: AssignmentRecord = {
    ...{ ids: '0-1', done: '', live: LIVE, team: 'red', cpus: 1, gpus: 0, memoryGb: 1 },
    ...{ zone: 'a', attempt: ATTEMPT },
  };
  const world = await shardFixture({
    spec: { kind: 'gang', tasks, checkpointS: 5, saveS: SAVE_S },
  });
  world.store.change([{ key: assignmentKey('p', JOB, 1), remove: true }]);
  await world.clock.run(world.clock.now() + 300);
  const live: AssignmentRecord['live'] = { '2': ['m-8', ATTEMPT], '3': ['m-9', ATTEMPT] };
  world.store.change([
    { key: assignmentKey('p', JOB, 1), value: { ...subset, ...change } },
    ...(otherSubset
      ? [
          {
            key: assignmentKey('q', JOB, 2),
            value: { ...subset, ids: '2-3', live, ...otherSubset },
          },
        ]
      : []),
  ]);
  await world.clock.run(world.clock.now() + 300);
  return world;
}

type LoadedShard = Awaited<ReturnType<typeof loadStoredSubset>>;

const statusOf = (
  index: number,
  state: TaskStatus['state'],
  cause: TaskStatus['cause'] = null,
) => ({
  ...{ task: { job: JOB, index }, attempt: ATTEMPT, state, cause },
});
const formatCommands = (commands: Command[]): string[] =>
  commands.map((one) =>
    one.op === 'stop'
      ? `stop ${one.task.index} ${one.graceS}`
      : `${one.op} ${one.task.index} of ${one.attempt === ATTEMPT ? 'the old' : 'another'} attempt`,
  );
/** All commands that the shard sent directly to its machine. */
const sent = (world: LoadedShard): string[] =>
  world.sent.flatMap(({ commands }) => formatCommands(commands));

const ROWS: { name: string; check: () => Promise<void> }[] = [
  {
    // The former holder stored the end of task 1, so the attempt has failed and must not be placed
    // again.
    name: 'a subset in which one task is no longer placed is stopped and returned to the leader',
    check: async () => {
      const world = await loadStoredSubset({ live: { '0': ['m-1', ATTEMPT] } });
      world.heartbeat({}, [statusOf(0, 'running')]);
      await world.reconcile(500);
      assert.deepEqual(formatCommands(world.heartbeat({}, [statusOf(0, 'running')])), [
        `stop 0 ${SAVE_S}`,
      ]);
      world.heartbeat({}, [statusOf(0, 'exited', 'stopped')]);
      await world.reconcile(6000);
      assert.equal(world.stored(), undefined);
      assert.ok(!sent(world).some((one) => one.startsWith('start')), sent(world).join());
    },
  },
  {
    name: 'all tasks of a subset that is stored as stopping get a stop with time to save',
    check: async () => {
      const world = await loadStoredSubset({ stopping: true }, 4, {});
      const both = [statusOf(0, 'running'), statusOf(1, 'running')];
      world.heartbeat({}, both);
      await world.reconcile(500);
      assert.deepEqual(formatCommands(world.heartbeat({}, both)), [
        `stop 0 ${SAVE_S}`,
        `stop 1 ${SAVE_S}`,
      ]);
    },
  },
  {
    // A task that its machine has lost would start again although the other tasks of its gang stop.
    name: 'no task of a subset starts when another shard is stopping its subset of the gang',
    check: async () => {
      const world = await loadStoredSubset({}, 4, { stopping: true });
      const commands = formatCommands(world.heartbeat());
      await world.reconcile(1000);
      assert.deepEqual([...commands, ...sent(world)], []);
    },
  },
  ...(['timedOut', 'peerLost', 'error', 'noCapacity', 'stopped'] as const).map((cause) => ({
    name: `when a task exits with ${cause}, the other is stopped, none restarts, and both are returned`,
    check: async () => {
      const world = await loadStoredSubset({});
      world.heartbeat({}, [statusOf(0, 'gathering'), statusOf(1, 'gathering')]);
      world.heartbeat({}, [statusOf(0, 'exited', cause), statusOf(1, 'gathering')]);
      await world.reconcile(500);
      const stopCommands = formatCommands(
        world.heartbeat({}, [statusOf(0, 'exited', cause), statusOf(1, 'gathering')]),
      );
      assert.ok(stopCommands.includes(`stop 1 ${SAVE_S}`), stopCommands.join());
      world.heartbeat({}, [statusOf(0, 'exited', cause), statusOf(1, 'exited', 'stopped')]);
      await world.reconcile(6000);
      assert.equal(world.stored(), undefined);
      assert.ok(!sent(world).some((one) => one.startsWith('start')), sent(world).join());
    },
  })),
  {
    // Tasks that have saved their progress wait only a few seconds until all others are stopped.
    name: 'a stop is stored for the other shards at once, without waiting to share a write',
    check: async () => {
      const world = await loadStoredSubset({}, 4, {});
      world.heartbeat({}, [statusOf(0, 'running'), statusOf(1, 'running')]);
      await world.reconcile(250);
      world.heartbeat({}, [statusOf(0, 'exited', 'peerLost'), statusOf(1, 'running')]);
      await world.reconcile(500);
      assert.equal(world.stored()?.stopping, true);
    },
  },
  {
    name: 'a task that is done is stored as done, and no task restarts',
    check: async () => {
      const world = await loadStoredSubset({});
      world.heartbeat({}, [statusOf(0, 'running'), statusOf(1, 'running')]);
      world.heartbeat({}, [statusOf(0, 'exited', 'done'), statusOf(1, 'running')]);
      await world.reconcile(6000);
      assert.equal(world.stored()?.done, '0');
      assert.ok(!sent(world).some((one) => one.startsWith('start')), sent(world).join());
    },
  },
];

for (const { name, check } of ROWS) test(`gang in a shard: ${name}`, check);
