/**
 * Guards against gangs that start partly, restart under an old attempt, or never start. These
 * follow if a shard starts its subset before the other shards have placed theirs, continues after
 * one of the tasks has ended, or gives capacity to arrays that a waiting gang needs.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { assignmentKey, jobKey } from '../../src/storage/keys.js';
import type { AssignmentRecord } from '../../src/storage/records.js';
import type { TaskStatus } from '../../src/protocol/model.js';
import {
  GANG_ATTEMPT,
  GANG_ASSIGNMENT,
  JOB,
  SPEC,
  shardFixture,
  ops,
  type ShardFixture,
} from '../world/shard-fixture.js';

/**
 * A shard with its subset of a gang; `otherSubset`: fields of another shard's subset, if there is
 * one.
 */
async function shardWithGang(
  tasks: number,
  otherSubset?: Partial<AssignmentRecord>,
): Promise<ShardFixture> {
  const world = await shardFixture({ spec: { kind: 'gang', tasks, checkpointS: 5, saveS: 2 } });
  world.store.change([{ key: assignmentKey('p', JOB, 1), remove: true }]);
  await world.clock.run(world.clock.now() + 300);
  world.store.change([
    { key: assignmentKey('p', JOB, 1), value: GANG_ASSIGNMENT },
    ...(otherSubset
      ? [
          {
            key: assignmentKey('q', JOB, 2),
            value: { ...GANG_ASSIGNMENT, ids: '2-3', ...otherSubset },
          },
        ]
      : []),
  ]);
  await world.clock.run(world.clock.now() + 300);
  return world;
}

const statusOf = (index: number, state: TaskStatus['state'] = 'running'): TaskStatus => ({
  task: { job: JOB, index },
  attempt: GANG_ATTEMPT,
  state,
  cause: state === 'exited' ? 'peerLost' : null,
});
const sent = (world: ShardFixture): string[] => world.sent.flatMap(({ commands }) => ops(commands));

const ROWS: { name: string; check: () => Promise<void> }[] = [
  {
    name: 'all tasks are placed under the attempt that the leader assigned',
    check: async () => {
      const world = await shardWithGang(2);
      world.heartbeat();
      await world.reconcile();
      const attempts = Object.values(world.stored()?.live ?? {}).map(([, attempt]) => attempt);
      assert.deepEqual(attempts, [GANG_ATTEMPT, GANG_ATTEMPT]);
      assert.deepEqual(sent(world), ['start', 'start']);
    },
  },
  {
    // Tasks that start early occupy their machines, and time out if the other tasks do not start.
    name: 'no task starts before all tasks of the gang are placed, here and in other shards',
    check: async () => {
      const world = await shardWithGang(4, {});
      world.heartbeat();
      await world.reconcile();
      assert.equal(Object.keys(world.stored()?.live ?? {}).length, 2);
      assert.deepEqual([...sent(world), ...ops(world.heartbeat())], []);
      const live = { '2': ['m-8', GANG_ATTEMPT], '3': ['m-9', GANG_ATTEMPT] };
      world.store.change([
        { key: assignmentKey('q', JOB, 2), value: { ...GANG_ASSIGNMENT, ids: '2-3', live } },
      ]);
      await world.reconcile();
      assert.deepEqual(sent(world), ['start', 'start']);
    },
  },
  {
    // Under the old attempt, a task could run together with tasks of that attempt that still run in
    // another shard.
    name: 'when one task exits, the others are stopped and the attempt is never placed again',
    check: async () => {
      const world = await shardWithGang(2);
      world.heartbeat();
      await world.reconcile();
      world.heartbeat({}, [statusOf(0), statusOf(1)]);
      world.heartbeat({}, [statusOf(0, 'exited'), statusOf(1)]);
      await world.reconcile(500);
      const stops = world
        .heartbeat({}, [statusOf(0, 'exited'), statusOf(1)])
        .filter((command) => command.op === 'stop');
      assert.deepEqual(
        stops.map(({ task, graceS }) => [task.index, graceS]),
        [[1, 2]],
      );
      world.heartbeat({}, [statusOf(0, 'exited'), statusOf(1, 'exited')]);
      await world.reconcile(6000);
      assert.equal(world.stored(), undefined, 'the subset is returned to the leader');
    },
  },
  {
    name: 'when another shard stops its subset, the tasks here get a stop with time to save',
    check: async () => {
      const live = {
        '2': ['m-8', GANG_ATTEMPT],
        '3': ['m-9', GANG_ATTEMPT],
      } as AssignmentRecord['live'];
      const world = await shardWithGang(4, { live });
      world.heartbeat();
      await world.reconcile();
      world.heartbeat({}, [statusOf(0), statusOf(1)]);
      const value = { ...GANG_ASSIGNMENT, ids: '2-3', live, stopping: true };
      world.store.change([{ key: assignmentKey('q', JOB, 2), value }]);
      await world.reconcile(500);
      const stops = world.heartbeat({}, [statusOf(0), statusOf(1)]);
      assert.deepEqual(ops(stops), ['stop', 'stop']);
      assert.deepEqual(
        stops.map(({ graceS }) => graceS),
        [2, 2],
      );
    },
  },
  {
    // Otherwise tasks of queued arrays would take each slot that becomes free, and the gang would
    // never find enough free capacity at once.
    name: 'capacity that becomes free is reserved for a waiting gang, not given to a later array',
    check: async () => {
      const world = await shardWithGang(2);
      const runningJob = { ...SPEC, id: 'j-000002', tasks: 3 };
      const laterJob = { ...SPEC, id: 'j-000003', tasks: 4 };
      const { attempt, ...plain } = GANG_ASSIGNMENT;
      assert.equal(attempt, GANG_ATTEMPT);
      world.store.change([{ key: assignmentKey('p', JOB, 1), remove: true }]);
      world.store.change([
        { key: jobKey(runningJob.id), value: { spec: runningJob, at: world.clock.wall() } },
        { key: jobKey(laterJob.id), value: { spec: laterJob, at: world.clock.wall() } },
        {
          key: assignmentKey('p', runningJob.id, 2),
          value: {
            ...plain,
            ids: '0-2',
            live: { '0': ['m-1', 1], '1': ['m-1', 2], '2': ['m-1', 3] },
          },
        },
        { key: assignmentKey('p', JOB, 5), value: GANG_ASSIGNMENT },
        { key: assignmentKey('p', laterJob.id, 6), value: { ...plain, ids: '0-3' } },
      ]);
      await world.clock.run(world.clock.now() + 300);
      const runningJobStatus = (
        index: number,
        state: TaskStatus['state'] = 'running',
      ): TaskStatus => ({
        task: { job: runningJob.id, index },
        attempt: index + 1,
        state,
        cause: state === 'exited' ? 'done' : null,
      });
      // One slot is free, which is too few for the gang but enough for a task of the later array.
      world.heartbeat({}, [runningJobStatus(0), runningJobStatus(1), runningJobStatus(2)]);
      await world.reconcile();
      const countLaterPlaced = (): number =>
        Object.keys(
          (world.store.entries.get(assignmentKey('p', laterJob.id, 6))?.value as AssignmentRecord)
            .live,
        ).length;
      assert.equal(countLaterPlaced(), 0);
      world.heartbeat({}, [
        runningJobStatus(0, 'exited'),
        runningJobStatus(1),
        runningJobStatus(2),
      ]);
      await world.reconcile();
      const subset = world.store.entries.get(assignmentKey('p', JOB, 5))?.value as AssignmentRecord;
      assert.equal(Object.keys(subset.live).length, 2);
    },
  },
];

for (const { name, check } of ROWS) test(`gang assignment: ${name}`, check);
