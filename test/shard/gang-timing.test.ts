/**
 * Guards against gangs that lose progress or occupy machines in vain because stops come too late.
 * Tasks that wait for their gang exit one by one after `gang_wait_s`, and progress is saved only if
 * all tasks receive a stop within `gang_peer_s`.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { TaskStatus } from '../../src/protocol/model.js';
import { assignmentKey, jobKey } from '../../src/storage/keys.js';
import type { AssignmentRecord } from '../../src/storage/records.js';
import {
  GANG_ATTEMPT,
  GANG_ASSIGNMENT,
  PLAIN_ASSIGNMENT,
  JOB,
  SPEC,
  shardFixture,
  ops,
  heartbeatOf,
  type ShardFixture,
} from '../world/shard-fixture.js';

const URGENT_JOB = 'j-000002';

const statusOf = (index: number, state: TaskStatus['state'] = 'running'): TaskStatus => ({
  task: { job: JOB, index },
  attempt: GANG_ATTEMPT,
  state,
  cause: state === 'exited' ? 'peerLost' : null,
});

/**
 * A shard with a subset of two tasks of a gang of `tasks` tasks; `otherSubset`: the subset of
 * another shard.
 */
async function shardWithGang(
  tasks: number,
  checkpointS: number,
  otherSubset?: AssignmentRecord,
): Promise<ShardFixture> {
  const world = await shardFixture({ spec: { kind: 'gang', tasks, checkpointS, saveS: 2 } });
  world.store.change([{ key: assignmentKey('p', JOB, 1), remove: true }]);
  await world.clock.run(world.clock.now() + 300);
  world.store.change([
    { key: assignmentKey('p', JOB, 1), value: GANG_ASSIGNMENT },
    ...(otherSubset ? [{ key: assignmentKey('q', JOB, 2), value: otherSubset }] : []),
  ]);
  await world.clock.run(world.clock.now() + 300);
  world.heartbeat();
  await world.reconcile();
  return world;
}

/** Answers all direct calls that are open with a heartbeat that shows these tasks. */
function answerCalls(world: ShardFixture, tasks: TaskStatus[]): void {
  world.answer({}, tasks);
  for (const { done } of world.sent.splice(0)) {
    done(heartbeatOf({ sequence: 0, fencingToken: 0, tasks }));
  }
}

/**
 * Sends a heartbeat each second, at most for `seconds` and until stops are sent; returns the stops.
 */
async function stopsWithin(
  world: ShardFixture,
  seconds: number,
  tasks: TaskStatus[],
): Promise<string[]> {
  const stops: string[] = [];
  const recordStops = (list: string[]): void =>
    void stops.push(...list.filter((op) => op === 'stop'));
  for (let passed = 0; passed < seconds && stops.length === 0; passed++) {
    recordStops(ops(world.heartbeat({}, tasks)));
    await world.reconcile(1000);
    recordStops(world.sent.flatMap(({ commands }) => ops(commands)));
  }
  return stops;
}

test('a gang subset whose tasks wait for the others until shortly before gang_wait_s is stopped as a whole', async () => {
  const cases: [string, TaskStatus['state'][], number, number][] = [
    ['both wait for a task in another shard', ['gathering', 'gathering'], 34, 2],
    ['both have waited for a shorter time', ['gathering', 'gathering'], 30, 0],
    ['one waits and one fetches its image', ['gathering', 'fetching'], 34, 2],
    ['both run', ['running', 'running'], 34, 0],
  ];
  for (const [name, states, seconds, stops] of cases) {
    const live = {
      '2': ['m-8', GANG_ATTEMPT],
      '3': ['m-9', GANG_ATTEMPT],
    } as AssignmentRecord['live'];
    const world = await shardWithGang(4, 5, { ...GANG_ASSIGNMENT, ids: '2-3', live });
    const tasks = states.map((state, index) => statusOf(index, state));
    answerCalls(world, tasks);
    assert.equal((await stopsWithin(world, seconds, tasks)).length, stops, name);
  }
});

test('no task is stopped before the stop is stored for the other shards', async () => {
  const live = {
    '2': ['m-8', GANG_ATTEMPT],
    '3': ['m-9', GANG_ATTEMPT],
  } as AssignmentRecord['live'];
  const world = await shardWithGang(4, 5, { ...GANG_ASSIGNMENT, ids: '2-3', live });
  answerCalls(world, [statusOf(0), statusOf(1)]);
  await stopsWithin(world, 2, [statusOf(0), statusOf(1)]);
  world.store.hasOutage = true;
  const statuses = [statusOf(0, 'exited'), statusOf(1)];
  assert.deepEqual(await stopsWithin(world, 6, statuses), [], 'during the outage');
  assert.equal(world.stored()?.stopping, undefined);
  world.store.endOutage();
  assert.deepEqual(await stopsWithin(world, 6, statuses), ['stop']);
  assert.equal(world.stored()?.stopping, true);
});

test('a gang is preempted for urgent work only if all tasks get the stop in time or little progress is lost', async () => {
  const cases: {
    name: string;
    checkpointS: number;
    ranS: number;
    /** Whether the machine answers calls. */
    reachable: boolean;
    stops: number;
  }[] = [
    { name: 'the machine is reachable', checkpointS: 60, ranS: 20, reachable: true, stops: 2 },
    {
      name: 'the machine is unreachable',
      checkpointS: 60,
      ranS: 20,
      reachable: false,
      stops: 0,
    },
    { name: 'the gang started 2 s ago', checkpointS: 60, ranS: 2, reachable: false, stops: 2 },
    { name: 'checkpoints are 4 s apart', checkpointS: 4, ranS: 20, reachable: false, stops: 2 },
    { name: 'the gang never saves', checkpointS: 0, ranS: 20, reachable: false, stops: 2 },
  ];
  for (const { name, checkpointS, ranS, reachable, stops } of cases) {
    const world = await shardWithGang(2, checkpointS);
    const tasks = [statusOf(0), statusOf(1)];
    if (reachable) answerCalls(world, tasks);
    await stopsWithin(world, ranS, tasks);
    const urgent = { ...SPEC, id: URGENT_JOB, priority: 'high' as const, cpus: 3 };
    world.store.change([
      { key: jobKey(URGENT_JOB), value: { spec: urgent, at: world.clock.wall() } },
      { key: assignmentKey('p', URGENT_JOB, 9), value: { ...PLAIN_ASSIGNMENT, ids: '0', cpus: 3 } },
    ]);
    await world.clock.run(world.clock.now() + 300);
    assert.equal((await stopsWithin(world, 2, tasks)).length, stops, name);
  }
});
